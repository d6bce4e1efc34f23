"""The operators' web console, which works without scripts."""

from __future__ import annotations

from walnutpoint_entry.console import _surface

__all__ = ('ConsoleApp',)

ConsoleApp = _surface.ConsoleApp
