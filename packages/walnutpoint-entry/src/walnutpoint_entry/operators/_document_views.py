"""Operators' views of documents and of the configuration in force."""

from __future__ import annotations

import collections.abc
import dataclasses

import msgspec

from walnutpoint_core import documents
from walnutpoint_core import errors
from walnutpoint_entry import configuration as configuration_module
from walnutpoint_entry.operators import _jobs

__all__ = (
    'AcceptedView',
    'ChangeRow',
    'ConfigStatusView',
    'DiffView',
    'DocumentBackend',
    'ErrorRow',
    'FaultRow',
    'HistoryView',
    'RefusalView',
    'SubmissionRow',
)


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentBackend:
    """The services behind operators' calls on documents and jobs."""

    configuration: configuration_module.ConfigurationService
    capacity: configuration_module.CapacitySource
    jobs: _jobs.JobViewSource = _jobs.EmptyJobViewSource()


class AcceptedView(msgspec.Struct, frozen=True):
    """A document that was accepted, now or by an earlier submission."""

    revision: int
    repeated: bool


class ErrorRow(msgspec.Struct, frozen=True):
    """Why a call failed, and what is known of its effect."""

    kind: str
    detail: str
    outcome: str
    retry_after_s: float | None = None


class FaultRow(msgspec.Struct, frozen=True):
    """One rejected field; in_force is set for conflicts only."""

    field: str
    given: str
    allowed: str
    kind: str
    in_force: str = ''


class RefusalView(msgspec.Struct, frozen=True):
    """A rejected document with all its faults."""

    error: ErrorRow
    faults: tuple[FaultRow, ...] = ()

    @classmethod
    def from_refusal(cls, refusal: documents.Refusal) -> RefusalView:
        """Return the view of a refusal."""
        failure = refusal.failure
        return cls(
            ErrorRow(
                failure.kind.value,
                failure.detail,
                failure.outcome.value,
                retry_after_s(failure),
            ),
            tuple(
                FaultRow(
                    fault.field,
                    fault.given,
                    fault.allowed,
                    fault.kind.value,
                    fault.in_force,
                )
                for fault in refusal.faults
            ),
        )


class ChangeRow(msgspec.Struct, frozen=True):
    """One field that a document would change."""

    field: str
    before: str
    after: str


class DiffView(msgspec.Struct, frozen=True):
    """The changes that a document would make to a revision."""

    revision: int
    changes: tuple[ChangeRow, ...]


class ConfigStatusView(msgspec.Struct, frozen=True):
    """The revision that is in force in this process."""

    name: str
    revision: int
    is_newest_seen: bool
    in_force_s: float


class SubmissionRow(msgspec.Struct, frozen=True):
    """One accepted document."""

    submission_id: str
    revision: int
    digest: str


class HistoryView(msgspec.Struct, frozen=True):
    """The accepted documents that are still on record."""

    submissions: tuple[SubmissionRow, ...]


def retry_after_s(failure: errors.Failure) -> float | None:
    """Return the delay before a retry, or None if a retry can't help."""
    if failure.retry_after_s is not None:
        return failure.retry_after_s
    return failure.rule.retry_after_s


def change_rows(
    changes: tuple[documents.FieldChange, ...],
) -> tuple[ChangeRow, ...]:
    """Return the rows that show field changes."""
    return tuple(
        ChangeRow(change.field, change.before, change.after)
        for change in changes
    )


def history_view(
    submissions: collections.abc.Iterable[documents.Submission],
) -> HistoryView:
    """Return the view of accepted documents."""
    return HistoryView(
        tuple(
            SubmissionRow(
                submission.submission_id,
                submission.revision,
                submission.digest,
            )
            for submission in submissions
        )
    )
