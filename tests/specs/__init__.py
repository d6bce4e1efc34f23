"""Test the specification's runner."""

from __future__ import annotations
