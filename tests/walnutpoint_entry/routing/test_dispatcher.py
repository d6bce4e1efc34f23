"""Tests of the dispatch of a request to a slot."""

from __future__ import annotations

import asyncio
import dataclasses
import typing
import unittest

import anyio

from tests.walnutpoint_entry import manual_timer
from tests.walnutpoint_entry.routing import fakes
from tests.walnutpoint_entry import samples
from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings
from walnutpoint_entry import placement
from walnutpoint_entry import routing
from walnutpoint_entry.routing import _start_guard

_KIND = errors.ErrorKind
_LOST = fakes.failed(_KIND.ANSWER_LOST)
_IDEMPOTENT = samples.request(idempotent=True)


class _ClosedGuard:
    def __init__(self, is_closed: bool = False) -> None:
        self._is_closed = is_closed

    def try_start(self) -> bool:
        return False

    def is_closed(self) -> bool:
        return self._is_closed


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    """Member 1 with a few endpoints of one slot, and up to two peers."""

    def _make(
        self,
        endpoints: str,
        *results: typing.Any,
        two: fakes.Link | None = None,
        three: fakes.Link | None = None,
        **changes: typing.Any,
    ) -> routing.Dispatcher:
        self.timer = manual_timer.ManualTimer()
        self.owner = fakes.Owner()
        self.client = fakes.Client(*results)
        self.peer_loads = routing.PeerLoads()
        links = {
            f'entry_{number}': link
            for number, link in ((2, two), (3, three))
            if link is not None
        }
        for name in links:
            fakes.observe_peer(
                self.peer_loads, int(name[-1]), 10 - int(name[-1])
            )
        self.decision_log = routing.DecisionLog()
        self.fleet = routing.Fleet(
            self.timer,
            settings.PlacementSettings(),
            self.client,
            lambda: self.dispatcher.drain(),
        )
        self.preemptor = fakes.Preemptor()
        estimate = placement.WaitEstimate()
        limits = settings.PlacementSettings(**changes)
        self.dispatcher = routing.Dispatcher(
            self.timer,
            limits,
            self.owner,
            self.fleet,
            self.client,
            fakes.Links(**links),
            self.peer_loads,
            self.decision_log,
            estimate,
            routing.WaitQueue(self.timer, limits, estimate),
            self.preemptor,
        )
        self.fleet.update_hosts(samples.listing(1, *endpoints))
        for endpoint in endpoints:
            self.fleet.on_acquired(fakes.acquired_asset(endpoint))
            self.fleet.open(endpoint)
        return self.dispatcher

    async def _serve(self, request: model.Request | None = None) -> typing.Any:
        return await self.dispatcher.serve(
            request or samples.request(), _start_guard.OpenGuard()
        )

    def _reasons(self) -> list[str]:
        return [item.reason for item in self.decision_log.explain('r')]

    def _assert_failed(self, result: typing.Any, kind: _KIND) -> None:
        self.assertTrue(result.is_error(), result)
        self.assertEqual(kind, result.error.kind)

    async def test_local_first(self) -> None:
        self._make('a', two=fakes.Link())
        answer = (await self._serve()).ok
        self.assertEqual(('a', 'entry-1'), (answer.endpoint, answer.owner))
        self.assertEqual(['local'], self._reasons())
        (call,) = self.client.calls
        self.assertEqual(('r.1', 4), (call.request.request_id, call.epoch))

    async def test_spills_in_order_of_free_slots(self) -> None:
        two = fakes.Link(fakes.failed(_KIND.NO_FREE_SLOT))
        three = fakes.Link()
        self._make('', two=two, three=three)
        self.assertEqual(fakes.SERVED, await self._serve())
        self.assertEqual(['spill', 'spill'], self._reasons())
        self.assertEqual([1, 1], [len(two.requests), len(three.requests)])

    async def test_lost_peer_answer_is_not_retried_elsewhere(self) -> None:
        two = fakes.Link(fakes.failed(_KIND.PEER_ANSWER_LOST))
        three = fakes.Link()
        self._make('', two=two, three=three)
        self._assert_failed(await self._serve(), _KIND.PEER_ANSWER_LOST)
        self.assertEqual([], three.requests)

    async def test_silent_peer_gets_no_requests(self) -> None:
        two, three = fakes.Link(), fakes.Link()
        two.responsive = False
        self._make('', two=two, three=three)
        self.assertEqual(fakes.SERVED, await self._serve())
        self.assertEqual([], two.requests)

    async def test_queued_until_a_slot_is_free(self) -> None:
        self._make('a')
        self.client.unblock = anyio.Event()
        tasks = [asyncio.ensure_future(self._serve()) for _ in range(2)]
        await samples.settle()
        self.assertEqual(1, self.dispatcher.backlog)
        self.assertEqual(0, self.dispatcher.free_slots)
        self.client.unblock.set()
        self.assertTrue(all(map(_is_ok, await asyncio.gather(*tasks))))
        self.assertEqual(['local', 'queued'], self._reasons())
        self.assertEqual(1, self.fleet.free_slots)

    async def test_new_request_does_not_overtake_queued(self) -> None:
        self._make('a')
        self.client.unblock = anyio.Event()
        tasks = [asyncio.ensure_future(self._serve()) for _ in range(2)]
        await samples.settle()
        self.fleet.update_hosts(samples.listing(2, 'a'))
        self.fleet.update_hosts(samples.listing(3, 'a', 'b'))
        self.owner.confirmed = False
        self.fleet.on_acquired(fakes.acquired_asset('b'))
        self.fleet.open('b')
        self.owner.confirmed = True
        self._assert_failed(
            await self.dispatcher.place(samples.request()),
            _KIND.NO_FREE_SLOT,
        )
        late = dataclasses.replace(samples.request(), request_id='late')
        tasks.append(asyncio.ensure_future(self._serve(late)))
        await samples.settle()
        self.assertEqual(['a', 'b'], self.client.endpoints)
        ids = [call.request.request_id for call in self.client.calls]
        self.assertEqual(['r.1', 'r.1'], ids)
        self.assertEqual(1, self.dispatcher.backlog)
        self.client.unblock.set()
        self.dispatcher.drain()
        await asyncio.gather(*tasks)

    async def test_offered_to_a_peer_with_free_slots(self) -> None:
        self._make('a', two=fakes.Link())
        fakes.observe_peer(self.peer_loads, 2, 0)
        self.client.unblock = anyio.Event()
        tasks = [asyncio.ensure_future(self._serve()) for _ in range(2)]
        await samples.settle()
        fakes.observe_peer(self.peer_loads, 2, 1)
        self.dispatcher.drain()
        self.assertEqual(fakes.SERVED, await tasks[1])
        self.assertEqual(['offered'], self._reasons())
        self.assertIsNone(self.peer_loads.most_free())
        self.client.unblock.set()
        await tasks[0]

    async def test_unknown_outcome_is_not_retried(self) -> None:
        for kind in (_KIND.ANSWER_LOST, _KIND.ANSWER_CUT, _KIND.ANSWER_LATE):
            self._make('ab', fakes.failed(kind))
            self._assert_failed(await self._serve(), kind)
            self.assertEqual(1, len(self.client.calls))
            self.assertEqual(1, self.fleet.free_slots)

    async def test_idempotent_is_retried_elsewhere(self) -> None:
        self._make('ab', _LOST)
        self.assertTrue((await self._serve(_IDEMPOTENT)).is_ok())
        self.assertEqual(2, len(set(self.client.endpoints)))
        identities = [call.request.request_id for call in self.client.calls]
        self.assertEqual(['r.1', 'r.2'], identities)

    async def test_not_run_after_an_unknown_outcome_is_unknown(self) -> None:
        """The first attempt may have run; the second has not.

        The answer of an idempotent request is lost and its retry is
        refused: with not-run, the caller would assume it never ran.
        """
        refused = fakes.failed(_KIND.ENDPOINT_REFUSED)
        self._make('abcdefgh', _LOST, *[refused] * 9)
        self._assert_failed(await self._serve(_IDEMPOTENT), _KIND.ANSWER_LOST)
        self.assertEqual(5, len(self.client.calls))

    async def test_retries_stay_within_the_budget(self) -> None:
        self._make('abcdef', *[_LOST] * 9)
        self._assert_failed(await self._serve(_IDEMPOTENT), _KIND.ANSWER_LOST)
        self.assertEqual(2, len(self.client.calls))
        self._make('abcdef', *[_LOST] * 9, retry_budget_minimum_per_s=0.0)
        await self._serve(_IDEMPOTENT)
        self.assertEqual(1, len(self.client.calls))

    async def test_not_run_is_retried_up_to_a_limit(self) -> None:
        unreachable = fakes.failed(_KIND.ENDPOINT_UNREACHABLE)
        self._make('ab', unreachable)
        self.assertTrue((await self._serve()).is_ok())
        self.assertEqual(2, len(set(self.client.endpoints)))
        self._make('abcdefgh', *[unreachable] * 9)
        self._assert_failed(await self._serve(), _KIND.ENDPOINT_UNREACHABLE)
        self.assertEqual(5, len(self.client.calls))

    async def test_no_retry_after_the_deadline(self) -> None:
        self._make('ab', fakes.failed(_KIND.ENDPOINT_UNREACHABLE))
        self.client.before_guard = lambda: self.timer.advance(10.0)
        self._assert_failed(await self._serve(), _KIND.ENDPOINT_UNREACHABLE)
        self.assertEqual(1, len(self.client.calls))

    async def test_guard_is_checked_before_the_first_byte(self) -> None:
        self._make('a', two=fakes.Link())
        self.client.before_guard = lambda: self.owner.lost.add('a')
        self.assertEqual(fakes.SERVED, await self._serve())
        self.assertEqual([], self.client.calls)

    async def test_closed_guard_prevents_start_here_and_at_peers(
        self,
    ) -> None:
        two = fakes.Link()
        self._make('', two=two)
        result = await self.dispatcher.serve(samples.request(), _ClosedGuard())
        self._assert_failed(result, _KIND.ANSWER_LOST)
        self.assertEqual([], two.requests)
        self._make('abcdef')
        await self.dispatcher.serve(samples.request(), _ClosedGuard())
        self.assertEqual([], self.client.calls)

    async def test_unconfirmed_polls_the_store_before_it_refuses(
        self,
    ) -> None:
        self._make('a')
        self.owner.confirmed = False
        self.assertEqual(0, self.dispatcher.free_slots)
        self._assert_failed(
            await self.dispatcher.place(samples.request()),
            _KIND.NO_FREE_SLOT,
        )
        self.owner.confirmed_by_poll = True
        self.assertTrue((await self._serve()).is_ok())
        self.assertEqual(['a'], self.client.endpoints)

    async def test_place_uses_own_slots_only(self) -> None:
        two = fakes.Link()
        self._make('a', two=two)
        placed = await self.dispatcher.place(samples.request())
        self.assertEqual('a', placed.ok.endpoint)
        self.assertEqual(['peer'], self._reasons())
        self.fleet.acquire(frozenset())
        self._assert_failed(
            await self.dispatcher.place(samples.request()),
            _KIND.NO_FREE_SLOT,
        )
        self.assertEqual([], two.requests)

    async def test_refused_at_once_without_endpoints(self) -> None:
        self._make('')
        self._assert_failed(await self._serve(), _KIND.NO_ENDPOINTS)
        self.assertEqual(['refused'], self._reasons())
        self._make('', two=fakes.Link())
        fakes.observe_peer(self.peer_loads, 2, 0)
        self._assert_failed(await self._serve(), _KIND.NO_ENDPOINTS)
        # Requests wait for slots of a host that a peer owns.
        self.fleet.update_hosts(samples.listing(2, 'b'))
        task = asyncio.ensure_future(self._serve())
        await samples.settle()
        self.assertEqual(1, self.dispatcher.backlog)
        task.cancel()

    async def test_cancelled_call_leaves_its_slot_doubtful(self) -> None:
        self._make('a')
        self.client.unblock = anyio.Event()
        task = asyncio.ensure_future(self._serve())
        await samples.settle()
        task.cancel()
        await asyncio.wait({task})
        self.assertEqual(0, self.fleet.free_slots)
        self.assertEqual(1, self.fleet.in_use('a'))

    async def test_refused_by_the_only_endpoint(self) -> None:
        """The only endpoint has a free slot and refuses a request.

        The request must not wait for an event that may never come: later
        requests would queue behind it despite the free slot.
        """
        self._make('a', fakes.failed(_KIND.ENDPOINT_REFUSED))
        task = asyncio.ensure_future(self._serve())
        await samples.settle()
        self.assertTrue(task.done())
        self.assertEqual(0, self.dispatcher.backlog)

    async def test_queued_urgent_request_preempts_batch(self) -> None:
        self._make('a')
        lease = self.fleet.acquire(frozenset())
        while lease is not None:
            lease = self.fleet.acquire(frozenset())
        request = dataclasses.replace(
            samples.request(), work_class=model.WorkClass.URGENT
        )
        task = asyncio.ensure_future(self._serve(request))
        await samples.settle()
        self.assertEqual([1], self.preemptor.requested)
        task.cancel()

    async def test_closed_guard_ends_the_attempts(self) -> None:
        """A home loses its shard during the attempts of its request.

        No endpoint may start the request any more, so another attempt would
        only delay the final answer.
        """
        self._make('ab')
        attempts: list[None] = []
        self.client.before_guard = lambda: attempts.append(None)
        result = await self.dispatcher.serve(
            samples.request(), _ClosedGuard(is_closed=True)
        )
        self._assert_failed(result, _KIND.NOT_CONFIRMED)
        self.assertEqual(1, len(attempts))
        self.assertEqual([], self.client.calls)


def _is_ok(result: typing.Any) -> bool:
    return result.is_ok()
