"""The surface of callers."""

from __future__ import annotations

from walnutpoint_entry.callers._app import CallerHandler
from walnutpoint_entry.callers._app import CallerSurface

__all__ = (
    'CallerHandler',
    'CallerSurface',
)
