"""The entry process: assembly, servers and shutdown."""

from __future__ import annotations

from walnutpoint_entry.daemon._daemon import serve

__all__ = ('serve',)
