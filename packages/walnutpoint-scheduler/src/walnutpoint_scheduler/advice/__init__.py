"""Requests for advice as a scarce resource: who may make them, and when."""

from __future__ import annotations

from walnutpoint_scheduler.advice import _planner

__all__ = ('RequestPlanner',)

RequestPlanner = _planner.RequestPlanner
