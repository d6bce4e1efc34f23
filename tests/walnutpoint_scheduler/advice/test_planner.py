"""Which waiting steps the planner gives a place, without a network."""

from __future__ import annotations

import collections.abc
import types
import typing
import unittest

import msgspec

from tests.walnutpoint_scheduler.advice import load as loads
from tests.walnutpoint_scheduler import harness
from walnutpoint_core import resources
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _state
from walnutpoint_scheduler.advice import _planner
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import settings

NOW_S = 100.0
PATIENCE_S = 12.0
QUEUE_A = msgspec.structs.replace(loads.BATCH, name='a', pool='a')
QUEUE_B = msgspec.structs.replace(loads.BATCH, name='b', pool='b')
_FREE = resources.Resources(32_000, 64_000, 0)


def _worker(pool: str, number: int) -> typing.Any:
    listed = types.SimpleNamespace(capacity=_FREE, labels=frozenset())
    return types.SimpleNamespace(
        worker_id=f'{pool}-{number}',
        listed=listed,
        free=_FREE,
        runs={},
        may_accept_starts=True,
    )


class PlannerTest(unittest.TestCase):
    """The steps of two pools of eight workers each."""

    def setUp(self) -> None:
        """Create a planner for a term without runs."""
        workers = {
            pool: [_worker(pool, number) for number in range(8)]
            for pool in ('a', 'b')
        }
        self.denied: set[str] = set()
        # Startable tasks by account.
        self.limits: dict[str, int] = {}
        self.withheld: set[str] = set()
        self.terms = typing.cast(cell.AdviceTerms, QUEUE_A.advice)
        self.context: typing.Any = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                policies=settings.Policies(), patience_s=PATIENCE_S
            ),
            timer=types.SimpleNamespace(now_s=lambda: NOW_S),
            roster=types.SimpleNamespace(in_pool=workers.__getitem__),
            advice_cutoffs={},
            account_of=lambda job: job.account,
            advice=types.SimpleNamespace(
                request_limit=lambda _terms: 40,
                answer_s=lambda terms, count: (
                    terms.decide_s + terms.per_worker_s * count
                ),
                granted_share=lambda _terms: 0.35,
                permits=lambda key, _worker: (
                    False if key in self.denied else None
                ),
                is_scarce=False,
                limited_in_flight=0,
            ),
        )
        self.planner = _planner.RequestPlanner(self.context)
        self.steps: list[_placement_order.QueuedStep] = []

    def add(
        self,
        step_count: int,
        queue: cell.Queue = QUEUE_A,
        account: str = '',
        idle_s: float = 1.0,
        **fields: typing.Any,
    ) -> list[str]:
        """Add steps after the others, and return their keys."""
        keys = []
        for _ in range(step_count):
            number = len(self.steps)
            job = _state.JobProgress(
                harness.job(
                    number,
                    harness.step(**{'count': 20, 'cpu_millicores': 9000}
                                 | fields),
                    queue=queue,
                ),
                queue,
                NOW_S,
            )  # fmt: skip
            if account:
                job.account = typing.cast(
                    typing.Any, types.SimpleNamespace(name=account)
                )
            step = job.occurrence(0)[0]
            step.ready_s = NOW_S - idle_s
            rank = (queue.priority, False, 0, float(number), step.key)
            self.steps.append(_placement_order.QueuedStep(rank, queue, step))
            keys.append(step.key)
        return keys

    def members(
        self, promoted: collections.abc.Collection[str] = ()
    ) -> set[str]:
        """Begin a pass, and return the keys of the steps in a set."""

        def startable(step: _state.StepProgress) -> int | None:
            account = step.job.account
            return None if account is None else self.limits[account.name]

        limits: typing.Any = types.SimpleNamespace(
            startable_tasks=startable,
            permits=lambda step: startable(step) != 0,
        )
        self.planner.begin(
            self.steps,
            limits,
            lambda key: key not in self.withheld,
            [q for q in self.steps if q.step.key in promoted],
        )
        self.assertTrue(self.planner.is_active)
        return {
            key
            for pool in self.planner._sets.pools.values()  # noqa: SLF001
            for key in pool.chosen.keys
        }

    def test_each_pool_has_members(self) -> None:
        """Guards against a pool whose steps fill the set of all others."""
        in_a, in_b = self.add(60), self.add(60, QUEUE_B)
        members = self.members()
        self.assertGreaterEqual(len(members & set(in_a)), 10)
        self.assertGreaterEqual(len(members & set(in_b)), 10)
        cutoffs = self.context.advice_cutoffs
        self.assertLess(cutoffs['a'], cutoffs['b'])

    def test_pools_share_the_hosts(self) -> None:
        """Guards against sets that the hosts can't keep tickets for."""
        self.context.advice.request_limit = lambda _terms: 4
        self.add(60)
        alone = len(self.members())
        self.planner = _planner.RequestPlanner(self.context)
        self.add(60, QUEUE_B)
        self.assertLessEqual(len(self.members()), alone)

    def test_account_limit_caps_demand(self) -> None:
        """Guards against a set of steps that one task left can start."""
        self.limits['limited'] = 1
        limited = self.add(30, account='limited')
        others = self.add(30)
        members = self.members()
        self.assertEqual(1, len(members & set(limited)))
        self.assertGreaterEqual(len(members & set(others)), 10)

    def test_account_limit_goes_by_placement_order(self) -> None:
        """Guards against a limit spent on a later or withheld step."""
        self.limits['limited'] = 1
        self.add(1)
        withheld = self.add(1, QUEUE_B, 'limited')
        self.withheld.update(withheld)
        first = self.add(1, QUEUE_B, 'limited')
        later = self.add(1, account='limited')
        self.add(60)
        self.add(60, QUEUE_B)
        members = self.members()
        self.assertLessEqual(set(first), members)
        self.assertFalse(members & {*withheld, *later})

    def test_stuck_steps_have_no_place(self) -> None:
        """Guards against a set of steps that no worker can start."""
        denied = self.add(30, idle_s=50.0)
        self.denied.update(denied)
        too_large = self.add(5, cpu_millicores=40_000, idle_s=50.0)
        too_wide = self.add(5, count=25, gang=True, idle_s=50.0)
        others = self.add(60)
        overdue = self.add(1, idle_s=30.0)
        members = self.members()
        self.assertFalse(members & {*denied, *too_large, *too_wide})
        self.assertGreaterEqual(len(members & set(others)), 10)
        self.assertLessEqual(set(overdue), members)

    def test_promoted_step_enters(self) -> None:
        """Guards against a step that goes first and can't renew tickets."""
        self.add(60)
        self.add(20, idle_s=50.0)
        promoted = self.add(1, idle_s=20.0)
        self.assertFalse(self.members() & set(promoted))
        self.planner = _planner.RequestPlanner(self.context)
        self.assertLessEqual(set(promoted), self.members(promoted))

    def test_withheld_step_enters_once_overdue(self) -> None:
        """Guards against a useless step that is left out for good."""
        useless = self.add(2)
        overdue = self.add(1, idle_s=20.0)
        self.withheld.update(useless + overdue)
        self.add(60)
        members = self.members()
        self.assertFalse(members & set(useless))
        self.assertLessEqual(set(overdue), members)

    def test_answers_that_take_no_time(self) -> None:
        """Guards against a division by the stated time of an answer."""
        self.context.advice.answer_s = lambda _terms, _count: 0.0
        self.add(60)
        self.assertTrue(self.members())
