"""Tests of the routing of a request to the home of its key."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing
import unittest

import anyio

from tests.walnutpoint_entry import manual_timer
from tests.walnutpoint_entry.routing import fakes
from tests.walnutpoint_entry import samples
from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings
from walnutpoint_entry import keys
from walnutpoint_entry import ownership
from walnutpoint_entry import routing
from walnutpoint_entry.routing import _start_guard

_KIND = errors.ErrorKind
_SETTINGS = settings.KeySettings()


class _Dispatcher:
    """Start each request once unblocked; return the scripted results."""

    def __init__(self, *results: typing.Any) -> None:
        self._results = list(results)
        self.unblock: anyio.Event | None = None
        self.unblock_answer: anyio.Event | None = None
        self.started: list[str] = []

    async def serve(
        self, request: model.Request, start_guard: _start_guard.StartGuard
    ) -> typing.Any:
        """Check the guard right before the start."""
        if self.unblock is not None:
            await self.unblock.wait()
        if not start_guard.try_start():
            return fakes.failed(_KIND.NOT_CONFIRMED)
        self.started.append(request.request_id)
        if self.unblock_answer is not None:
            await self.unblock_answer.wait()
        return self._results.pop(0) if self._results else fakes.SERVED


class _RunTracker:
    """Run work in tasks."""

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, work: typing.Any) -> None:
        self.tasks.append(asyncio.ensure_future(work))


class RouterTest(unittest.IsolatedAsyncioTestCase):
    """Member 1 is home of the only shard unless a test changes it."""

    def _make(
        self, *results: typing.Any, **links: fakes.Link
    ) -> routing.Router:
        self.timer = manual_timer.ManualTimer()
        self.owner = fakes.Owner()
        self.dispatcher = _Dispatcher(*results)
        memory = keys.KeyMemory(_SETTINGS)
        fake_links = fakes.Links(**links)
        self.shards = routing.KeyShards(
            self.timer, _SETTINGS, memory, fake_links
        )
        self.shards.on_acquired(fakes.acquired_asset('shard-0'))
        minter = keys.KeyMinter('s' * 16, 1, _SETTINGS.valid_s)
        self.request = samples.request(key=minter.mint(0, 4, time.time()))
        self.router = routing.Router(
            self.timer,
            self.owner,
            self.dispatcher,
            fake_links,
            minter,
            memory,
            self.shards,
            ownership.shard_names(1),
            _RunTracker(),
        )
        return self.router

    def _assert_failed(self, result: typing.Any, kind: _KIND) -> None:
        self.assertTrue(result.is_error(), result)
        self.assertEqual(kind, result.error.kind)

    async def test_request_without_key_is_served_here(self) -> None:
        router = self._make()
        for _ in range(2):
            self.assertEqual(
                fakes.SERVED, await router.route(samples.request())
            )
        self.assertEqual(2, len(self.dispatcher.started))

    async def test_repeat_gets_the_first_answer(self) -> None:
        for first in (
            fakes.SERVED,
            fakes.failed(_KIND.QUEUE_FULL),
            fakes.failed(_KIND.ANSWER_LATE),
        ):
            router = self._make(first)
            for _ in range(2):
                self.assertEqual(first, await router.route(self.request))
            self.assertEqual(1, len(self.dispatcher.started))

    async def test_keys_are_scoped_by_team(self) -> None:
        router = self._make()
        for team in ('red', 'blue'):
            request = samples.request(key='order-1', team=team)
            self.assertEqual(fakes.SERVED, await router.route(request))
        self.assertEqual(2, len(self.dispatcher.started))

    async def test_repeat_joins_the_request_in_flight(self) -> None:
        router = self._make()
        self.dispatcher.unblock = anyio.Event()
        tasks = [
            asyncio.ensure_future(router.route(self.request)) for _ in range(2)
        ]
        await samples.settle()
        late = dataclasses.replace(self.request, deadline_at_s=100.0)
        self._assert_failed(await router.route(late), _KIND.ANSWER_LATE)
        self.dispatcher.unblock.set()
        self.assertEqual(
            [fakes.SERVED, fakes.SERVED], await asyncio.gather(*tasks)
        )
        self.assertEqual(1, len(self.dispatcher.started))

    async def test_repeat_gets_an_answer_that_came_late(self) -> None:
        """A repeat gets the timeout of an earlier request under its key.

        The endpoint answers after the first request's deadline and before
        that of the repeat.
        """
        router = self._make()
        self.dispatcher.unblock_answer = anyio.Event()
        first = dataclasses.replace(
            self.request, deadline_at_s=self.timer.now_s() + 0.05
        )
        self._assert_failed(await router.route(first), _KIND.ANSWER_LATE)
        repeat = asyncio.ensure_future(router.route(self.request))
        await samples.settle()
        self.dispatcher.unblock_answer.set()
        self.assertEqual(fakes.SERVED, await repeat)
        self.assertEqual(1, len(self.dispatcher.started))

    async def test_not_run_at_the_deadline_is_told_as_such(self) -> None:
        """A request that never started ends with an unknown outcome.

        The dispatcher gives up at the deadline, just after the wait for its
        result has ended.
        """
        router = self._make()
        self.dispatcher.unblock = anyio.Event()
        first = dataclasses.replace(
            self.request, deadline_at_s=self.timer.now_s()
        )
        task = asyncio.ensure_future(router.route(first))
        await asyncio.sleep(0.1)
        self.owner.lost.add('shard-0')
        self.dispatcher.unblock.set()
        self._assert_failed(await task, _KIND.NOT_CONFIRMED)

    async def test_another_request_with_the_same_key(self) -> None:
        router = self._make()
        await router.route(self.request)
        other = dataclasses.replace(self.request, body=b'other')
        self._assert_failed(await router.route(other), _KIND.KEY_MISMATCH)

    async def test_shard_lost_while_queued(self) -> None:
        """A shard moves to another home while its request is queued.

        The new home may run the caller's repeat, so the queued request must
        not start. It is sent to the new home, which here does not know the
        key: the outcome is unknown.
        """
        router = self._make()
        self.dispatcher.unblock = anyio.Event()
        task = asyncio.ensure_future(router.route(self.request))
        await samples.settle()
        self.owner.lost.add('shard-0')
        self.shards.on_lost(
            ownership.LostAsset('shard-0', 4, samples.member(2))
        )
        self.owner.lost.clear()
        self.dispatcher.unblock.set()
        self._assert_failed(await task, _KIND.KEY_BLIND)
        self.assertEqual([], self.dispatcher.started)

    async def test_unconfirmed_home_starts_nothing(self) -> None:
        router = self._make()
        self.dispatcher.unblock = anyio.Event()
        task = asyncio.ensure_future(router.route(self.request))
        await samples.settle()
        self.owner.confirmed = False
        self.dispatcher.unblock.set()
        await task
        self.assertEqual([], self.dispatcher.started)
        self._assert_failed(
            await router.serve_as_home(self.request), _KIND.NOT_OWNER
        )
        self.owner.confirmed_by_poll = True
        request = samples.request(key='new')
        served = await router.serve_as_home(request)
        self.assertEqual(fakes.SERVED, served)

    async def test_unreachable_home_is_retried(self) -> None:
        link = fakes.Link(
            *map(
                fakes.failed,
                (
                    _KIND.PEER_UNREACHABLE,
                    _KIND.PEER_ANSWER_LOST,
                    _KIND.NOT_OWNER,
                ),
            )
        )
        router = self._make(entry_2=link)
        self.owner.home = samples.member(2)
        self.assertEqual(fakes.SERVED, await router.route(self.request))
        self.assertEqual(4, len(link.requests))
        self.assertEqual([], self.dispatcher.started)

    async def test_other_failures_are_not_retried(self) -> None:
        link = fakes.Link(fakes.failed(_KIND.ANSWER_LATE))
        router = self._make(entry_2=link)
        self.owner.home = samples.member(2)
        self._assert_failed(
            await router.route(self.request), _KIND.ANSWER_LATE
        )
        self.assertEqual(1, len(link.requests))

    async def test_home_unreachable_until_the_deadline(self) -> None:
        """A home loses the answer of a request and then fails.

        Its retries are never sent, yet the first attempt may have run: the
        outcome must be unknown.
        """
        link = fakes.Link(
            fakes.failed(_KIND.PEER_ANSWER_LOST),
            *[fakes.failed(_KIND.PEER_UNREACHABLE)] * 999,
        )
        router = self._make(entry_2=link)
        self.owner.home = samples.member(2)
        result = await router.route(self.request)
        self.assertEqual(errors.Outcome.UNKNOWN, result.error.outcome)
        self.assertLess(self.timer.now_s(), self.request.deadline_at_s)
        self.assertGreater(len(link.requests), 50)

    async def test_forged_key_runs_nothing(self) -> None:
        router = self._make()
        forged = dataclasses.replace(self.request, key='wp1.AAAA')
        self._assert_failed(await router.route(forged), _KIND.KEY_FORGED)
        self.assertEqual([], self.dispatcher.started)
