"""The error that is reported for a settings file."""

from __future__ import annotations

import dataclasses

from walnutpoint_core import errors

__all__ = ('SettingsError',)


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """A fault in a settings file, its location and the allowed values."""

    source: str
    field: str
    detail: str
    allowed: str
    line: int | None = None

    def __str__(self) -> str:
        """Return the fault as one readable line."""
        line = '' if self.line is None else f':{self.line}'
        field = f' {self.field}:' if self.field else ''
        allowed = f' (allowed: {self.allowed})' if self.allowed else ''
        return f'{self.source}{line}:{field} {self.detail}{allowed}'

    @property
    def failure(self) -> errors.Failure:
        """Return the fault as a failure of a known error kind."""
        return errors.Failure(errors.ErrorKind.DOCUMENT_INVALID, str(self))
