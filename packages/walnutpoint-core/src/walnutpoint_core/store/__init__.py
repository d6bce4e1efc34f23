"""The platform's key-value service."""

from __future__ import annotations

from walnutpoint_core.store import _etcd

__all__ = ('EtcdStore',)

EtcdStore = _etcd.EtcdStore
