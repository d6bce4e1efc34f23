"""Fake ownership, endpoint client and links with scripted results."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import expression

from tests.walnutpoint_entry import samples
from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry import endpoints
from walnutpoint_entry import ownership
from walnutpoint_entry.peers import messages
from walnutpoint_entry import routing

_ServeResult = expression.Result[model.Answer, errors.Failure]
DONE: typing.Final[typing.Any] = expression.Ok(
    endpoints.EndpointReply(200, (), b'ran', 0.01)
)
SERVED: typing.Final[_ServeResult] = expression.Ok(samples.ANSWER)


def failed(kind: errors.ErrorKind) -> typing.Any:
    return expression.Error(errors.Failure(kind))


class Owner:
    """Member 1, which may act on every asset unless a test changes it."""

    def __init__(self) -> None:
        self.member = samples.member(1)
        self.stored_table: ownership.StoredTable | None = None
        self.home = self.member
        self.confirmed = True
        self.confirmed_by_poll = False
        self.lost: set[str] = set()
        self.polls = 0

    def is_confirmed(self) -> bool:
        return self.confirmed

    def is_member(self) -> bool:
        return True

    def is_active(self, asset: str) -> bool:
        return asset not in self.lost

    def may_act(self, asset: str) -> bool:
        return self.is_active(asset) and self.confirmed

    def epoch(self, asset: str) -> int:
        return 4

    def owner(self, asset: str) -> ownership.Member | None:
        return self.home

    async def poll(self) -> None:
        self.polls += 1
        self.confirmed = self.confirmed_by_poll


class Client:
    """Return the scripted results in order, then successes."""

    def __init__(self, *results: typing.Any) -> None:
        self._results = list(results)
        self.calls: list[endpoints.EndpointCall] = []
        self.forgotten: list[str] = []
        self.report: typing.Any = failed(errors.ErrorKind.ANSWER_LATE)
        self.unblock: anyio.Event | None = None
        self.before_guard: collections.abc.Callable[[], None] = lambda: None

    @property
    def endpoints(self) -> list[str]:
        return [call.address for call in self.calls]

    async def call(self, call: endpoints.EndpointCall) -> typing.Any:
        self.before_guard()
        if not call.guard():
            return failed(errors.ErrorKind.NOT_CONFIRMED)
        self.calls.append(call)
        if self.unblock is not None:
            await self.unblock.wait()
        return self._results.pop(0) if self._results else DONE

    async def usage(self, address: str) -> typing.Any:
        return self.report

    def forget(self, address: str) -> None:
        self.forgotten.append(address)


class Link:
    """Return the scripted results in order, then answers."""

    def __init__(self, *results: _ServeResult) -> None:
        self._results = list(results)
        self.requests: list[model.Request] = []
        self.responsive = True

    def is_responsive(self) -> bool:
        return self.responsive

    async def place(self, request: model.Request) -> _ServeResult:
        self.requests.append(request)
        return self._results.pop(0) if self._results else SERVED

    serve = place


class Links:
    """Links by the name of their peer."""

    def __init__(self, **links: Link) -> None:
        self._links = links
        self.batches: list[messages.KeyBatch] = []
        self.accepts_keys = True
        # Calls to lose before keys are accepted.
        self.lost_key_calls = 0

    def find(self, member: ownership.Member) -> Link | None:
        return self._links.get(member.name.replace('-', '_'))

    def responsive(self) -> tuple[Link, ...]:
        return tuple(link for link in self._links.values() if link.responsive)

    async def send_keys(
        self, successor: ownership.Member, batch: messages.KeyBatch
    ) -> bool:
        self.batches.append(batch)
        if self.lost_key_calls:
            self.lost_key_calls -= 1
            return False
        return self.accepts_keys


def acquired_asset(
    asset: str,
    in_use: int | None = None,
    is_first: bool = True,
    epoch: int = 4,
) -> ownership.AcquiredAsset:
    return ownership.AcquiredAsset(asset, epoch, in_use, is_first)


def observe_peer(
    peer_loads: routing.PeerLoads, number: int, free_slots: int
) -> None:
    peer_loads.observe(
        samples.state(samples.member(number), free_slots=free_slots)
    )


class Preemptor:
    """Record the numbers of slots to free."""

    def __init__(self) -> None:
        self.requested: list[int] = []

    def preempt_for_urgent(self, slots: int) -> int:
        self.requested.append(slots)
        return 0
