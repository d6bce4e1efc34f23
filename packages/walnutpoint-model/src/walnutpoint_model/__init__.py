"""A cell in virtual time, which drives the scheduler's own modules."""
