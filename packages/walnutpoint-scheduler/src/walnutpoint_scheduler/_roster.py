"""The workers that a term knows: what runs there, and what is believed."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_core import amount
from walnutpoint_core import logs
from walnutpoint_scheduler import _lease
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = (
    'Roster',
    'WorkerState',
    'by_room',
)

_LOG: typing.Final = logs.get_logger('roster')
_NOTHING: typing.Final = amount.Amount()
_MS: typing.Final = 1000.0
# Ends of some seconds on the busiest worker.
_ENDED_MAX: typing.Final = 64
# A start counts as recent for as long as a silent worker takes to be noticed.
_FRESH_S: typing.Final = 0.7


class WorkerState:
    """One life of a worker in the memory of a term."""

    __slots__ = (
        '_answered_capacity',
        'acknowledged',
        'answering',
        'answered_s',
        'ended',
        'entry_is_old',
        'expelled',
        'expiring',
        'free',
        'fresh_jobs',
        'gone',
        'heard_s',
        'lease',
        'listed',
        'listed_until_s',
        'processed',
        'runs',
        'runs_suspect',
        'silent_s',
        'step_counts',
        'taken',
        'unlisted_s',
        'worker_id',
    )

    def __init__(
        self, listed: cell.ListedWorker, lease: _lease.WorkerLease
    ) -> None:
        self.listed = listed
        # The identifier of this life.
        self.worker_id = listed.worker_id
        self._answered_capacity: amount.Amount | None = None
        # The room that is neither used nor booked.
        self.free = listed.capacity
        self.lease = lease
        self.runs: dict[ports.RunName, _run.Run] = {}
        self.taken = _NOTHING
        self.step_counts: collections.Counter[str] = collections.Counter()
        # Whether the newest call was answered under this term's token.
        self.answering = False
        self.answered_s = 0.0
        # When anything was heard of it last, and since when calls fail.
        self.heard_s: float | None = None
        self.silent_s: float | None = None
        # The jobs of which a task had just been started then.
        self.fresh_jobs: frozenset[str] = frozenset()
        # Whether a task that may crash it runs there, and nothing may start.
        self.runs_suspect = False
        # Whether its lease is being waited out, to give up what runs there.
        self.expiring = False
        # Ends up to this number were taken into account, and stored.
        self.processed = 0
        self.acknowledged = 0
        # Whether this life is certainly over.
        self.gone = False
        # Runs that ended lately: reports on two connections may come in
        # the wrong order.
        self.ended: collections.deque[ports.RunName] = collections.deque(
            maxlen=_ENDED_MAX
        )
        # Whether its entry is too old to tell what room it has.
        self.entry_is_old = False
        self.unlisted_s: float | None = None
        # Whether it has been unlisted for too long to be given work.
        self.expelled = False

    @property
    def open_for_starts(self) -> bool:
        """Return whether new runs may be placed here."""
        return self._is_usable and not self.entry_is_old

    @property
    def _is_usable(self) -> bool:
        return (
            self.answering
            and not self.gone
            and not self.listed.draining
            and not self.expelled
        )

    @property
    def may_open(self) -> bool:
        """Return whether it is open, or likely to be at its first answer.

        A new term's first questions would name only those that answered
        within its first ms, and each be asked a second time for the others.
        """
        if self._is_usable:
            return True
        unheard = not self.answered_s and not self.gone and not self.expelled
        return (
            unheard
            and bool(self.listed.address)
            and not self.listed.draining
            and self.unlisted_s is None
        )

    @property
    def is_overrun(self) -> bool:
        """Return whether more is booked here than there is."""
        return not self.free.covers(_NOTHING)

    def entry_age_s(self, now_s: float) -> float:
        """Return how old its entry is, by the worker's own clock."""
        clock_ms = self.lease.clock_ms(now_s)
        if clock_ms is None or not self.listed.clock_ms:
            return 0.0
        return (clock_ms - self.listed.clock_ms) / _MS

    def hear(self, now_s: float) -> None:
        """Note that this life has answered a call."""
        self.heard_s = now_s
        self.silent_s = None

    def miss(self, now_s: float) -> None:
        """Note that a call was not answered."""
        if self.silent_s is None:
            self.silent_s = now_s
            self.fresh_jobs = frozenset(
                run.name.task.job_id
                for run in self.runs.values()
                if run.ordered_s is not None
                and now_s - run.ordered_s <= _FRESH_S
            )

    def book(self, run: _run.Run) -> None:
        """Take room for a run."""
        if run.name in self.runs:
            return
        self.runs[run.name] = run
        self._take(self.taken + run.need)
        if run.task is not None:
            self.step_counts[run.task.step.key] += 1

    def release(self, run: _run.Run) -> None:
        """Give back the room of a run that is over."""
        if self.runs.pop(run.name, None) is None:
            return
        self.ended.append(run.name)
        self._take(self.taken - run.need)
        if run.task is not None:
            self.step_counts[run.task.step.key] -= 1

    def relist(self, listed: cell.ListedWorker) -> None:
        """Take what the worker says of itself now."""
        self.listed = listed
        self._take(self.taken)

    def answer_capacity(self, capacity: amount.Amount | None) -> None:
        """Take what an answer says of the worker's room, if it does."""
        if capacity != self._answered_capacity:
            self._answered_capacity = capacity
            self._take(self.taken)

    def _take(self, taken: amount.Amount) -> None:
        self.taken = taken
        capacity = self.listed.capacity
        if self._answered_capacity is not None:
            # Either may be the older one, and the smaller is safe.
            capacity = capacity.least(self._answered_capacity)
        self.free = capacity - taken

    def serving_runs(self) -> list[_run.Run]:
        """Return the runs whose users have a target for response times."""
        return [
            run
            for run in self.runs.values()
            if run.task is not None and run.task.step.step.latency_target_ms
        ]


