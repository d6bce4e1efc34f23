"""The settings of the scheduler."""

from __future__ import annotations

import typing

import msgspec

__all__ = (
    'Policies',
    'SchedulerSettings',
)

_Time = typing.Annotated[float, msgspec.Meta(gt=0.0, le=600.0)]


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mechanisms that can be disabled, to measure their effect."""

    # Copies of straggling tasks, and of tasks on silent workers.
    copies: bool = True
    # Preemption of checkpointable batch tasks by urgent steps.
    preemption: bool = True
    # Capacity held for waiting steps.
    holding: bool = True
    # Use of held capacity by tasks that end before it is needed.
    backfill: bool = True
    # Request tickets for the next step while the previous one runs.
    asking_ahead: bool = True
    # Renew tickets for held capacity before it is free.
    ticket_renewal: bool = True
    # Place the step that has waited longest first.
    promotion: bool = True
    # Stop tasks that make no progress.
    stall_stops: bool = True
    # Avoid and eject failing workers, and probe them later.
    worker_health: bool = True
    # Place on slow workers last, and move urgent tasks away from them.
    slow_workers: bool = True
    # Place steps that will miss their deadline after the others.
    late_tiers: bool = True
    # Within a priority, place work beyond an account's rate after what other
    # accounts are owed.
    owed_first: bool = True
    # Pack batch tasks onto the fullest workers, by the scarcest resource.
    packing: bool = True
    # Spread the requests for advice over all processes.
    advice_spreading: bool = True
    # Estimate run times and worker speeds from observed runs.
    observed_run_times: bool = True
    # Place urgent tasks where they end soonest, if worker speeds differ.
    placement_by_end: bool = True
    # Limit advice requests to the steps that capacity will come free for.
    advice_working_set: bool = True
    # In an overload, serve the largest set of jobs that can end in time.
    served_set: bool = True
    # Share a full pool between client accounts by weight.
    fair_shares: bool = True
    # Refuse jobs that can't end while their result is useful.
    hopeless_refusal: bool = True


class SchedulerSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Times and limits; the platform's bounds replace some of them."""

    # Long enough for all processes to lose power, restart and elect a
    # scheduler; renewed every report_wait_s. Delays the restart of tasks of a
    # dead worker.
    lease_s: _Time = 2.5
    # The longest lease that workers accept; a longer one is shortened.
    lease_max_s: _Time = 10.0
    # How long a worker delays a report until a run ends. A shorter wait
    # detects stalled tasks and dead workers sooner, but takes more calls.
    report_wait_s: _Time = 0.5
    # In addition to report_wait_s. If the answer is lost, ends are not seen
    # until then.
    report_timeout_s: _Time = 0.15
    # Orders are answered within some ms; a lost answer costs this delay.
    order_timeout_s: _Time = 0.15
    # How long before their time due occurrences may start.
    early_s: typing.Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    # How long final records stay readable.
    keep_final_s: _Time = 150.0
    # How long a task may make no progress before it is run elsewhere.
    # Progress is reported in percent, at least every report_wait_s.
    stall_s: _Time = 1.3
    # A step with no run for this long is placed first in its pool, one step at
    # a time; with a shorter time bursts of batch would precede urgent work too
    # often.
    patience_s: _Time = 12.0
    # How long an entry that expired in an outage may stay missing.
    unlisted_s: _Time = 2.5
    # Maximum age of a worker's entry for its capacity to count: three
    # heartbeats, less the delay of a change.
    entry_trusted_s: _Time = 4.2
    # Period and timeout of the probes of the scheduler by each process. Two
    # consecutive timeouts indicate a frozen scheduler.
    probe_period_s: _Time = 0.12
    probe_timeout_s: _Time = 0.2
    # The longest wait for a change of the cell configuration before it is
    # polled. A change must apply in time even if the watch misses it, which
    # takes this, a timeout and a read.
    cell_period_s: _Time = 0.9
    policies: Policies = Policies()
