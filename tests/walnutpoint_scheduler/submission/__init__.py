"""Tests of submissions and cancellations by client accounts."""
