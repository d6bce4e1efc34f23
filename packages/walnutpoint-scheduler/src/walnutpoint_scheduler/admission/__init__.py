"""Refuses jobs at once that can't end while their result is useful."""

from __future__ import annotations

from walnutpoint_scheduler.admission import _gate
from walnutpoint_scheduler.admission import _publisher
from walnutpoint_scheduler.admission import _usefulness

__all__ = (
    'AdmissionGate',
    'AdviceContention',
    'Publisher',
    'Refusal',
    'is_useless',
)

AdmissionGate = _gate.AdmissionGate
AdviceContention = _usefulness.AdviceContention
Publisher = _publisher.Publisher
Refusal = _gate.Refusal
is_useless = _usefulness.is_useless
