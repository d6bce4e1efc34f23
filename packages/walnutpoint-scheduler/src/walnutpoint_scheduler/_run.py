"""One run of a task on a worker, and the phase of its start order."""

from __future__ import annotations

import enum
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _run_rate
from walnutpoint_scheduler import ports

if typing.TYPE_CHECKING:
    from walnutpoint_scheduler import _state

__all__ = (
    'Run',
    'RunPhase',
)


class RunPhase(enum.Enum):
    """Progress of a run from plan to stop."""

    # Not yet stored in the journal; no order was sent.
    PLANNED = 'planned'
    ORDERED = 'ordered'
    RUNNING = 'running'
    # The order got no answer; the worker must block the run first.
    IN_DOUBT = 'in_doubt'
    STOPPING = 'stopping'


class Run:
    """One run of a task on a worker, which books capacity until its end."""

    __slots__ = (
        'account',
        'age_at_restore_s',
        'born_ms',
        'charge',
        'expected_s',
        'fills',
        'is_pace_uncertain',
        'is_trial',
        'load',
        'name',
        'need',
        'ordered_s',
        'outpaced_action',
        'pace_percent',
        'pace_sample',
        'phase',
        'planned_ms',
        'progress_changed_s',
        'progress_percent',
        'rate',
        'reported_from_s',
        'restored_s',
        'started_s',
        'stop_reason',
        'task',
        'ticket',
        'worker_id',
    )

    def __init__(
        self,
        name: ports.RunName,
        worker_id: str,
        need: resources.Resources,
        planned_s: float,
        task: _state.TaskProgress | None,
        planned_ms: int = 0,
        born_ms: int = 0,
    ) -> None:
        self.name = name
        self.worker_id = worker_id
        # Start time of the worker incarnation, if known.
        self.born_ms = born_ms
        self.need = need
        # Time of day, valid across terms; zero where unknown.
        self.planned_ms = planned_ms
        # None for a run that no record of this term explains.
        self.task = task
        self.phase = RunPhase.PLANNED
        self.ticket = ''
        # When this term sent the start order.
        self.ordered_s: float | None = None
        # When this term restored a run that an earlier one may have started.
        self.restored_s: float | None = None
        # The oldest that it may have been then.
        self.age_at_restore_s = 0.0
        self.started_s: float | None = None
        # A report requested after this time lists the run unless it has
        # ended or never started.
        self.reported_from_s: float | None = None
        self.progress_percent = 0.0
        self.progress_changed_s = planned_s
        # Worker clock in ms and progress from which its pace is measured.
        self.pace_sample: tuple[int, float, float] | None = None
        # Expected run time on its worker; None for the declared time.
        self.expected_s: float | None = None
        # How fast it progresses; unknown unless run times are observed.
        self.rate = _run_rate.RunRate()
        self.load = 0.0
        self.pace_percent = 100
        # Whether the worker may use another pace: an order had no answer, or
        # an earlier term may have sent one.
        self.is_pace_uncertain = False
        self.stop_reason = ''
        # The action last logged because it would end sooner elsewhere.
        self.outpaced_action = ''
        # Whether worker health counts it as a start with no result yet.
        self.is_trial = False
        # The client account that it is charged to, and how much.
        self.account = ''
        self.charge = need
        if task is not None:
            self.account = task.step.job.document.account
            self.charge = task.step.step.charge
        self.fills = task is not None and task.step.step.fills

    def may_have_begun(self, before_s: float) -> bool:
        """Return whether the run may have started before a time."""
        if self.ordered_s is not None:
            return self.ordered_s < before_s
        return self.restored_s is not None
