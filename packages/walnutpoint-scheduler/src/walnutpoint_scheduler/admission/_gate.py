"""Keeps the newest backlog in a process, and refuses hopeless jobs by it."""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import random
import typing

import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_core import timer
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler.admission import _decision
from walnutpoint_scheduler.admission import _publisher
from walnutpoint_scheduler import document

__all__ = (
    'AdmissionGate',
    'Refusal',
)

_LOG: typing.Final = logs.get_logger('admission')
_DECISIONS: typing.Final = metrics.Counter(
    'admission_decisions', 'Decisions on new jobs while work may wait.'
)
_AGE_MAX_S: typing.Final = 2.0
_RETRY_MIN_S: typing.Final = 1.0
# Callers return within the span that begins when there is room and is as long
# again, those within their account's rate in the first half of it.
_RETRY_SPAN: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The answer to a hopeless job, and the inputs of the decision."""

    failure: errors.Failure
    fields: dict[str, object]


class AdmissionGate:
    """Refuses jobs that can't end while their result is useful."""

    __slots__ = (
        '_backlog',
        '_encoded',
        '_is_enabled',
        '_measured_s',
        '_random',
        '_timer',
        '_token',
    )

    def __init__(
        self,
        clock: timer.Timer,
        is_enabled: collections.abc.Callable[[], bool],
        randomness: random.Random | None = None,
    ) -> None:
        self._timer = clock
        self._is_enabled = is_enabled
        self._random = randomness or random.Random()  # noqa: S311
        self._token = 0
        self._encoded = b''
        self._backlog: _messages.Backlog | None = None
        # When the backlog was measured, by this process's clock.
        self._measured_s = 0.0

    def note(
        self, token: int, encoded: bytes, age_s: float, asked_s: float
    ) -> None:
        """Record the scheduler's newest backlog, asked for at a time.

        The whole time of the call counts as age.
        """
        if token < self._token:
            return
        self._measured_s = asked_s - max(0.0, age_s)
        if token == self._token and encoded == self._encoded:
            return
        self._token, self._encoded = token, encoded
        self._backlog = _decode(encoded)

    def refusal(self, job: document.Job) -> Refusal | None:
        """Return why to refuse a job, or None to accept it."""
        if not self._is_enabled():
            return None
        refusal, outcome = self._decide(job)
        _DECISIONS.add(outcome)
        return refusal

    def _decide(self, job: document.Job) -> tuple[Refusal | None, str]:
        queue, backlog = job.objective_queue, self._backlog
        if queue is None:
            return None, 'no_objective'
        if backlog is None:
            return None, 'no_backlog'
        age_s = self._timer.now_s() - self._measured_s
        if age_s > _AGE_MAX_S:
            return None, 'old_backlog'
        for waiting in backlog.pools:
            if (waiting.pool, waiting.priority) == (
                queue.pool,
                queue.priority,
            ):
                break
        else:
            return None, 'no_backlog'
        account = _publisher.checksum(job.account)
        is_owed = account not in backlog.accounts_beyond
        arrival = _decision.measure(job, waiting, is_owed)
        if arrival is None:
            return None, 'no_objective'
        forecast = _decision.forecast(arrival, waiting, age_s)
        if not forecast.is_hopeless:
            return None, 'in_time'
        return self._refuse(forecast, is_owed, backlog.version), 'hopeless'

    def _refuse(
        self, forecast: _decision.Forecast, is_owed: bool, version: int
    ) -> Refusal:
        retry_after_s = self._retry_after_s(forecast.room_s, is_owed)
        detail = (
            'too much work waits, and the job has not run: it would end in '
            f'{forecast.end_s:.1f} s or later, and is useful for '
            f'{forecast.useful_s:.1f} s'
        )
        failure = errors.Failure(
            errors.ErrorKind.BACKLOG_TOO_LONG, detail, retry_after_s
        )
        fields: dict[str, object] = {
            'ahead_pool_s': round(forecast.ahead_pool_s, 3),
            'ahead_jobs': forecast.ahead_jobs,
            'rate': round(forecast.rate, 3),
            'age_s': round(forecast.age_s, 3),
            'end_s': round(forecast.end_s, 3),
            'useful_s': round(forecast.useful_s, 3),
            'owed': is_owed,
            'backlog_version': version,
            'token': self._token,
            'retry_after_s': round(retry_after_s, 3),
        }
        return Refusal(failure, fields)

    def _retry_after_s(self, room_s: float, is_owed: bool) -> float:
        """Return a random time by which there will be room."""
        # Callers are told whole seconds.
        begin_s = max(_RETRY_MIN_S, math.ceil(room_s))
        half_s = begin_s * _RETRY_SPAN / 2.0
        if not is_owed:
            begin_s += half_s
        return begin_s + self._random.random() * half_s


def _decode(encoded: bytes) -> _messages.Backlog | None:
    if not encoded:
        return None
    try:
        backlog = decoding.from_msgpack(encoded, _messages.Backlog)
    except decoding.UnreadableError as error:
        # From another version; logged once per message, which changes only
        # with the backlog.
        _LOG.info('admission.unreadable', error=str(error))
        return None
    pools = tuple(pool for pool in backlog.pools if pool.rate > 0.0)
    return msgspec.structs.replace(backlog, pools=pools)
