"""A model of the advice service, which serves one call at a time."""

from __future__ import annotations

import asyncio
import collections
import typing

import anyio
import expression
import xxhash

from walnutpoint_core import errors
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = ('AdviceService',)

_HASH_RANGE: typing.Final = 2**64


class AdviceService:
    """Grants a fixed share of the workers for each step."""

    __slots__ = ('_granted_share', '_lock', '_terms', 'calls', 'is_silent')

    def __init__(self, terms: cell.AdviceTerms, granted_share: float) -> None:
        self._terms = terms
        self._granted_share = granted_share
        self._lock = asyncio.Lock()
        self.calls: collections.Counter[str] = collections.Counter()
        self.is_silent = False

    def permits(self, step: str, worker_id: str) -> bool:
        """Return whether a worker may run a step; always the same answer."""
        digest = xxhash.xxh64_intdigest(f'{step}/{worker_id}'.encode())
        return digest / _HASH_RANGE < self._granted_share

    def max_concurrent(self, _expected_s: float) -> int | None:
        """Return None: the number of concurrent calls is not limited."""
        return None

    async def request(
        self, step: str, worker_ids: tuple[str, ...], expected_s: float
    ) -> expression.Result[ports.Advice, errors.Failure]:
        """Answer after the time that the terms state for so many workers."""
        self.calls[step] += 1
        if self.is_silent:
            await anyio.sleep(expected_s)
            return expression.Error(
                errors.Failure(errors.ErrorKind.ENDPOINT_UNREACHABLE)
            )
        async with self._lock:
            terms = self._terms
            await anyio.sleep(
                terms.decide_s + terms.per_worker_s * len(worker_ids)
            )
        tickets = {
            worker_id: f'{step}/{worker_id}'
            for worker_id in worker_ids
            if self.permits(step, worker_id)
        }
        return expression.Ok(ports.Advice(tickets, terms.valid_s))
