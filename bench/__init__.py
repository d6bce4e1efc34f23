"""Measurements of single parts."""
