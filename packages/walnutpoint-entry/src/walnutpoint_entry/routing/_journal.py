"""The log of this process's placement decisions."""

from __future__ import annotations

import collections
import typing

import msgspec

from walnutpoint_core import logs

__all__ = (
    'Decision',
    'DecisionLog',
)

_DECISIONS_MAX: typing.Final = 20_000

_LOG = logs.get_logger(__name__)


class Decision(msgspec.Struct, frozen=True):
    """A placement decision on a request."""

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


class DecisionLog:
    """Log each decision and keep the newest in memory."""

    __slots__ = ('_decisions', '_outcome_counts')

    def __init__(self) -> None:
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=_DECISIONS_MAX
        )
        self._outcome_counts: collections.Counter[str] = collections.Counter()

    def record(self, decision: Decision) -> None:
        """Log and store a decision."""
        self._decisions.append(decision)
        self._outcome_counts[decision.outcome] += 1
        _LOG.info('placement', **msgspec.structs.asdict(decision))

    def explain(self, request_id: str) -> tuple[Decision, ...]:
        """Return the decisions on a request, oldest first."""
        return tuple(
            decision
            for decision in self._decisions
            if decision.request_id == request_id
        )

    def outcomes(self) -> dict[str, int]:
        """Return the number of decisions by outcome."""
        return dict(self._outcome_counts)
