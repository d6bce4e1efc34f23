"""The configuration in force."""

from __future__ import annotations

import collections.abc
import dataclasses
import types
import typing

import msgspec

from walnutpoint_core.documents import _schema

__all__ = (
    'Configuration',
    'Entry',
    'Submission',
    'TeamPart',
)

_ItemType = typing.TypeVar('_ItemType')
JOB_SECTIONS: typing.Final = ('batch_jobs', 'gang_jobs')
ITEM_SECTIONS: typing.Final = ('services', *JOB_SECTIONS)


class Entry(
    msgspec.Struct, typing.Generic[_ItemType], frozen=True, kw_only=True
):
    """An item in force, and the revisions of its fields."""

    item: _ItemType
    created: int
    changed: collections.abc.Mapping[str, int] = {}
    cancelled: int = 0

    def revision_of(self, field: str) -> int:
        """Return the revision that last changed a field."""
        return self.changed.get(field, self.created)

    @property
    def revision(self) -> int:
        """Return the revision that last changed any field."""
        return max((self.created, *self.changed.values()))


class TeamPart(msgspec.Struct, frozen=True, kw_only=True):
    """A team and all of its items, stored as one value."""

    revision: int
    team: Entry[_schema.Team]
    services: collections.abc.Mapping[str, Entry[_schema.Service]] = {}
    batch_jobs: collections.abc.Mapping[str, Entry[_schema.BatchJob]] = {}
    gang_jobs: collections.abc.Mapping[str, Entry[_schema.GangJob]] = {}
    ended: collections.abc.Mapping[str, int] = {}
    ended_forgotten: int = 0

    @property
    def items_count(self) -> int:
        """Return the number of services and unfinished jobs."""
        return sum(len(getattr(self, name)) for name in ITEM_SECTIONS)


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """An accepted document and its revision."""

    submission_id: str
    revision: int
    digest: str


def _no_entries() -> collections.abc.Mapping[str, typing.Any]:
    return types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The state after all documents accepted up to a revision."""

    revision: int = 0
    teams: collections.abc.Mapping[str, TeamPart] = dataclasses.field(
        default_factory=_no_entries
    )
    policies: collections.abc.Mapping[str, Entry[typing.Any]] = (
        dataclasses.field(default_factory=_no_entries)
    )
    submissions: tuple[Submission, ...] = ()
    deleted_teams: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=_no_entries
    )

    def submission(self, submission_id: str) -> Submission | None:
        """Return an accepted submission that is still remembered."""
        for submission in reversed(self.submissions):
            if submission.submission_id == submission_id:
                return submission
        return None

    def policy(self, work_class: str) -> typing.Any:
        """Return the policy of a class, or its defaults."""
        if work_class in self.policies:
            return self.policies[work_class].item
        return DEFAULT_POLICIES[work_class]


DEFAULT_POLICIES: typing.Final = types.MappingProxyType(
    {
        'urgent': _schema.UrgentPolicy(),
        'service': _schema.ServicePolicy(),
        'batch': _schema.BatchPolicy(),
        'gang': _schema.GangPolicy(),
    }
)


def split_item_name(name: str) -> tuple[str, str]:
    """Return the team of an item, and the item's name within it."""
    team, _, item_name = name.partition('/')
    return team, item_name


def flatten(value: object, path: str = '') -> dict[str, object]:
    """Return the leaves of nested mappings by their dotted path."""
    if not isinstance(value, collections.abc.Mapping):
        return {path: value}
    leaves: dict[str, object] = {}
    for name, child in value.items():
        leaves.update(flatten(child, f'{path}.{name}' if path else name))
    return leaves


def value_text(value: object) -> str:
    """Return a field's value as text; an absent one reads nothing."""
    return 'nothing' if value is None else str(value)
