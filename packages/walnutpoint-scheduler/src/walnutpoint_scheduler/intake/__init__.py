"""How a term learns of stored jobs and cancellations."""

from __future__ import annotations

from walnutpoint_scheduler.intake import _intake

__all__ = (
    'Intake',
    'Source',
)

Intake = _intake.Intake
Source = _intake.Source
