"""Tests of how a term learns of stored jobs and cancellations."""
