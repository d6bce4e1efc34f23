"""A process refuses by the newest figure it has, and accepts in doubt."""

from __future__ import annotations

import random
import typing
import unittest

import msgspec

from tests.walnutpoint_scheduler import harness
from tests.walnutpoint_scheduler.submission import service as services
from walnutpoint_core import errors
from walnutpoint_model import store
from walnutpoint_model import virtual_time
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import admission
from walnutpoint_scheduler.admission import _publisher
from walnutpoint_scheduler import document
from walnutpoint_scheduler import submission

_ROWS = (
    _messages.WaitingWork(True, True, 8, 400, 40_000),
    _messages.WaitingWork(False, True, 8, 400, 40_000),
)
# The batch queue has a minute of work, the urgent one fits.
_BACKLOG = msgspec.msgpack.encode(
    _messages.Backlog(
        3,
        (_publisher.checksum('hot'),),
        (
            _messages.PoolBacklog('pool', 2, 5_632_000, 10**9, 0, 0.6, _ROWS),
            _messages.PoolBacklog('pool', 0, 5_632_000, 10**9, 0, 0.2, ()),
        ),
    )
)
_STEP = harness.step(42, cpu_millicores=9000, estimate_ms=3800)


def _batch(number: int = 1, **fields: typing.Any) -> document.Job:
    return harness.job(number, _STEP, queue=harness.BATCH, **fields)


async def _gate(age_s: float = 0.3, seed: int = 1) -> admission.AdmissionGate:
    clock = virtual_time.LoopTimer()
    gate = admission.AdmissionGate(
        clock,
        lambda: True,
        random.Random(seed),  # noqa: S311
    )
    gate.note(7, _BACKLOG, age_s, clock.now_s())
    return gate


class GateTest(unittest.TestCase):
    """Decide on jobs by a received figure."""

    def test_hopeless_batch_job_is_refused_and_urgent_one_accepted(
        self,
    ) -> None:
        """Guards against refusing work that passes the backlog."""

        async def scenario() -> None:
            gate = await _gate()
            refusal = gate.refusal(_batch())
            assert refusal is not None
            rule = refusal.failure.rule
            self.assertEqual(429, rule.status)
            self.assertIs(errors.Outcome.NOT_RUN, rule.outcome)
            self.assertIsNone(gate.refusal(harness.job(2, _STEP)))

        harness.run_virtual(scenario)

    def test_doubt_accepts(self) -> None:
        """Guards against refusals without a certain reason."""

        async def scenario() -> None:
            lasting = harness.step(42, cpu_millicores=9000, lasting=True)
            gate = await _gate()
            for job in (
                harness.job(1, lasting, queue=harness.BATCH),
                _batch(occurrence_count=3),
                harness.job(
                    1,
                    _STEP,
                    queue=msgspec.structs.replace(harness.BATCH, pool='other'),
                ),
            ):
                self.assertIsNone(gate.refusal(job))
            self.assertIsNone((await _gate(age_s=5.0)).refusal(_batch()))
            # The new scheduler publishes nothing yet.
            gate.note(8, b'', 0.0, 1e9)
            self.assertIsNone(gate.refusal(_batch()))

        harness.run_virtual(scenario)

    def test_retry_is_spread_and_earlier_for_jobs_within_the_rate(
        self,
    ) -> None:
        """Guards against callers that return together, to a full pool."""

        async def scenario() -> None:
            delays_s: dict[str, list[float]] = {'usual': [], 'hot': []}
            for seed in range(40):
                for account, delays in delays_s.items():
                    gate = await _gate(seed=seed)
                    refusal = gate.refusal(_batch(account=account))
                    assert refusal is not None
                    delays.append(refusal.failure.retry_after_s)
            room_s = 40.0 / 0.6 - (3 * (2.2 * 3.8 + 1.2) - 3.8) - 0.3
            self.assertGreaterEqual(min(delays_s['usual']), room_s - 1e-6)
            self.assertLess(max(delays_s['usual']), min(delays_s['hot']))
            self.assertEqual(40, len(set(delays_s['usual'])))

        harness.run_virtual(scenario)


def _nothing(_service: services.Service) -> None:
    """Leave the store as it is."""


class LookupTest(unittest.TestCase):
    """Look a hopeless job up before it is refused."""

    def _submit(
        self,
        *numbers: int,
        before: typing.Callable[[services.Service], None] = _nothing,
    ) -> list[typing.Any]:
        """Submit jobs, the first one before the backlog is known."""
        answers = []

        async def scenario() -> None:
            service = services.Service()
            now_s = virtual_time.LoopTimer().now_s
            for index, number in enumerate(numbers):
                if index == 1:
                    service.gate.note(7, _BACKLOG, 0.0, now_s())
                    before(service)
                began_s = now_s()
                answer = await service.submissions.submit(
                    _batch(number), began_s + 3.0
                )
                answers.append(answer)
                if index and before is _nothing:
                    # A quarter of the shortest objective, of 1.15 s.
                    self.assertLess(now_s() - began_s, 1.15 / 4)

        harness.run_virtual(scenario)
        return answers

    def test_repeat_of_a_stored_job_is_accepted(self) -> None:
        """Guards against telling a caller that a stored job has not run."""
        _, repeated, other = self._submit(1, 1, 2)
        self.assertIs(submission.SubmitOutcome.KNOWN, repeated.ok)
        self.assertIs(errors.ErrorKind.BACKLOG_TOO_LONG, other.error.kind)

    def test_failed_lookup_accepts(self) -> None:
        """Guards against refusing what may be a repeat."""

        def silence(service: services.Service) -> None:
            service.store.fault = store.StoreFault.SILENT

        _, answer = self._submit(1, 2, before=silence)
        self.assertIsNot(errors.ErrorKind.BACKLOG_TOO_LONG, answer.error.kind)
