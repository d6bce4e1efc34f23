"""Submissions and cancellations of jobs by client accounts."""

from __future__ import annotations

from walnutpoint_scheduler.submission import _submissions

__all__ = (
    'Submissions',
    'SubmitOutcome',
)

Submissions = _submissions.Submissions
SubmitOutcome = _submissions.SubmitOutcome
