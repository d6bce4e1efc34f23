"""The cache of answers of the advice service."""

from __future__ import annotations

import asyncio
import typing
import unittest

import anyio
import expression

from walnutpoint_core import errors
from walnutpoint_scheduler import _advice
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports


class _Source:
    """Grants every worker, on every host."""

    async def request(
        self, _step: str, worker_ids: tuple[str, ...], _expected_s: float
    ) -> expression.Result[ports.Advice, errors.Failure]:
        """Answer at once."""
        return expression.Ok(
            ports.Advice(dict.fromkeys(worker_ids, 'ticket'), 2.5)
        )

    def max_concurrent(self, _decide_s: float) -> int | None:
        """Return no limit."""
        return None


class AdviceCacheTest(unittest.TestCase):
    """What is learned of an answer."""

    def test_terms_that_state_no_time(self) -> None:
        """Guards against a term that ends by a division by zero."""
        asyncio.run(self._request(cell.AdviceTerms(0.0, 0.0, 2.5)))

    async def _request(self, terms: cell.AdviceTerms) -> None:
        async with anyio.create_task_group() as tasks:
            cache = _advice.AdviceCache(
                typing.cast(ports.AdviceSource, _Source()),
                lambda: 1.0,
                tasks,
                lambda: None,
            )
            cache.request('step', ['worker'], terms)
        self.assertIs(True, cache.permits('step', 'worker'))
        self.assertEqual(0.0, cache.answer_s(terms, 50))
