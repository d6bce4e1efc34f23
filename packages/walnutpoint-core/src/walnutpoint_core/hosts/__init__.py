"""The platform's host list."""

from __future__ import annotations

from walnutpoint_core.hosts import _client

__all__ = ('HttpHostList',)

HttpHostList = _client.HttpHostList
