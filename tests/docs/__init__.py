"""Tests that pages agree with the code."""
