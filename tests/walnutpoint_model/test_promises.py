"""The judge of promises finds each breach and passes allowed causes."""

from __future__ import annotations

import unittest

import msgspec

from walnutpoint_model import promises

JOB = 'a'
TASK = promises.Task(JOB, 0, 0, 0)
SECOND = TASK._replace(ordinal=1)
SUBMITTED = promises.Submitted(0.0, JOB, 2)
GANG = promises.Submitted(0.0, JOB, 2, (0,))
CANCELLED = promises.CancelAcknowledged(1.0, JOB)
LATE_START = promises.Started(4.1, TASK)
SHOWN_FAILED = promises.Shown(9.0, JOB, 'failed')


def kinds(*events: promises.Event) -> list[promises.Kind]:
    """Return the kinds of the breaches in events."""
    return [breach.kind for breach in promises.judge(events)]


class StartAfterCancelTest(unittest.TestCase):
    """A start is judged by its cancel and the disturbances before it."""

    BREACH = (promises.Kind.STARTED_AFTER_CANCEL,)

    def check(self, expected: int, *events: promises.Event) -> None:
        self.assertEqual([*self.BREACH] * expected, kinds(*events))

    def test_late_start(self) -> None:
        """Guards against a late start that is not found."""
        self.check(1, SUBMITTED, CANCELLED, LATE_START)

    def test_start_within_bound(self) -> None:
        """Guards against a breach while the cancel may be on its way."""
        self.check(0, SUBMITTED, CANCELLED, promises.Started(3.9, TASK))

    def test_repeated_cancel(self) -> None:
        """Guards against a second cancel that moves the first one's bound."""
        again = promises.CancelAcknowledged(3.0, JOB)
        self.check(1, SUBMITTED, CANCELLED, again, LATE_START)

    def test_job_submitted_after_its_cancel(self) -> None:
        """Guards against a breach by a job that came after the answer."""
        submitted = promises.Submitted(2.0, JOB, 2)
        self.check(0, submitted, CANCELLED, LATE_START)

    def test_disturbance(self) -> None:
        """Guards against a breach within the bound after a disturbance."""
        disturbance = promises.Disturbance(0.5, 2.0)
        self.check(0, SUBMITTED, CANCELLED, disturbance, LATE_START)

    def test_start_long_after_disturbance(self) -> None:
        """Guards against a disturbance that excuses starts for good."""
        disturbance = promises.Disturbance(0.5, 2.0)
        late = promises.Started(5.1, TASK)
        self.check(1, SUBMITTED, CANCELLED, disturbance, late)

    def test_disturbance_that_lasts(self) -> None:
        """Guards against a breach while the disturbance lasts."""
        disturbance = promises.Disturbance(0.5, 50.0)
        late = promises.Started(40.0, TASK)
        self.check(0, SUBMITTED, CANCELLED, disturbance, late)

    def test_disturbance_after_the_bound(self) -> None:
        """Guards against a disturbance that comes after a late start."""
        disturbance = promises.Disturbance(4.2, 5.0)
        self.check(1, SUBMITTED, CANCELLED, LATE_START, disturbance)


class FailedTest(unittest.TestCase):
    """A job shown as failed is judged by its failed attempts and crashes."""

    def check(self, breaches: int, *events: promises.Event) -> None:
        expected = [promises.Kind.FAILED_WITHOUT_ATTEMPTS] * breaches
        self.assertEqual(expected, kinds(*events, SHOWN_FAILED))

    def test_no_attempt(self) -> None:
        """Guards against a failed job without a cause that is not found."""
        self.check(1, SUBMITTED)

    def test_too_few_attempts(self) -> None:
        """Guards against one failed attempt that counts as all."""
        self.check(1, SUBMITTED, promises.RunFailed(1.0, TASK, 1))

    def test_attempts_of_two_tasks(self) -> None:
        """Guards against attempts that are added up over tasks."""
        self.check(
            1,
            SUBMITTED,
            promises.RunFailed(1.0, TASK, 1),
            promises.RunFailed(1.0, SECOND, 1),
        )

    def test_attempt_reported_twice(self) -> None:
        """Guards against an end that counts once in each term."""
        self.check(
            1,
            SUBMITTED,
            promises.RunFailed(1.0, TASK, 1),
            promises.RunFailed(1.1, TASK, 1),
        )

    def test_all_attempts(self) -> None:
        """Guards against a breach where all attempts of a task failed."""
        self.check(
            0,
            SUBMITTED,
            promises.RunFailed(1.0, TASK, 1),
            promises.RunFailed(2.0, TASK, 3),
        )

    def test_attempts_after_the_answer(self) -> None:
        """Guards against causes that come after the state was shown."""
        self.check(
            1,
            SUBMITTED,
            promises.RunFailed(1.0, TASK, 1),
            promises.RunFailed(9.1, TASK, 2),
        )

    def test_members_of_one_gang_attempt(self) -> None:
        """Guards against a gang's attempt that counts for each member."""
        self.check(
            1,
            GANG,
            promises.RunFailed(1.0, TASK, 1),
            promises.RunFailed(1.0, SECOND, 1),
        )

    def test_attempts_of_a_gang(self) -> None:
        """Guards against a breach where each attempt lost another member."""
        self.check(
            0,
            GANG,
            promises.RunFailed(1.0, TASK, 1),
            promises.RunFailed(2.0, SECOND, 2),
        )

    def test_one_crash(self) -> None:
        """Guards against one crash that passes as proof."""
        crash = promises.WorkerCrashed(1.0, 'w', (TASK,))
        self.check(1, SUBMITTED, crash)

    def test_two_crashes(self) -> None:
        """Guards against a breach by a task that does crash workers."""
        self.check(
            0,
            SUBMITTED,
            promises.WorkerCrashed(1.0, 'w', (TASK,)),
            promises.WorkerCrashed(2.0, 'v', (SECOND, TASK)),
        )

    def test_crashes_under_other_tasks(self) -> None:
        """Guards against crashes that are added up over tasks."""
        self.check(
            1,
            SUBMITTED,
            promises.WorkerCrashed(1.0, 'w', (TASK,)),
            promises.WorkerCrashed(2.0, 'v', (SECOND,)),
        )

    def test_other_states(self) -> None:
        """Guards against a breach by states other than failed."""
        shown = promises.Shown(3.0, JOB, 'cancelled')
        self.assertEqual([], kinds(SUBMITTED, shown))

    def test_shown_repeatedly(self) -> None:
        """Guards against one breach that is reported for each answer."""
        self.check(1, SUBMITTED, promises.Shown(8.0, JOB, 'failed'))


class EventTest(unittest.TestCase):
    """Events cross the boundary between processes."""

    def test_round_trip(self) -> None:
        """Guards against events that lose their type or task on the way."""
        events = [GANG, CANCELLED, LATE_START, SHOWN_FAILED]
        decoded = msgspec.json.decode(
            msgspec.json.encode(events), type=list[promises.Event]
        )
        self.assertEqual(events, decoded)
