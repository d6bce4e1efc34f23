"""The placement decisions of this process, logged and kept for a while."""

from __future__ import annotations

import collections
import typing

import msgspec

from walnutpoint_core import logs

__all__ = (
    'Decision',
    'Journal',
)

_DECISIONS_MAX: typing.Final = 20_000

_LOG = logs.get_logger(__name__)


class Decision(msgspec.Struct, frozen=True):
    """One decision on one request."""

    request_id: str
    team: str
    work_class: str
    endpoint: str
    owner: str
    reason: str
    candidates_free: int
    waited_ms: float
    outcome: str
    error: str


class Journal:
    """Log each decision and remember the newest."""

    __slots__ = ('_decisions', '_served')

    def __init__(self) -> None:
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=_DECISIONS_MAX
        )
        self._served: collections.Counter[str] = collections.Counter()

    def record(self, decision: Decision) -> None:
        """Log and remember a decision."""
        self._decisions.append(decision)
        self._served[decision.outcome] += 1
        _LOG.info('placement', **msgspec.structs.asdict(decision))

    def explain(self, request_id: str) -> tuple[Decision, ...]:
        """Return what was decided on a request, the oldest first."""
        return tuple(
            decision
            for decision in self._decisions
            if decision.request_id == request_id
        )

    def outcomes(self) -> dict[str, int]:
        """Return how many decisions had each outcome."""
        return dict(self._served)
