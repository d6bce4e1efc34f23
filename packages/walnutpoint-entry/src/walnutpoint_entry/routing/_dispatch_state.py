"""The state of a request's dispatch across its attempts."""

from __future__ import annotations

import dataclasses

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry.routing import _start_guard

__all__ = ('DispatchState',)


@dataclasses.dataclass(slots=True)
class DispatchState:
    """A request with its attempts and their failures."""

    request: model.Request
    start_guard: _start_guard.StartGuard
    attempts: int = 0
    tried_endpoints: set[str] = dataclasses.field(default_factory=set)
    tried_peers: set[str] = dataclasses.field(default_factory=set)
    unknown_failure: errors.Failure | None = None

    def record_failure(self, failure: errors.Failure) -> None:
        """Record the failure of an attempt."""
        if failure.outcome is errors.Outcome.UNKNOWN:
            self.unknown_failure = failure

    def final_failure(self, last: errors.Failure) -> errors.Failure:
        """Return the combined failure of all attempts."""
        # The first attempt of an idempotent request may have run although
        # its retry was refused: the outcome must not be not-run.
        return self.unknown_failure or last
