"""A request that waits for a slot."""

from __future__ import annotations

import dataclasses

from walnutpoint_core import model

__all__ = ('Waiter',)


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request, compared by identity."""

    request_id: str
    team: str
    work_class: model.WorkClass
    deadline_at_s: float
    latest_start_s: float
    cost: float = 1.0
    payload: object = None
