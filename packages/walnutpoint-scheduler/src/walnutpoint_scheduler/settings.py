"""The settings of the scheduler, with their units and sources."""

from __future__ import annotations

import typing

import msgspec

__all__ = (
    'Policies',
    'SchedulerSettings',
)

_Time = typing.Annotated[float, msgspec.Meta(gt=0.0, le=600.0)]


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mechanisms that can be switched off, to measure what each is worth."""

    # Second runs of tasks that straggle or whose worker is silent.
    copies: bool = True
    # Stops of batch that saves its state, for urgent steps.
    preemption: bool = True
    # Room kept for steps that wait.
    holding: bool = True
    # Use of held room by what is over before it is needed.
    backfill: bool = True
    # Tickets for a next step while the one before runs.
    asking_ahead: bool = True
    # Tickets for held room before it comes.
    ticket_renewal: bool = True
    # The step that has waited longest goes first.
    promotion: bool = True
    # Stops of tasks that make no progress.
    stall_stops: bool = True
    # Workers that fail are avoided, set aside and tried again.
    worker_health: bool = True
    # Workers on which tasks get on slowly come last, and urgent tasks that
    # run there are moved.
    slow_workers: bool = True
    # Steps that will be late come after those on time.
    late_tiers: bool = True
    # What an account sends beyond its rate comes after what others of the
    # same priority are owed.
    owed_first: bool = True
    # Batch goes to the fullest workers, by the resource that binds.
    packing: bool = True
    # Questions for advice go through all processes.
    advice_spreading: bool = True


class SchedulerSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Times and limits; a platform's own bounds replace some of them."""

    # Long enough for all processes to lose power, start again and take over,
    # and renewed every report_wait_s; what runs on a dead worker comes back
    # this much later.
    lease_s: _Time = 2.5
    # The longest lease that workers grant; a longer one is cut there.
    lease_max_s: _Time = 10.0
    # How long a worker holds a report back until something ends. Shorter
    # finds stalled tasks and dead workers sooner, at a call each.
    report_wait_s: _Time = 0.5
    # Beyond the wait. A worker's answer may be lost, and its ends are not
    # seen meanwhile.
    report_timeout_s: _Time = 0.15
    # An order is answered within some ms; an unanswered one costs this long.
    order_timeout_s: _Time = 0.15
    # Due occurrences start at most this long before their time.
    early_s: typing.Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    # Final records stay readable for this long.
    keep_final_s: _Time = 150.0
    # How long a task may stand still before it is run elsewhere. Progress
    # is reported in hundredths, every report_wait_s at the latest.
    stall_s: _Time = 1.3
    # A step of which nothing has run for this long goes before all others of
    # its pool, one at a time; shorter, bursts of batch would come before
    # urgent work too often.
    patience_s: _Time = 12.0
    # The longest that an entry which lapsed in an outage may stay away.
    unlisted_s: _Time = 2.5
    # How old a worker's entry may be for what it says of its capacity: three
    # signs of life, less the time until a change of it is heard.
    entry_trusted_s: _Time = 4.2
    # Between two probes of the scheduler by another process, and the wait for
    # each answer. Two missed in a row tell of a frozen scheduler.
    probe_period_s: _Time = 0.12
    probe_timeout_s: _Time = 0.2
    # The longest wait for a change of the operators' configuration before it
    # is asked for again. A change must hold in time also where a watch hears
    # nothing of it, which costs this, a timeout and a reading.
    cell_period_s: _Time = 0.9
    policies: Policies = Policies()
