"""Wide batch steps that compete for advice requests through forty hosts.

A hundred steps of 20 tasks wait on a full pool. Rules grant 0.35 of the
workers, tickets are valid for 2.5 s, and each host handles one request at a
time. Some hosts are lost for a few seconds.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import typing
from unittest import mock

import anyio
import expression
import msgspec

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import errors
from walnutpoint_core import web
from walnutpoint_model import advice
from walnutpoint_model import virtual_time
from walnutpoint_scheduler import _advice_router
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _term
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

NEED_MILLICORES = 9000
VALID_S = 2.5
BATCH = msgspec.structs.replace(
    harness.BATCH, advice=cell.AdviceTerms(0.49, 0.0071, VALID_S)
)
URGENT = msgspec.structs.replace(
    harness.QUEUE, advice=cell.AdviceTerms(0.026, 0.0004, VALID_S)
)
CELL = cell.Cell(1, (URGENT, BATCH), (cell.Pool('pool'),))
# The number of the job that ranks after all others.
HOPELESS_JOB = 1
# A pass at this size and the pause after it, which virtual time lacks.
_PASS_S = 0.03
_SAMPLE_S = 0.1


@dataclasses.dataclass(frozen=True)
class Load:
    """The size of a load, and the faults during it."""

    steps: int = 100
    workers: int = 176
    # Processor of the workers, in turn.
    sizes_millicores: tuple[int, ...] = (32_000,)
    hosts: int = 40
    lost: tuple[int, ...] = tuple(range(5, 15))
    lost_at_s: float = 6.0
    lost_s: float = 4.0
    # The service takes this many times its stated time.
    slowness: float = 1.0
    # The share of requests that it refuses.
    refused_share: float = 0.0
    gang_share: float = 0.0
    # Urgent jobs a second.
    urgent_per_s: float = 0.0
    # Whether one job is so late that it ranks after all others.
    has_hopeless_job: bool = False
    from_s: float = 3.0
    until_s: float = 12.0


class _Hosts:
    """Hosts with one request at a time each, some of them lost."""

    def __init__(self, load: Load, now_s: typing.Any) -> None:
        self.load = load
        self._now_s = now_s
        self._start_s = now_s()
        self._random = random.Random(1)  # noqa: S311
        self._rules = advice.AdviceService(
            typing.cast(cell.AdviceTerms, BATCH.advice), 0.35
        )
        self._locks: dict[str, asyncio.Lock] = {}
        self.busy_s = 0.0
        # When each job first requested advice.
        self.first_request_s: dict[str, float] = {}
        self.requests = 0

    async def request(
        self,
        address: str,
        _path: str,
        question: _messages.AdviceRequest,
        _kind: object,
        timeout_s: float,
    ) -> _messages.AdviceReply | web.NoResponse:
        """Answer a request that the router sends through another host."""
        elapsed_s = self._now_s() - self._start_s
        job_id = question.step.partition('.')[0]
        self.first_request_s.setdefault(job_id, elapsed_s)
        is_lost = 0.0 <= elapsed_s - self.load.lost_at_s < self.load.lost_s
        if is_lost and int(address[5:7]) in self.load.lost:
            await anyio.sleep(timeout_s)
            return web.NoResponse(True, 'no answer')
        if self._random.random() < self.load.refused_share:
            return web.NoResponse(True, 'status 429')
        self.requests += 1
        with anyio.move_on_after(timeout_s):
            async with self._locks.setdefault(address, asyncio.Lock()):
                took_s = self._answer_s(question)
                self.busy_s += took_s
                await anyio.sleep(took_s)
            return _messages.AdviceReply(
                {
                    worker: 'ticket'
                    for worker in question.workers
                    if self._rules.permits(question.step, worker)
                },
                VALID_S,
            )
        return web.NoResponse(True, 'timeout')

    def _answer_s(self, question: _messages.AdviceRequest) -> float:
        """Return the stated time of an answer, times the slowness."""
        is_brief = question.expected_s <= _advice_router.brief_limit_s(CELL)
        queue = URGENT if is_brief else BATCH
        terms = typing.cast(cell.AdviceTerms, queue.advice)
        stated_s = terms.decide_s + terms.per_worker_s * len(question.workers)
        return stated_s * (1.0 if is_brief else self.load.slowness)


class _LocalHost:
    """The scheduler's own host, which sends to the same service."""

    def __init__(self, hosts: _Hosts) -> None:
        self._hosts = hosts

    async def request(
        self, step: str, worker_ids: tuple[str, ...], expected_s: float
    ) -> expression.Result[ports.Advice, errors.Failure]:
        """Answer a request of the scheduler's own host."""
        answer = await self._hosts.request(
            'host-00:1',
            '',
            _messages.AdviceRequest(step, worker_ids, expected_s),
            None,
            expected_s + 0.8,
        )
        if isinstance(answer, web.NoResponse):
            return expression.Error(
                errors.Failure(errors.ErrorKind.ENDPOINT_UNREACHABLE)
            )
        return expression.Ok(ports.Advice(answer.tickets, answer.valid_s))


def _router(hosts: _Hosts) -> _advice_router.AdviceRouter:
    members = _membership.Membership(
        _messages.Member('host-00', 'host-00:1', 'domain', 'life')
    )
    for number in range(1, hosts.load.hosts):
        name = f'host-{number:02}'
        members.add(_messages.Member(name, f'{name}:1', 'domain', 'life'))
    return _advice_router.AdviceRouter(
        typing.cast(ports.AdviceSource, _LocalHost(hosts)),
        members,
        typing.cast(_peers.Peers, hosts),
        virtual_time.LoopTimer(),
        brief_limit_s=lambda: _advice_router.brief_limit_s(CELL),
    )


