"""Tests of the refusal of hopeless jobs."""
