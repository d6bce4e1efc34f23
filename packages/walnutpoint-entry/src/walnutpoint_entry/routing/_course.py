"""What has been tried for one request so far."""

from __future__ import annotations

import dataclasses

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry.routing import _gate

__all__ = ('Course',)


@dataclasses.dataclass(slots=True)
class Course:
    """One request, its attempts, and what they came to."""

    request: model.Request
    gate: _gate.StartGate
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)
    lost: errors.Failure | None = None

    def note(self, failure: errors.Failure) -> None:
        """Note a failed attempt."""
        if failure.outcome is errors.Outcome.UNKNOWN:
            self.lost = failure

    def failure(self, last: errors.Failure) -> errors.Failure:
        """Return what its attempts together came to."""
        # An idempotent request whose first attempt ran, and whose second one
        # was refused, has run: its caller must not be told not-run.
        return self.lost or last
