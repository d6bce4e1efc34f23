"""Random jobs with their arrival and true run times."""

from __future__ import annotations

import math
import random
import typing

import msgspec

from walnutpoint_model import tenancy
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = (
    'JobClass',
    'Load',
    'LoadSettings',
)

_Positive = typing.Annotated[float, msgspec.Meta(gt=0.0)]
_Share = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
_MS: typing.Final = 1000.0


class JobClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arrival rate, size, run times and failures of one class of jobs."""

    name: str
    priority: int
    arrivals_per_s: _Positive
    steps_mean: _Positive = 1.6
    width_mean: _Positive = 6.0
    cpu_millicores: int = 1300
    memory_mb: int = 2600
    accelerators: int = 0
    # Whether the tasks of a step run only together.
    gang: bool = False
    run_s: _Positive = 0.64
    # Sigma of the lognormal distribution of the steps' run times.
    run_spread: float = 0.5
    # Sigma of the lognormal error of the declared run times.
    estimate_spread: float = 0.3
    # The share of tasks that fail on any worker.
    failing_share: _Share = 0.02
    speculative_share: _Share = 0.0
    checkpoints: bool = False
    stretch: float = 1.5
    allowance_s: float = 0.25
    attempts_max: int = 4
    advised: bool = False

    def queue(self) -> cell.Queue:
        """Return the queue of the class."""
        terms = None
        if self.advised:
            terms = cell.AdviceTerms(0.4, 0.006, 2.0)
        return cell.Queue(
            self.name,
            'cell.example',
            f'/{self.name}/',
            'pool',
            self.priority,
            self.attempts_max,
            self.stretch,
            self.allowance_s,
            3.0,
            terms,
        )


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a load, and of the cell that it runs on."""

    classes: tuple[JobClass, ...]
    duration_s: _Positive = 30.0
    settle_s: _Positive = 15.0
    workers: int = 24
    worker_millicores: int = 16_000
    worker_memory_mb: int = 64_000
    worker_accelerators: int = 0
    # The share of the workers that an advised step may run on.
    granted_share: _Share = 0.7
    # How long callers retry after a refusal.
    patience_s: float = 2.8
    # Start of a store outage, if any.
    outage_at_s: float | None = None
    outage_s: _Positive = 4.5
    # The share of workers whose runs take slow_factor times as long.
    slow_share: _Share = 0.0
    slow_factor: _Positive = 6.0
    # The share of workers that fail all their runs.
    failing_workers_share: _Share = 0.0
    # When the scheduling process is killed, if at all.
    kill_at_s: float | None = None
    # The submitting accounts; if empty, no job has an account.
    accounts: tuple[tenancy.AccountLoad, ...] = ()


class Load:
    """Draws jobs from a seed, and holds their true run times."""

    __slots__ = (
        '_lengths_s',
        '_number',
        '_random',
        '_settings',
        'accepted',
        'began_ms',
        'chains_s',
        'jobs',
        'tenancy',
    )

    def __init__(self, settings: LoadSettings, seed: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)  # noqa: S311
        self._number = 0
        self._lengths_s: dict[tuple[str, int], float] = {}
        # The critical path of true run times by job, for its objective.
        self.chains_s: dict[str, float] = {}
        self.accepted: dict[str, JobClass] = {}
        # The wall-clock time at which arrivals begin.
        self.began_ms = 0.0
        # As submitted, with the time of the first try.
        self.jobs: dict[str, document.Job] = {}
        self.tenancy = tenancy.Tenancy(settings.accounts, seed)

    def pause_s(self, kind: JobClass, per_s: float | None = None) -> float:
        """Return the time until the next job of a class."""
        return self._random.expovariate(per_s or kind.arrivals_per_s)

    def draw(
        self, kind: JobClass, now_ms: int, account: str | None = None
    ) -> document.Job:
        """Return the next job of a class; None draws its account."""
        self._number += 1
        job_id = f'{self._number:016x}'
        count = 1 + self._poisson(kind.steps_mean - 1.0)
        steps = []
        chain_s = 0.0
        for number in range(count):
            length_s = kind.run_s * self._lognormal(kind.run_spread)
            chain_s += length_s
            self._lengths_s[(job_id, number)] = length_s
            declared_s = length_s * self._lognormal(kind.estimate_spread)
            steps.append(
                document.Step(
                    1 + self._poisson(kind.width_mean - 1.0),
                    kind.cpu_millicores,
                    kind.memory_mb,
                    kind.accelerators,
                    int(declared_s * _MS),
                    (number - 1,) if number else (),
                    kind.checkpoints,
                    kind.gang,
                    speculative=(
                        self._random.random() < kind.speculative_share
                    ),
                )
            )
        self.chains_s[job_id] = chain_s
        self.accepted[job_id] = kind
        job = document.Job(
            job_id,
            kind.name,
            'payload',
            tuple(steps),
            now_ms,
            accepted_by=kind.queue(),
            account=self.tenancy.draw() if account is None else account,
        )
        self.tenancy.note(job_id, job.account, now_ms)
        self.jobs[job_id] = job
        return job

    def length_s(self, task: ports.TaskName) -> float:
        """Return how long a task runs on a healthy worker."""
        return self._lengths_s.get((task.job_id, task.step), 0.1)

    def _poisson(self, mean: float) -> int:
        if mean <= 0.0:
            return 0
        limit, product, count = math.exp(-mean), self._random.random(), 0
        while product > limit:
            product *= self._random.random()
            count += 1
        return count

    def _lognormal(self, sigma: float) -> float:
        return self._random.lognormvariate(-sigma * sigma / 2, sigma)
