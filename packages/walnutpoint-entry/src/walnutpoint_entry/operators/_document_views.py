"""What operators see of documents and the configuration in force."""

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
    'DocumentParts',
    'ErrorRow',
    'FaultRow',
    'HistoryView',
    'RefusalView',
    'SubmissionRow',
)


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentParts:
    """The parts behind all that operators do with documents and jobs."""

    configuration: configuration_module.ConfigurationService
    capacity: configuration_module.CapacityView
    jobs: _jobs.JobViews = _jobs.NoJobViews()


class AcceptedView(msgspec.Struct, frozen=True):
    """A document that was accepted, now or by an earlier submission."""

    revision: int
    repeated: bool


class ErrorRow(msgspec.Struct, frozen=True):
    """Why something was not done, and what is known of its effect."""

    kind: str
    detail: str
    outcome: str
    retry_after_s: float | None = None


class FaultRow(msgspec.Struct, frozen=True):
    """One refused field; a conflict shows the value in force as well."""

    field: str
    given: str
    allowed: str
    kind: str
    in_force: str = ''


class RefusalView(msgspec.Struct, frozen=True):
    """A document that was not accepted, with every fault in it."""

    error: ErrorRow
    faults: tuple[FaultRow, ...] = ()

    @classmethod
    def of(cls, refusal: documents.Refusal) -> RefusalView:
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
    """What a document would change, and in which revision."""

    revision: int
    changes: tuple[ChangeRow, ...]


class ConfigStatusView(msgspec.Struct, frozen=True):
    """Which revision is in force in this process."""

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
    """The accepted documents that are still remembered."""

    submissions: tuple[SubmissionRow, ...]


def retry_after_s(failure: errors.Failure) -> float | None:
    """Return when to come back, or None when that would not help."""
    if failure.retry_after_s is not None:
        return failure.retry_after_s
    return failure.rule.retry_after_s


def change_rows(
    changes: tuple[documents.FieldChange, ...],
) -> tuple[ChangeRow, ...]:
    """Return the rows of some changes."""
    return tuple(
        ChangeRow(one.field, one.before, one.after) for one in changes
    )


def history_view(
    submissions: collections.abc.Iterable[documents.Submission],
) -> HistoryView:
    """Return accepted documents as operators see them."""
    return HistoryView(
        tuple(
            SubmissionRow(one.submission_id, one.revision, one.digest)
            for one in submissions
        )
    )