def by_room(worker: WorkerState) -> int:
    """Return a key that sorts the worker with the most processor first."""
    return -worker.free.cpu_millicores


class Roster:
    """The workers of a term."""

    __slots__ = ('_largest', 'changing', 'workers')

    def __init__(self) -> None:
        self.workers: dict[str, WorkerState] = {}
        self._largest: dict[str, list[amount.Amount]] = {}
        # Pools in which the capacity of a worker was seen to change.
        self.changing: set[str] = set()

    def add(self, worker: WorkerState) -> None:
        """Add a worker's life."""
        self.workers[worker.worker_id] = worker
        self._note_capacity(worker.listed)

    def relist(self, worker: WorkerState, listed: cell.ListedWorker) -> None:
        """Take what a worker says of itself now."""
        before = worker.listed.capacity
        worker.relist(listed)
        self._note_capacity(listed)
        if before == listed.capacity or not worker.answered_s:
            return
        self.changing.add(listed.pool)
        _LOG.info(
            'worker.capacity_changed',
            worker=listed.worker_id,
            pool=listed.pool,
            cpu_millicores=listed.capacity.cpu_millicores,
            memory_mb=listed.capacity.memory_mb,
            accelerators=listed.capacity.accelerators,
            was_cpu_millicores=before.cpu_millicores,
            free_cpu_millicores=worker.free.cpu_millicores,
            runs=len(worker.runs),
        )

    def _note_capacity(self, listed: cell.ListedWorker) -> None:
        """Remember a capacity, unless a larger one was seen.

        A worker that has shrunk may grow again, and is not the pool; one
        that has grown holds tasks which none could hold before.
        """
        largest = self._largest.setdefault(listed.pool, [])
        capacity = listed.capacity
        if not any(known.covers(capacity) for known in largest):
            kept = [known for known in largest if not capacity.covers(known)]
            self._largest[listed.pool] = [*kept, capacity]

    def check_entry(
        self, worker: WorkerState, now_s: float, trusted_s: float
    ) -> None:
        """Compare the age of a worker's entry with how long it is trusted.

        While the store is away a worker can't say that it has shrunk; started
        by its last entry, tasks would overrun it. Where no capacity was ever
        seen to change, waiting for a sign of life would only cost callers
        what can start right after an outage.
        """
        worker.entry_is_old = (
            worker.listed.pool in self.changing
            and worker.entry_age_s(now_s) > trusted_s
        )

    def remove(self, worker_id: str) -> None:
        """Forget a worker's life."""
        self.workers.pop(worker_id, None)

    def get(self, worker_id: str) -> WorkerState | None:
        """Return a worker's life."""
        return self.workers.get(worker_id)

    def in_pool(self, pool: str) -> collections.abc.Iterator[WorkerState]:
        """Return the workers of a pool."""
        return (w for w in self.workers.values() if w.listed.pool == pool)

    def largest(self) -> dict[str, list[amount.Amount]]:
        """Return the largest capacities that were seen of each pool."""
        return self._largest

    def lost_with(
        self, worker: WorkerState, within_s: float
    ) -> list[WorkerState]:
        """Return the others that fell silent at about the same time.

        Of a worker that this term never heard, those are all that it never
        heard: nobody knows when each was lost.
        """
        lost = [
            other
            for other in self.workers.values()
            if other is not worker
            and (other.gone or other.silent_s is not None)
        ]
        if worker.heard_s is None:
            return [other for other in lost if other.heard_s is None]
        if worker.silent_s is None:
            return []
        return [
            other
            for other in lost
            if other.silent_s is not None
            and abs(other.silent_s - worker.silent_s) <= within_s
        ]

    def holder(self, run: _run.Run) -> WorkerState | None:
        """Return the worker that a run is booked on."""
        return self.workers.get(run.worker_id)
