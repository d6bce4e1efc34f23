"""Paginated tables of items."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import msgspec

from walnutpoint_core import documents
from walnutpoint_entry.console import _drafts
from walnutpoint_entry.console import _fields
from walnutpoint_entry import operators

__all__ = (
    'Item',
    'Listing',
    'find_item',
    'list_items',
)

# Bounds the time that rendering a page blocks the event loop.
ROWS_MAX: typing.Final = 100
_TEAMS: typing.Final = 'teams'
_CANCELLED: typing.Final = 'cancelled'
_IN_FORCE: typing.Final = 'in force'


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A row with an item's name, state and field texts."""

    name: str
    state: str
    is_open: bool
    texts: collections.abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """A page of a section's rows, its start and the total count."""

    rows: tuple[Item, ...]
    start: int
    total: int

    @property
    def next_start(self) -> int | None:
        """Return the start of the next page, or None on the last one."""
        end = self.start + len(self.rows)
        return end if end < self.total else None


def list_items(
    configuration: documents.Configuration,
    section: str,
    team: str,
    start: int,
    jobs: operators.JobViewSource,
) -> Listing:
    """Return a page of the items of one team, or of all teams."""
    entries = [
        (name, entry)
        for key, part in sorted(configuration.teams.items())
        if team in ('', key)
        for name, entry in _entries(key, part, section)
    ]
    rows = tuple(
        _row(section, name, entry, jobs)
        for name, entry in entries[start : start + ROWS_MAX]
    )
    return Listing(rows, start, len(entries))


def find_item(
    configuration: documents.Configuration, section: str, name: str
) -> Item | None:
    """Return an item in force by its name, or None."""
    part = configuration.teams.get(name.partition('/')[0])
    if part is None:
        return None
    entries = dict(_entries(name.partition('/')[0], part, section))
    if name not in entries:
        return None
    return _row(section, name, entries[name], operators.EmptyJobViewSource())


def _entries(
    team: str, part: documents.TeamPart, section: str
) -> list[tuple[str, documents.Entry[typing.Any]]]:
    if section == _TEAMS:
        return [(team, part.team)]
    entries = getattr(part, section)
    return [(f'{team}/{name}', entries[name]) for name in sorted(entries)]


def _row(
    section: str,
    name: str,
    entry: documents.Entry[typing.Any],
    jobs: operators.JobViewSource,
) -> Item:
    is_open = not entry.cancelled
    state = _IN_FORCE if is_open else _CANCELLED
    if section in _drafts.JOB_SECTIONS:
        view = jobs.job(name)
        state = view.job.state if view else state
    fields = _fields.section_fields(section)
    item = msgspec.to_builtins(entry.item)
    return Item(name, state, is_open, _fields.texts_from_item(item, fields))
