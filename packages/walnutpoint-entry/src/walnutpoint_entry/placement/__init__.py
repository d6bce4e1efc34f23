"""In-memory placement: slots, wait queue, estimates, outlier ejection."""

from __future__ import annotations

from walnutpoint_entry.placement import _budget
from walnutpoint_entry.placement import _estimate
from walnutpoint_entry.placement import _policy
from walnutpoint_entry.placement import _pool
from walnutpoint_entry.placement import _queue
from walnutpoint_scheduler import outlier

ClosedReason = _pool.ClosedReason
EndpointView = _pool.EndpointView
OutlierDetector = outlier.OutlierDetector
PackPolicy = _policy.PackPolicy
Policy = _policy.Policy
RequestQueue = _queue.RequestQueue
RetryBudget = _budget.RetryBudget
SlotLease = _pool.SlotLease
SlotPool = _pool.SlotPool
SpreadPolicy = _policy.SpreadPolicy
WaitEstimate = _estimate.WaitEstimate
Waiter = _queue.Waiter
make_policy = _policy.make_policy

__all__ = (
    'ClosedReason',
    'EndpointView',
    'OutlierDetector',
    'PackPolicy',
    'Policy',
    'RequestQueue',
    'RetryBudget',
    'SlotLease',
    'SlotPool',
    'SpreadPolicy',
    'WaitEstimate',
    'Waiter',
    'make_policy',
)
