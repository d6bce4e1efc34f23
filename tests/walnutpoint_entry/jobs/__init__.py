"""Tests of the job owner."""
