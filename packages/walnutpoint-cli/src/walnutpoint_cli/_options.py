"""The options of the commands."""

from __future__ import annotations

import dataclasses
import enum

__all__ = (
    'DocumentOptions',
    'OperatorOptions',
    'Output',
    'RequestOptions',
)


class Output(enum.Enum):
    """The output format of a command."""

    TEXT = 'text'
    JSON = 'json'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOptions:
    """What to send, how often, and where to."""

    entries: tuple[str, ...]
    path: str = '/'
    method: str = 'POST'
    body: bytes = b''
    team: str | None = None
    work_class: str | None = None
    deadline_s: float | None = None
    idempotent: bool = False
    key: str | None = None
    mint_key: bool = False
    count: int = 1
    concurrency: int = 8
    output: Output = Output.TEXT


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorOptions:
    """Which operator address to ask, and with what token."""

    operator: str
    token: str
    output: Output = Output.TEXT


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentOptions:
    """Which processes to call for documents and jobs, and how."""

    operators: tuple[str, ...]
    token: str
    output: Output = Output.TEXT
    submission_id: str | None = None
    team: str = ''
    wait: bool = False
    wait_s: float | None = None
