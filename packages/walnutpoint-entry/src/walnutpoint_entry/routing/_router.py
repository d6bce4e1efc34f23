"""Routing of requests to the process that is responsible for them."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import time
import typing

import anyio
import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import timer as timers
from walnutpoint_entry import keys
from walnutpoint_entry import ownership
from walnutpoint_entry import peers
from walnutpoint_entry.routing import _dispatcher
from walnutpoint_entry.routing import _shards
from walnutpoint_entry.routing import _start_guard

__all__ = ('Router',)

_RETRY_INTERVAL_S: typing.Final = 0.1
# For the outcome of a request whose last attempt ends at its deadline.
_SETTLE_S: typing.Final = 0.05
_KIND = errors.ErrorKind
# The home did not accept the request, or it recognizes the repeat.
_HOME_RETRY_KINDS: typing.Final = frozenset(
    {
        _KIND.NOT_OWNER,
        _KIND.PEER_ANSWER_LOST,
        _KIND.PEER_UNREACHABLE,
    }
)

_ServeResult: typing.TypeAlias = expression.Result[
    model.Answer, errors.Failure
]


class RunTracker(typing.Protocol):
    """Keeps this process from stopping while work runs."""

    def start(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run work that may outlast the caller's wait."""


class Router:
    """Serve requests without a key here and keyed ones at their homes."""

    __slots__ = (
        '_dispatcher',
        '_links',
        '_memory',
        '_minter',
        '_ownership',
        '_run_tracker',
        '_shard_names',
        '_shards',
        '_timer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        owner: ownership.OwnershipService,
        dispatcher: _dispatcher.Dispatcher,
        links: peers.Links,
        minter: keys.KeyMinter,
        memory: keys.KeyMemory,
        shards: _shards.KeyShards,
        shard_names: collections.abc.Sequence[str],
        run_tracker: RunTracker,
    ) -> None:
        self._timer = timer
        self._ownership = owner
        self._dispatcher = dispatcher
        self._links = links
        self._minter = minter
        self._memory = memory
        self._shards = shards
        self._shard_names = shard_names
        self._run_tracker = run_tracker

    def mint_key(self) -> expression.Result[str, errors.Failure]:
        """Return a new idempotency key, of a shard owned here if any."""
        stored = self._ownership.stored_table
        if stored is None:
            return expression.Error(errors.Failure(_KIND.NOT_CONFIRMED))
        shard = self._select_mint_shard()
        epoch = stored.table.epoch(self._shard_names[shard])
        return expression.Ok(self._minter.mint(shard, epoch, time.time()))

    async def route(self, request: model.Request) -> _ServeResult:
        """Serve a caller's request."""
        if request.key is None:
            return await self._dispatcher.serve(
                request, _start_guard.OpenGuard()
            )
        request = _scope_key(request)
        asset = self._shard_names[self._minter.shard_of(request.key)]
        while True:
            result = await self._send_to_home(asset, request)
            if result.is_ok() or result.error.kind not in _HOME_RETRY_KINDS:
                return result
            # Retrying is safe: the home knows the key. A new home that does
            # not know it refuses the request.
            if (
                self._timer.now_s() + _RETRY_INTERVAL_S
                >= request.deadline_at_s
            ):
                return _undecided(result.error)
            await self._timer.sleep(_RETRY_INTERVAL_S)

    async def serve_as_home(self, request: model.Request) -> _ServeResult:
        """Serve a keyed request at the home of its key, at most once."""
        assert request.key is not None
        parsed_key = self._minter.parse(request.key, time.time())
        if parsed_key.is_error():
            return expression.Error(parsed_key.error)
        asset = self._shard_names[parsed_key.ok.shard]
        if not await self._is_home(asset):
            return expression.Error(errors.Failure(_KIND.NOT_OWNER))
        begin_result = self._memory.begin(
            parsed_key.ok.shard,
            parsed_key.ok,
            keys.fingerprint(request),
            self._timer.now_s(),
        )
        if begin_result.is_error():
            return expression.Error(begin_result.error)
        admission = begin_result.ok
        if isinstance(admission, keys.Replayed):
            return admission.result
        if isinstance(admission, keys.Joined):
            return await self._join(admission.entry, request)
        self._run_tracker.start(self._run(admission.entry, asset, request))
        return await self._await_first(admission.entry, request)

    async def _send_to_home(
        self, asset: str, request: model.Request
    ) -> _ServeResult:
        home = self._ownership.owner(asset)
        if home is None:
            return expression.Error(errors.Failure(_KIND.NOT_OWNER))
        if home == self._ownership.member:
            return await self.serve_as_home(request)
        link = self._links.find(home)
        if link is None:
            return expression.Error(errors.Failure(_KIND.PEER_UNREACHABLE))
        return await link.serve(request)

    async def _is_home(self, asset: str) -> bool:
        if self._ownership.may_act(asset):
            return True
        if self._ownership.is_active(asset):
            await self._ownership.poll()
        return self._ownership.may_act(asset)

    async def _run(
        self, entry: keys.InFlightKey, asset: str, request: model.Request
    ) -> None:
        """Run a request, until after its deadline if its answer is late."""
        start_guard = _start_guard.KeyGuard(
            entry, lambda: self._ownership.may_act(asset)
        )
        result: _ServeResult = expression.Error(
            errors.Failure(_KIND.ANSWER_LOST)
        )
        try:
            result = await self._dispatcher.serve(request, start_guard)
        finally:
            self._memory.finish(
                entry, _final_result(result), self._timer.now_s()
            )
            self._shards.on_finished(entry)

    async def _await_first(
        self, entry: keys.InFlightKey, request: model.Request
    ) -> _ServeResult:
        """Wait for the result of the request that was admitted."""
        await self._await_result(entry, request, _SETTLE_S)
        if entry.result is None and not entry.started:
            # Its last attempt ends at the deadline too; not-run is certain.
            await entry.finished.wait()
        return _result_at_deadline(entry)

    async def _join(
        self, entry: keys.InFlightKey, request: model.Request
    ) -> _ServeResult:
        try:
            await self._await_result(entry, request)
        finally:
            entry.remove_waiter()
        return _result_at_deadline(entry)

    async def _await_result(
        self,
        entry: keys.InFlightKey,
        request: model.Request,
        grace_s: float = 0.0,
    ) -> None:
        remaining_s = request.deadline_at_s - self._timer.now_s() + grace_s
        with anyio.move_on_after(remaining_s):
            await entry.finished.wait()

    def _select_mint_shard(self) -> int:
        owned_shards = [
            index
            for index, name in enumerate(self._shard_names)
            if self._ownership.may_act(name)
        ]
        return random.choice(owned_shards or range(len(self._shard_names)))


