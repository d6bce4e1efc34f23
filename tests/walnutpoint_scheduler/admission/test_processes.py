"""Processes decide by what the scheduler tells them in a whole cell."""

from __future__ import annotations

import typing
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import errors
from walnutpoint_model import cell_model
from walnutpoint_model import workers
from walnutpoint_scheduler import document

_HOSTS = 3
_SMALL_JOBS = 30


def _job(number: int, count: int, now_ms: int) -> document.Job:
    """Return a job that is useful for 10.2 s."""
    step = harness.step(count, cpu_millicores=8000, estimate_ms=1000)
    return harness.job(number, step, queue=harness.BATCH, accepted_ms=now_ms)


class CellTest(unittest.TestCase):
    """Eight tasks run at a time; 240 small ones wait before a large job."""

    def _submit_large(
        self,
        change: typing.Callable[
            [cell_model.CellModel, str], typing.Awaitable[None]
        ],
    ) -> list[typing.Any]:
        """Return each host's answer to a large job, after a change."""
        answers = []

        async def scenario() -> None:
            async with cell_model.running(harness.CELL, _HOSTS) as model:
                for number in range(4):
                    model.fleet.add(
                        workers.listed_worker(number), lambda _: 1.0, number
                    )
                await anyio.sleep(3.0)
                name = model.scheduler()
                assert name is not None
                submit = model.processes[name].process.submissions.submit
                for number in range(1, _SMALL_JOBS + 1):
                    job = _job(number, 8, model.now_ms())
                    await submit(job, model.timer.now_s() + 3.0)
                await anyio.sleep(6.5)
                await change(model, name)
                for number, host in enumerate(model.processes.values()):
                    job = _job(100 + number, 40, model.now_ms())
                    answers.append(
                        await host.process.submissions.submit(
                            job, model.timer.now_s() + 3.0
                        )
                    )

        harness.run_virtual(scenario)
        return answers

    def test_every_host_refuses_by_the_figure_of_the_scheduler(self) -> None:
        """Guards against a figure that is not sent, received or applied."""

        async def nothing(_model: cell_model.CellModel, _name: str) -> None:
            """Leave the cell as it is."""

        kinds = [
            answer.error.kind if answer.is_error() else None
            for answer in self._submit_large(nothing)
        ]
        self.assertEqual([errors.ErrorKind.BACKLOG_TOO_LONG] * _HOSTS, kinds)

    def test_hosts_accept_after_a_change_of_the_scheduler(self) -> None:
        """Guards against decisions by the figure of an earlier term."""

        async def kill_scheduler(
            model: cell_model.CellModel, name: str
        ) -> None:
            model.kill(name)
            await harness.until(lambda: model.scheduler() is not None)
            await anyio.sleep(0.5)

        answers = self._submit_large(kill_scheduler)
        self.assertTrue(all(answer.is_ok() for answer in answers))

    def test_host_that_is_cut_off_accepts(self) -> None:
        """Guards against refusals by a figure that is too old."""

        async def cut_one(model: cell_model.CellModel, name: str) -> None:
            other = min(set(model.processes) - {name})
            addresses = [model.processes[n].address for n in (name, other)]
            model.network.cut(*addresses)
            await anyio.sleep(2.2)

        answers = self._submit_large(cut_one)
        accepted = [answer for answer in answers if answer.is_ok()]
        self.assertEqual(1, len(accepted))
