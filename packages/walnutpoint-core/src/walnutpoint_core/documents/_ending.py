"""Ended jobs and services, whose names stay reserved for a while."""

from __future__ import annotations

import collections
import dataclasses
import operator
import types
import typing

import msgspec

from walnutpoint_core.documents import _state

__all__ = ('ended_service_key', 'finish', 'with_ended_names')

ENDED_NAMES_MAX: typing.Final = 1000


def finish(
    configuration: _state.Configuration, jobs: tuple[str, ...], revision: int
) -> _state.Configuration:
    """Return the configuration without ended jobs."""
    names: dict[str, set[str]] = collections.defaultdict(set)
    for job in jobs:
        team, name = _state.split_item_name(job)
        names[team].add(name)
    teams = dict(configuration.teams)
    for team in names.keys() & teams.keys():
        teams[team] = _without_jobs(teams[team], names[team], revision)
    if all(teams[name] is part for name, part in configuration.teams.items()):
        return configuration
    return dataclasses.replace(
        configuration, revision=revision, teams=types.MappingProxyType(teams)
    )


def _without_jobs(
    part: _state.TeamPart, names: set[str], revision: int
) -> _state.TeamPart:
    ended: list[str] = []
    sections = {}
    for section in _state.JOB_SECTIONS:
        entries = getattr(part, section)
        ended.extend(name for name in entries if name in names)
        sections[section] = {
            name: entry for name, entry in entries.items() if name not in names
        }
    if not ended:
        return part
    part = msgspec.structs.replace(part, revision=revision, **sections)
    return with_ended_names(part, tuple(ended), revision)


def ended_service_key(name: str) -> str:
    """Return the key of an ended service in TeamPart.ended."""
    # Services and jobs may share a name; job names contain no slash.
    return f'services/{name}'


def with_ended_names(
    part: _state.TeamPart, names: tuple[str, ...], revision: int
) -> _state.TeamPart:
    """Return a part with more ended names, limited to the newest ones."""
    ended = dict(part.ended)
    ended.update(dict.fromkeys(names, revision))
    oldest_first = sorted(ended.items(), key=operator.itemgetter(1))
    forgotten_names = oldest_first[: max(0, len(ended) - ENDED_NAMES_MAX)]
    forgotten = max(
        (
            part.ended_forgotten,
            *(ended_in for _, ended_in in forgotten_names),
        )
    )
    return msgspec.structs.replace(
        part,
        ended=dict(oldest_first[len(forgotten_names) :]),
        ended_forgotten=forgotten,
    )
