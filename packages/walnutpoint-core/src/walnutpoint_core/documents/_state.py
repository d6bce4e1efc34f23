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
    """An item in force, and the revisions that its fields come from."""

    item: _ItemType
    created: int
    changed: collections.abc.Mapping[str, int] = {}
    cancelled: int = 0

    def revision_of(self, field: str) -> int:
        """Return the revision that last set a field."""
        return self.changed.get(field, self.created)

    @property
    def revision(self) -> int:
        """Return the revision that last set any field."""
        return max((self.created, *self.changed.values()))


class TeamPart(msgspec.Struct, frozen=True, kw_only=True):
    """A team with all that belongs to it, as one value of the store."""

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
    """A document that was accepted, and the revision that it became."""

    submission_id: str
    revision: int
    digest: str


def _no_entries() -> collections.abc.Mapping[str, typing.Any]:
    return types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All accepted documents up to one revision, as one state."""

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
        for one in reversed(self.submissions):
            if one.submission_id == submission_id:
                return one
        return None

    def policy(self, work: str) -> typing.Any:
        """Return the policy of a class, or its defaults."""
        if work in self.policies:
            return self.policies[work].item
        return DEFAULT_POLICIES[work]


DEFAULT_POLICIES: typing.Final = types.MappingProxyType(
    {
        'urgent': _schema.UrgentPolicy(),
        'service': _schema.ServicePolicy(),
        'batch': _schema.BatchPolicy(),
        'gang': _schema.GangPolicy(),
    }
)


def split_name(name: str) -> tuple[str, str]:
    """Return the team of an item, and the item's name within it."""
    team, _, rest = name.partition('/')
    return team, rest


def flatten(value: object, path: str = '') -> dict[str, object]:
    """Return the leaves of nested mappings by their dotted path."""
    if not isinstance(value, collections.abc.Mapping):
        return {path: value}
    leaves: dict[str, object] = {}
    for name, child in value.items():
        leaves.update(flatten(child, f'{path}.{name}' if path else name))
    return leaves


def value_text(value: object) -> str:
    """Return a field's value as text; one that is absent is nothing."""
    return 'nothing' if value is None else str(value)
