"""Proof that tasks in doubt run nowhere, after a takeover or a loss.

Every owner in the table is asked for its inventory, which also makes it
refuse older epochs. A task that no answer shows runs nowhere if either

- all answers were complete while one table stood, so that every worker was
  in just one of them; or
- a lease has lapsed since the last owner answered first, and each owner was
  asked again after that. An owner renews only the leases of tasks that it
  knows, so what it has not found by then has stopped by itself.

Either holds only for the table that stood all the while. specs/lease.py has
a mutant for each of these conditions.
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
    """The answers of one search, and what they prove."""

    __slots__ = (
        '_answers',
        '_asked_again_s',
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
        self._asked_again_s: float | None = None
        self._revision: int | None = None

    def observe(
        self,
        owner: str,
        sent_s: float,
        answered_s: float,
        is_complete: bool,
        revision: int,
    ) -> None:
        """Note an answer that was asked for under a table revision."""
        if sent_s < self.started_s or revision != self._revision:
            return
        self._answers[owner] = _Answer(sent_s, answered_s, is_complete)

    def advance(
        self,
        now_s: float,
        owners: frozenset[str],
        are_all: bool,
        revision: int,
    ) -> bool:
        """Tell whether what no answer has shown runs nowhere.

        To be called only while this process is confirmed as owner.
        """
        if revision != self._revision:
            self._restart(revision)
        # An owner that cannot be asked may renew leases all the time: the
        # lapse of one lease proves nothing about its workers.
        if not are_all or not owners or not owners <= self._answers.keys():
            return False
        answers = [self._answers[owner] for owner in owners]
        newest_s = max(answer.answered_s for answer in answers)
        if self._fenced_since_s is None:
            self._fenced_since_s = newest_s
        if not all(answer.is_complete for answer in answers):
            self._complete_since_s = None
        elif self._complete_since_s is None:
            self._complete_since_s = newest_s
        if self._asked_again_s is None and self._is_asked_again(answers):
            self._asked_again_s = newest_s
        return self._is_settled(self._complete_since_s, now_s) or (
            self._is_settled(self._asked_again_s, now_s)
        )

    def _restart(self, revision: int) -> None:
        # A worker that moves from one owner to another between their answers
        # would be in neither, and its last owner has renewed until now.
        self._revision = revision
        self._answers.clear()
        self._complete_since_s = None
        self._fenced_since_s = None
        self._asked_again_s = None

    def _is_settled(self, since_s: float | None, now_s: float) -> bool:
        # A newer table may stand in the store and not be known here yet; a
        # confirmation asked for after the answers shows that none did.
        return since_s is not None and (
            now_s >= since_s + self._settings.settle_s
        )

    def _is_asked_again(self, answers: list[_Answer]) -> bool:
        if self._fenced_since_s is None:
            return False
        lapsed_s = self._fenced_since_s + self._settings.lapse_s
        return all(answer.sent_s >= lapsed_s for answer in answers)
