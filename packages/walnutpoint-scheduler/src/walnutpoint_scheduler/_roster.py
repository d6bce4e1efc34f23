"""The workers that a term knows: what runs there, and what is believed."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_core import amount
from walnutpoint_core import logs
from walnutpoint_scheduler import _incarnation
from walnutpoint_scheduler import _lease
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = (
    'Roster',
    'WorkerState',
    'by_room',
    'differ',
)

_LOG: typing.Final = logs.get_logger('roster')
_NOTHING: typing.Final = amount.Amount()
_MS: typing.Final = 1000.0
# Ends of some seconds on the busiest worker.
_ENDED_MAX: typing.Final = 64
# The incarnations of a worker that the calls of one term tell apart.
_INCARNATIONS_MAX: typing.Final = 1000
# A start counts as recent for as long as a silent worker takes to be noticed.
_FRESH_S: typing.Final = 0.7


class WorkerState:
    """One incarnation of a worker in the memory of a term."""

    __slots__ = (
        '_answered_capacity',
        'acknowledged',
        'answering',
        'answered_s',
        'born_ms',
        'confirmed',
        'ended',
        'entry_is_old',
        'expelled',
        'expiring',
        'first_report_s',
        'free',
        'fresh_jobs',
        'gone',
        'heard_s',
        'is_followed',
        'lease',
        'listed',
        'next_listed',
        'processed',
        'restarts',
        'runs',
        'runs_suspect',
        'silent_s',
        'step_counts',
        'taken',
        'unanswered',
        'unlisted_s',
        'worker_id',
    )

    def __init__(
        self, listed: cell.ListedWorker, lease: _lease.WorkerLease
    ) -> None:
        self.listed = listed
        # The entry of a later incarnation, which has not answered yet.
        self.next_listed: cell.ListedWorker | None = None
        # What its calls name it by; a later incarnation may have it too.
        self.worker_id = listed.worker_id
        # Its start by its own answers; None before the first.
        self.born_ms: int | None = None
        self.first_report_s: float | None = None
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
        # Ends up to this number were taken into account, may be forgotten as
        # they are stored, and are known to be forgotten.
        self.processed = 0
        self.acknowledged = 0
        self.confirmed = 0
        # Starts without an answer.
        self.unanswered: set[ports.RunName] = set()
        # How often this term saw a worker of its name start again.
        self.restarts = 0
        # Whether a link asks it for reports.
        self.is_followed = False
        # Whether this incarnation is certainly over.
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
    def unconfirmed(self) -> int:
        """Return up to which number ends are to be forgotten, or zero.

        Sent with each report, a number could reach an incarnation that has
        numbered its ends anew, and lose those that nobody has read.
        """
        is_known = self.confirmed >= self.acknowledged
        return 0 if is_known else self.acknowledged

    @property
    def incarnation(self) -> _incarnation.Incarnation:
        """Return the name of this incarnation."""
        born_ms = self.born_ms or self.listed.born_ms
        return _incarnation.Incarnation(self.worker_id, born_ms)

    def fence(self, token: int) -> int:
        """Return the fencing token of calls to this incarnation in a term.

        A call to the incarnation before may arrive late. This one refuses it
        from its first call on, with a higher number.
        """
        number = min(self.restarts, _INCARNATIONS_MAX - 1)
        return token * _INCARNATIONS_MAX + number

    @property
    def open_for_starts(self) -> bool:
        """Return whether new runs may be placed here."""
        return self._is_usable and not self.entry_is_old

    @property
    def entry_is_foreign(self) -> bool:
        """Return whether the newest entry is another incarnation's.

        What room this one has is not known then.
        """
        if self.next_listed is not None:
            return True
        return differ(self.born_ms, self.listed.born_ms)

    @property
    def _is_usable(self) -> bool:
        return (
            self.answering
            and not self.gone
            and not self.listed.draining
            and not self.expelled
            and not self.entry_is_foreign
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
        """Note that this incarnation has answered a call."""
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
        self.unanswered.discard(run.name)
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


def differ(born_ms: int | None, other_ms: int | None) -> bool:
    """Return whether two starts are known, and not the same."""
    return bool(born_ms and other_ms) and born_ms != other_ms


def by_room(worker: WorkerState) -> int:
    """Return a key that sorts the worker with the most processor first."""
    return -worker.free.cpu_millicores


class Roster:
    """The workers of a term."""

    __slots__ = ('_former', '_largest', '_restarts', 'changing', 'workers')

    def __init__(self) -> None:
        self.workers: dict[str, WorkerState] = {}
        # Incarnations that another one of the same name has followed.
        self._former: list[WorkerState] = []
        # How often each name came back, of those that did.
        self._restarts: dict[str, int] = {}
        self._largest: dict[str, list[amount.Amount]] = {}
        # Pools in which the capacity of a worker was seen to change.
        self.changing: set[str] = set()

    def add(self, worker: WorkerState) -> None:
        """Add a worker's incarnation, in place of one of the same name."""
        former = self.workers.get(worker.worker_id)
        if former is not None and former is not worker:
            self._former.append(former)
            self._restarts[worker.worker_id] = former.restarts + 1
        worker.restarts = self._restarts.get(worker.worker_id, 0)
        self.workers[worker.worker_id] = worker
        self._note_capacity(worker.listed)

    def prune(self, before_s: float) -> None:
        """Forget former incarnations that were lost before a time."""
        self._former = [
            worker
            for worker in self._former
            if worker.runs or (worker.silent_s or 0.0) >= before_s
        ]

    def relist(self, worker: WorkerState, listed: cell.ListedWorker) -> None:
        """Take what a worker says of itself now."""
        before = worker.listed.capacity
        is_foreign = differ(worker.listed.born_ms, listed.born_ms)
        worker.relist(listed)
        self._note_capacity(listed)
        if before == listed.capacity or not worker.answered_s or is_foreign:
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
        """Forget a worker's incarnation."""
        self.workers.pop(worker_id, None)

    def get(self, worker_id: str) -> WorkerState | None:
        """Return a worker's newest incarnation."""
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
            for other in (*self.workers.values(), *self._former)
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
        """Return the incarnation that a run is booked on, if any is."""
        newest = self.workers.get(run.worker_id)
        if newest is not None and run.name in newest.runs:
            return newest
        for worker in self._former:
            if worker.worker_id == run.worker_id and run.name in worker.runs:
                return worker
        return None