class Measurement:
    """Runs a load and splits the idle capacity by its cause."""

    def __init__(self, load: Load, **changes: typing.Any) -> None:
        self.load = load
        self._changes = changes
        self._random = random.Random(3)  # noqa: S311
        self._number = 0
        # When each urgent job was submitted.
        self._urgent_s: dict[str, float] = {}
        self.samples = 0
        # Idle cores over capacity by cause, summed over the samples.
        self.idle: collections.Counter[str] = collections.Counter()
        self.waiting: collections.Counter[str] = collections.Counter()
        # From submission to the start of each urgent task.
        self.urgent_waits_s: list[float] = []
        self.bed = harness.Testbed(0)
        self.hosts: _Hosts = typing.cast(typing.Any, None)

    def run(self) -> Measurement:
        """Run the load in virtual time."""
        with mock.patch.object(_term, '_PASS_PAUSE_S', _PASS_S):
            harness.run_virtual(self._run)
        return self

    def share(self, *causes: str) -> float:
        """Return the mean share of the processor idle for some causes."""
        total = sum(map(self._size, range(self.load.workers)))
        idle = sum(self.idle[cause] for cause in causes)
        return idle / (total * max(1, self.samples))

    def _size(self, number: int) -> int:
        sizes = self.load.sizes_millicores
        return sizes[number % len(sizes)]

    async def _run(self) -> None:
        bed, load = self.bed, self.load
        for number in range(load.workers):
            bed.add_worker(number, cpu_millicores=self._size(number))
        bed.run_time_s = self._run_time_s
        bed.fleet.ledger.on_start = self._record_start
        self.hosts = _Hosts(load, bed.timer.now_s)
        bed.advice = typing.cast(typing.Any, _router(self.hosts))
        start_s = bed.timer.now_s()
        async with bed.scheduling(CELL, **self._changes) as term:
            if load.has_hopeless_job:
                self._submit(-600_000)
            for number in range(load.steps):
                self._submit(-int(10_000 * (1 - number / load.steps)))
            await anyio.sleep(0.2)
            next_urgent_s = start_s + 1.0
            while bed.timer.now_s() - start_s < load.until_s:
                await anyio.sleep(_SAMPLE_S)
                context = term._context  # noqa: SLF001
                waiting = self._waiting_steps(context)
                for _ in range(load.steps - len(waiting)):
                    self._submit(0)
                now_s = bed.timer.now_s()
                if load.urgent_per_s and now_s >= next_urgent_s:
                    next_urgent_s += 1 / load.urgent_per_s
                    self._submit_urgent()
                if now_s - start_s >= load.from_s:
                    self._sample(context, waiting)

    def _submit(self, age_ms: int) -> None:
        self._number += 1
        declared = self._random.uniform(1 / 1.9, 1.9)
        step = harness.step(
            20,
            cpu_millicores=NEED_MILLICORES,
            estimate_ms=int(4000 * declared),
            gang=self._random.random() < self.load.gang_share,
            checkpoints=True,
        )
        self.bed.submit(
            harness.job(
                self._number,
                step,
                queue=BATCH,
                accepted_ms=self.bed.now_ms() + age_ms,
            )
        )

    def _submit_urgent(self) -> None:
        self._number += 1
        step = harness.step(10, cpu_millicores=4500, estimate_ms=800)
        job = harness.job(
            self._number, step, queue=URGENT, accepted_ms=self.bed.now_ms()
        )
        self._urgent_s[job.job_id] = self.bed.timer.now_s()
        self.bed.submit(job)

    def _run_time_s(self, task: typing.Any) -> float:
        if task.job_id in self._urgent_s:
            return 0.8
        return 4.0 * self._random.lognormvariate(-0.125, 0.5)

    def _record_start(self, task: typing.Any, _worker: str) -> None:
        submitted_s = self._urgent_s.get(task.job_id)
        if submitted_s is not None:
            waited_s = self.bed.timer.now_s() - submitted_s
            self.urgent_waits_s.append(waited_s)

    def _waiting_steps(self, context: typing.Any) -> list[typing.Any]:
        return [
            step
            for job in context.open_jobs.values()
            for step in job.occurrence(0)
            if job.document.queue == BATCH.name and step.waiting()
        ]

    def _sample(self, context: typing.Any, waiting: list[typing.Any]) -> None:
        """Count the idle capacity of each worker by its cause."""
        self.samples += 1
        for step in waiting:
            self.waiting[step.wait_cause or 'new'] += len(step.waiting())
        for worker in context.roster.workers.values():
            runs = self.bed.fleet.workers[worker.worker_id].runs
            used = sum(
                4500 if run.task.job_id in self._urgent_s else NEED_MILLICORES
                for run in runs
            )
            slots, rest = divmod(
                worker.listed.capacity.cpu_millicores - used, NEED_MILLICORES
            )
            free = max(0, worker.free.cpu_millicores // NEED_MILLICORES)
            self.idle['packing'] += rest
            self.idle['in flight'] += (slots - free) * NEED_MILLICORES
            if free:
                cause = self._cause(context.advice, waiting, worker)
                self.idle[cause] += free * NEED_MILLICORES

    def _cause(
        self, cache: typing.Any, waiting: list[typing.Any], worker: typing.Any
    ) -> str:
        """Return why a worker with room has no task of a waiting step."""
        worker_id = worker.worker_id
        if any(cache.ticket(step.key, worker_id) for step in waiting):
            return 'reserved'
        answers = {cache.permits(step.key, worker_id) for step in waiting}
        if True in answers:
            return 'expired'
        return 'not asked' if None in answers else 'denied'
