"""One call that submits a job."""

from __future__ import annotations

import typing

from walnutpoint_scheduler import document

__all__ = (
    'ANSWER_RESERVE_S',
    'SubmitCall',
)

# Reserved before a caller's deadline to send the answer.
ANSWER_RESERVE_S: typing.Final = 0.1


class SubmitCall:
    """One submission call with its deadline and log fields."""

    __slots__ = ('_began_s', '_deadline_s', 'job')

    def __init__(
        self, job: document.Job, began_s: float, deadline_s: float
    ) -> None:
        self.job = job
        self._began_s = began_s
        self._deadline_s = deadline_s

    def left_s(self, now_s: float) -> float:
        """Return the time until the caller's deadline."""
        return self._deadline_s - now_s

    def fields(self, now_s: float) -> dict[str, object]:
        """Return the log fields that explain a decision on the call."""
        job, queue = self.job, self.job.objective_queue
        return {
            'job': job.job_id,
            'queue': job.queue,
            'account': job.account or '-',
            'held_s': round(now_s - self._began_s, 3),
            'left_s': round(self.left_s(now_s), 3),
            'chain_s': round(document.chain_s(job.steps), 3),
            'stretch': '-' if queue is None else queue.stretch,
            'allowance_s': '-' if queue is None else queue.allowance_s,
        }
