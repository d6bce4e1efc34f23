"""Check the core protocol exhaustively and refute a mutant of each guard."""

from __future__ import annotations
