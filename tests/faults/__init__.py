"""Faults struck at real processes, and what callers see of them."""
