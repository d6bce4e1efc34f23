"""Walnutpoint: the entry process between callers and endpoints."""