def _scope_key(request: model.Request) -> model.Request:
    """Prefix a key that was not minted here with its team."""
    assert request.key is not None
    if keys.is_minted(request.key):
        return request
    return dataclasses.replace(request, key=f'{request.team}:{request.key}')


def _result_at_deadline(entry: keys.InFlightKey) -> _ServeResult:
    if entry.result is not None:
        return entry.result
    return expression.Error(
        errors.Failure(
            _KIND.ANSWER_LATE, 'still runs; a repeat may get its answer'
        )
    )


def _final_result(result: _ServeResult) -> _ServeResult:
    """Return the result to store for a key, with no kind that is retried."""
    # A peer to which the home sent the request may have failed. If the home
    # returned that failure unchanged, the sender would assume that the home
    # itself failed and retry until the deadline for a final answer.
    if result.is_ok() or result.error.kind not in _HOME_RETRY_KINDS:
        return result
    kind = _KIND.NO_FREE_SLOT
    if result.error.outcome is errors.Outcome.UNKNOWN:
        kind = _KIND.ANSWER_LOST
    return expression.Error(errors.Failure(kind, result.error.detail))


def _undecided(failure: errors.Failure) -> _ServeResult:
    # An earlier attempt under the same key may have run: without an answer
    # of the home, even a request that was never sent has no known outcome.
    return expression.Error(
        errors.Failure(_KIND.KEY_UNDECIDED, failure.kind.value)
    )
