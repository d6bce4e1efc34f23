"""Tests of the model of a cell."""
