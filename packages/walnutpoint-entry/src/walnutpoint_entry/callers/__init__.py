"""The callers' HTTP API."""

from __future__ import annotations

from walnutpoint_entry.callers._app import CallerApi
from walnutpoint_entry.callers._app import CallerHandler

__all__ = (
    'CallerApi',
    'CallerHandler',
)
