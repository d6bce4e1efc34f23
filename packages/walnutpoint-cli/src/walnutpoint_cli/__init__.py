"""Walnutpoint: the command line of operators and callers."""
