"""Proof that doubtful tasks do not run, after a takeover or a loss.

Every owner in the table is queried for its inventory, which also makes it
reject older epochs. A task that is in no answer runs nowhere if either

- all answers were complete under one table revision, so that each worker was
  in exactly one of them; or
- a lease has lapsed since the last owner's first answer, and each owner was
  queried again after that. An owner renews only the leases of tasks that it
  knows, so a task that it has not found by then has stopped by itself.

Both hold only while the table revision does not change. specs/lease.py has a
mutant for each of these conditions.
"""

from __future__ import annotations

import dataclasses

from walnutpoint_entry.jobs import _ports

__all__ = ('Search',)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    sent_s: float
    answered_s: float
    is_complete: bool


class Search:
    """Collects the answers of one search until they prove the absence."""

    __slots__ = (
        '_answers',
        '_requeried_s',
        '_complete_since_s',
        '_fenced_since_s',
        '_revision',
        '_settings',
        'started_s',
    )

    def __init__(self, settings: _ports.JobSettings, started_s: float) -> None:
        self._settings = settings
        self.started_s = started_s
        self._answers: dict[str, _Answer] = {}
        self._complete_since_s: float | None = None
        self._fenced_since_s: float | None = None
        self._requeried_s: float | None = None
        self._revision: int | None = None

    def observe(
        self,
        owner: str,
        sent_s: float,
        answered_s: float,
        is_complete: bool,
        revision: int,
    ) -> None:
        """Record an answer to a request sent under a table revision."""
        if sent_s < self.started_s or revision != self._revision:
            return
        self._answers[owner] = _Answer(sent_s, answered_s, is_complete)

    def advance(
        self,
        now_s: float,
        owners: frozenset[str],
        are_all_reachable: bool,
        revision: int,
    ) -> bool:
        """Return whether tasks that are in no answer run nowhere.

        May be called only while this process is confirmed as owner.
        """
        if revision != self._revision:
            self._reset(revision)
        # An unreachable owner may still renew leases, so the lapse of a
        # lease proves nothing about its workers.
        if (
            not are_all_reachable
            or not owners
            or not owners <= self._answers.keys()
        ):
            return False
        answers = [self._answers[owner] for owner in owners]
        newest_s = max(answer.answered_s for answer in answers)
        if self._fenced_since_s is None:
            self._fenced_since_s = newest_s
        if not all(answer.is_complete for answer in answers):
            self._complete_since_s = None
        elif self._complete_since_s is None:
            self._complete_since_s = newest_s
        if self._requeried_s is None and self._is_requeried(answers):
            self._requeried_s = newest_s
        return self._is_settled(self._complete_since_s, now_s) or (
            self._is_settled(self._requeried_s, now_s)
        )

    def _reset(self, revision: int) -> None:
        # A worker that moves to another owner between the two answers is in
        # neither, and its previous owner has renewed leases until now.
        self._revision = revision
        self._answers.clear()
        self._complete_since_s = None
        self._fenced_since_s = None
        self._requeried_s = None

    def _is_settled(self, since_s: float | None, now_s: float) -> bool:
        # The store may hold a newer table that is unknown here; a
        # confirmation requested after the answers rules this out.
        return since_s is not None and (
            now_s >= since_s + self._settings.settle_s
        )

    def _is_requeried(self, answers: list[_Answer]) -> bool:
        if self._fenced_since_s is None:
            return False
        lapsed_at_s = self._fenced_since_s + self._settings.lapse_s
        return all(answer.sent_s >= lapsed_at_s for answer in answers)
