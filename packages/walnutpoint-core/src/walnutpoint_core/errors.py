"""The closed list of error kinds and the answer to each."""

from __future__ import annotations

import dataclasses
import enum
import http
import types
import typing

__all__ = (
    'ANSWER_RULES',
    'AnswerRule',
    'ErrorKind',
    'Failure',
    'Outcome',
)


class Outcome(enum.Enum):
    """Whether a request is known to have run."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ErrorKind(enum.Enum):
    """The kinds of failure that are reported to clients."""

    ANSWER_CUT = 'answer_cut'
    ANSWER_FORGOTTEN = 'answer_forgotten'
    ANSWER_LATE = 'answer_late'
    ANSWER_LOST = 'answer_lost'
    BACKLOG_TOO_LONG = 'backlog_too_long'
    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    CANCELLED = 'cancelled'
    DEADLINE_PASSED = 'deadline_passed'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    DOCUMENT_CONFLICT = 'document_conflict'
    DOCUMENT_INVALID = 'document_invalid'
    ENDPOINT_REFUSED = 'endpoint_refused'
    ENDPOINT_UNREACHABLE = 'endpoint_unreachable'
    HOST_LIST_UNAVAILABLE = 'host_list_unavailable'
    KEY_BLIND = 'key_blind'
    KEY_EXPIRED = 'key_expired'
    KEY_FORGED = 'key_forged'
    KEY_MEMORY_FULL = 'key_memory_full'
    KEY_MISMATCH = 'key_mismatch'
    KEY_UNDECIDED = 'key_undecided'
    NOT_CONFIRMED = 'not_confirmed'
    NOT_FOUND = 'not_found'
    NOT_OWNER = 'not_owner'
    NO_ENDPOINTS = 'no_endpoints'
    NO_FREE_SLOT = 'no_free_slot'
    OTHER_ACCOUNT = 'other_account'
    PEER_ANSWER_LOST = 'peer_answer_lost'
    PEER_UNREACHABLE = 'peer_unreachable'
    QUEUE_FULL = 'queue_full'
    QUOTA_EXCEEDED = 'quota_exceeded'
    STOPPING = 'stopping'
    STORE_ANSWER_LOST = 'store_answer_lost'
    STORE_UNAVAILABLE = 'store_unavailable'
    TOO_LARGE = 'too_large'
    UNAUTHENTICATED = 'unauthenticated'


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRule:
    """The HTTP status, outcome and retry advice of one error kind."""

    status: http.HTTPStatus
    outcome: Outcome
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failure: its kind, a readable detail and the retry delay."""

    kind: ErrorKind
    detail: str = ''
    retry_after_s: float | None = None

    @property
    def rule(self) -> AnswerRule:
        """Return the answer rule of this failure's kind."""
        return ANSWER_RULES[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Return whether the request is known to have run."""
        return self.rule.outcome


def _rule(
    status: http.HTTPStatus,
    outcome: Outcome,
    retry_after_s: float | None = None,
) -> AnswerRule:
    return AnswerRule(status, outcome, retry_after_s)


_NOT_RUN: typing.Final = Outcome.NOT_RUN
_UNKNOWN: typing.Final = Outcome.UNKNOWN
_STATUS: typing.Final = http.HTTPStatus

ANSWER_RULES: typing.Final = types.MappingProxyType(
    {
        ErrorKind.ANSWER_CUT: _rule(_STATUS.BAD_GATEWAY, _UNKNOWN),
        ErrorKind.ANSWER_FORGOTTEN: _rule(_STATUS.CONFLICT, _UNKNOWN),
        ErrorKind.ANSWER_LATE: _rule(_STATUS.GATEWAY_TIMEOUT, _UNKNOWN),
        ErrorKind.ANSWER_LOST: _rule(_STATUS.BAD_GATEWAY, _UNKNOWN),
        ErrorKind.BACKLOG_TOO_LONG: _rule(
            _STATUS.TOO_MANY_REQUESTS, _NOT_RUN, 1.0
        ),
        ErrorKind.BAD_REQUEST: _rule(_STATUS.BAD_REQUEST, _NOT_RUN),
        ErrorKind.BODY_TOO_LARGE: _rule(
            _STATUS.REQUEST_ENTITY_TOO_LARGE, _NOT_RUN
        ),
        ErrorKind.CANCELLED: _rule(_STATUS.GONE, _NOT_RUN),
        ErrorKind.DEADLINE_PASSED: _rule(
            _STATUS.GATEWAY_TIMEOUT, _NOT_RUN, 1.0
        ),
        ErrorKind.DEADLINE_UNREACHABLE: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0
        ),
        ErrorKind.DOCUMENT_CONFLICT: _rule(_STATUS.CONFLICT, _NOT_RUN),
        ErrorKind.DOCUMENT_INVALID: _rule(
            _STATUS.UNPROCESSABLE_ENTITY, _NOT_RUN
        ),
        ErrorKind.ENDPOINT_REFUSED: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0
        ),
        ErrorKind.ENDPOINT_UNREACHABLE: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0
        ),
        ErrorKind.HOST_LIST_UNAVAILABLE: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 2.0
        ),
        ErrorKind.KEY_BLIND: _rule(_STATUS.SERVICE_UNAVAILABLE, _UNKNOWN),
        ErrorKind.KEY_EXPIRED: _rule(_STATUS.CONFLICT, _UNKNOWN),
        ErrorKind.KEY_FORGED: _rule(_STATUS.BAD_REQUEST, _NOT_RUN),
        ErrorKind.KEY_MEMORY_FULL: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _UNKNOWN, 5.0
        ),
        ErrorKind.KEY_MISMATCH: _rule(_STATUS.UNPROCESSABLE_ENTITY, _NOT_RUN),
        ErrorKind.KEY_UNDECIDED: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _UNKNOWN, 1.0
        ),
        ErrorKind.NOT_CONFIRMED: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0
        ),
        ErrorKind.NOT_FOUND: _rule(_STATUS.NOT_FOUND, _NOT_RUN),
        ErrorKind.NOT_OWNER: _rule(_STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0),
        ErrorKind.NO_ENDPOINTS: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 2.0
        ),
        ErrorKind.NO_FREE_SLOT: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0
        ),
        ErrorKind.OTHER_ACCOUNT: _rule(_STATUS.FORBIDDEN, _NOT_RUN),
        ErrorKind.PEER_ANSWER_LOST: _rule(_STATUS.BAD_GATEWAY, _UNKNOWN),
        ErrorKind.PEER_UNREACHABLE: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0
        ),
        ErrorKind.QUEUE_FULL: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0
        ),
        ErrorKind.QUOTA_EXCEEDED: _rule(
            _STATUS.TOO_MANY_REQUESTS, _NOT_RUN, 1.0
        ),
        ErrorKind.STOPPING: _rule(_STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 1.0),
        ErrorKind.STORE_ANSWER_LOST: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _UNKNOWN, 2.0
        ),
        ErrorKind.STORE_UNAVAILABLE: _rule(
            _STATUS.SERVICE_UNAVAILABLE, _NOT_RUN, 2.0
        ),
        ErrorKind.TOO_LARGE: _rule(_STATUS.BAD_REQUEST, _NOT_RUN),
        ErrorKind.UNAUTHENTICATED: _rule(_STATUS.UNAUTHORIZED, _NOT_RUN),
    }
)
