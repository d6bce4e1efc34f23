"""What is wrong with a settings file."""

from __future__ import annotations

import dataclasses

from walnutpoint_core import errors

__all__ = ('SettingsError',)


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """One fault of a settings file, its place, and what is allowed there."""

    source: str
    field: str
    detail: str
    allowed: str
    line: int | None = None

    def __str__(self) -> str:
        """Return the fault as one line for people."""
        line = '' if self.line is None else f':{self.line}'
        field = f' {self.field}:' if self.field else ''
        allowed = f' (allowed: {self.allowed})' if self.allowed else ''
        return f'{self.source}{line}:{field} {self.detail}{allowed}'

    @property
    def failure(self) -> errors.Failure:
        """Return the fault as one of the closed list of error kinds."""
        return errors.Failure(errors.ErrorKind.DOCUMENT_INVALID, str(self))
