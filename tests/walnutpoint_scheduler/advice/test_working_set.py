"""Which steps may request advice, and whom they name, without a network."""

from __future__ import annotations

import unittest

from walnutpoint_scheduler.advice import _names
from walnutpoint_scheduler.advice import _working_set
from walnutpoint_scheduler import document

SHARE = 0.35
OVERDUE_S = 8.6
NOW_S = 100.0
ANSWER_S = 0.9


def _steps(
    count: int, demand: float = 0.1, idle_s: float = 1.0
) -> list[_working_set.WaitingStep]:
    return [
        _working_set.WaitingStep(f'step-{number:03}', demand, idle_s)
        for number in range(count)
    ]


def _choose(
    steps: list[_working_set.WaitingStep], places_max: int
) -> _working_set.WorkingSet:
    answer_share = ANSWER_S / 2.5
    return _working_set.choose(
        steps, SHARE, places_max, OVERDUE_S, answer_share
    )


class ChoiceTest(unittest.TestCase):
    """The steps that may request advice."""

    def test_set_covers_the_capacity_that_comes_free(self) -> None:
        """Guards against a set whose granted share leaves capacity idle."""
        chosen = _choose(_steps(100), 90)
        self.assertEqual(
            {f'step-{number:03}' for number in range(29)}, chosen.keys
        )
        self.assertFalse(chosen.is_limited_by_budget)
        self.assertTrue(chosen.is_contested)

    def test_few_large_steps_leave_no_worker_ungranted(self) -> None:
        """Guards against workers that no step of a small set may use."""
        chosen = _choose(_steps(100, 5.0), 90)
        self.assertLess((1 - SHARE) ** len(chosen.keys), 0.03)

    def test_budget_limits_the_set(self) -> None:
        """Guards against more steps than the hosts can keep tickets for."""
        chosen = _choose(_steps(100), 12)
        self.assertEqual(12, len(chosen.keys))
        self.assertTrue(chosen.is_limited_by_budget)

    def test_oldest_step_enters_in_time(self) -> None:
        """Guards against a step that never gets a ticket."""
        steps = _steps(100)
        steps[90] = _working_set.WaitingStep('old', 0.1, OVERDUE_S)
        steps[80] = _working_set.WaitingStep('oldest', 0.1, OVERDUE_S + 1)
        chosen = _choose(steps, 1)
        self.assertEqual({'step-000', 'oldest'}, chosen.keys)

    def test_few_steps_are_not_contested(self) -> None:
        """Guards against a set where capacity suffices for all steps."""
        chosen = _choose(_steps(3), 90)
        self.assertFalse(chosen.is_contested)


class _Tickets:
    """Grants some workers, with tickets that expire at one time."""

    def __init__(self, granted: set[str], denied: set[str], until_s: float):
        self._granted, self._denied = granted, denied
        self._until_s = until_s

    def permits(self, _step: str, worker_id: str) -> bool | None:
        """Return the answer, if known."""
        if worker_id in self._granted:
            return True
        return False if worker_id in self._denied else None

    def is_valid_at(self, _step: str, _worker_id: str, at_s: float) -> bool:
        """Return whether no ticket has expired."""
        return at_s < self._until_s


def _rooms(*names: str, rivals: int = 5) -> list[_names.Room]:
    return [_names.Room(name, 0.5, rivals) for name in names]


def _chosen(
    rooms: list[_names.Room], tickets: _Tickets, tasks: int = 20
) -> list[str]:
    step = document.Step(tasks)
    return _names.choose('key', step, SHARE, rooms, tickets, NOW_S, ANSWER_S)


class NamesTest(unittest.TestCase):
    """The workers that a request names."""

    def test_first_request_of_a_wide_step_names_many(self) -> None:
        """Guards against one request after the other for a wide step."""
        rooms = _rooms(*(f'worker-{number}' for number in range(176)))
        rooms[150] = _names.Room('scarce', 2.0, 0)
        chosen = _chosen(rooms, _Tickets(set(), set(), 0.0))
        self.assertEqual(100, len(chosen))
        self.assertEqual('scarce', chosen[0])

    def test_valid_tickets_are_not_renewed(self) -> None:
        """Guards against renewals that expire unused."""
        tickets = _Tickets({'a', 'b'}, set(), NOW_S + 1.5)
        self.assertEqual([], _chosen(_rooms('a', 'b'), tickets))

    def test_renewal_names_granted_workers_with_room(self) -> None:
        """Guards against names that can't be used, each of which costs."""
        tickets = _Tickets({'a', 'b', 'full'}, {'c'}, NOW_S + 0.5)
        self.assertEqual(['a', 'b'], _chosen(_rooms('a', 'b', 'c'), tickets))

    def test_too_few_granted_workers(self) -> None:
        """Guards against a wide step that keeps to the few it was granted."""
        tickets = _Tickets({'a', 'b'}, {'c'}, NOW_S + 1.5)
        self.assertEqual(['d'], _chosen(_rooms('a', 'b', 'c', 'd'), tickets))

    def test_few_held_of_many_rooms(self) -> None:
        """Guards against a step that waits beside workers not asked about."""
        tickets = _Tickets({'a', 'b'}, set(), NOW_S + 2.0)
        rooms = _rooms('a', 'b', *(f'free-{number}' for number in range(98)))
        self.assertEqual(24, len(_chosen(rooms, tickets, tasks=2)))
        self.assertEqual([], _chosen(rooms[:4], tickets, tasks=2))

    def test_nothing_is_requested_without_room(self) -> None:
        """Guards against requests for steps that nothing comes free for."""
        tickets = _Tickets({'a'}, {'b'}, NOW_S)
        self.assertEqual([], _chosen(_rooms('b'), tickets))
