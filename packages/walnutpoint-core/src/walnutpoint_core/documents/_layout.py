"""The layout of the configuration in the store, split by team."""

from __future__ import annotations

import collections.abc
import types
import typing

import expression
import msgspec

from walnutpoint_core import decoding
from walnutpoint_core.documents import _fault
from walnutpoint_core.documents import _schema
from walnutpoint_core.documents import _state
from walnutpoint_core import ports

__all__ = (
    'Head',
    'Layout',
    'VALUE_SIZE_MAX_BYTES',
)

VALUE_SIZE_MAX_BYTES: typing.Final = 1_000_000
# Limits growth by new items. The rest is left for cancellations, which
# enlarge a part before its jobs are removed; refused, it would stay full.
_GROWTH_SIZE_MAX_BYTES: typing.Final = 900_000
# One commit writes all changed parts, and the store limits its size too.
_COMMIT_SIZE_MAX_BYTES: typing.Final = 1_400_000


class _Policies(msgspec.Struct, frozen=True, kw_only=True):
    urgent: _state.Entry[_schema.UrgentPolicy] | None = None
    service: _state.Entry[_schema.ServicePolicy] | None = None
    batch: _state.Entry[_schema.BatchPolicy] | None = None
    gang: _state.Entry[_schema.GangPolicy] | None = None


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The value written by every change, with the state of all teams."""

    layout: typing.Literal[1] = 1
    revision: int
    parts: collections.abc.Mapping[str, int]
    policies: _Policies = _Policies()
    submissions: tuple[_state.Submission, ...] = ()
    deleted_teams: collections.abc.Mapping[str, int] = {}


class Layout:
    """The keys and values of the configuration in the store."""

    __slots__ = ('_prefix', 'head_key')

    def __init__(self, prefix: str) -> None:
        self._prefix = f'{prefix}config/'
        # Every process polls the control keys anyway, so that a new
        # configuration is noticed without a separate request.
        self.head_key = f'{prefix}control/config'

    def part_key(self, team: str) -> str:
        """Return the key of a team's part."""
        return f'{self._prefix}teams/{team}'

    def batch(
        self,
        before: _state.Configuration,
        after: _state.Configuration,
        head_revision: int,
    ) -> expression.Result[ports.Batch, tuple[_fault.FieldFault, ...]]:
        """Return the writes of a change, guarded by the head revision."""
        puts = [ports.Put(self.head_key, msgspec.json.encode(_head(after)))]
        faults: list[_fault.FieldFault] = []
        for team, part in after.teams.items():
            old = before.teams.get(team)
            if part is old:
                continue
            value = msgspec.json.encode(part)
            puts.append(ports.Put(self.part_key(team), value))
            faults.extend(_part_faults(team, old, part, len(value)))
        faults.extend(_commit_faults(puts))
        if faults:
            return expression.Error(tuple(faults))
        deleted_teams = before.teams.keys() - after.teams.keys()
        return expression.Ok(
            ports.Batch(
                # Parts are only written together with the head, so that its
                # guard covers them.
                guards=(ports.Guard(self.head_key, head_revision),),
                puts=tuple(puts),
                deletes=tuple(
                    self.part_key(team) for team in sorted(deleted_teams)
                ),
            )
        )


def decode_head(value: bytes) -> Head:
    """Return a stored head; a malformed one raises UnreadableError."""
    return decoding.from_json(value, Head)


def decode_part(value: bytes) -> _state.TeamPart:
    """Return a stored part; a malformed one raises UnreadableError."""
    return decoding.from_json(value, _state.TeamPart)


def assemble(
    head: Head, parts: collections.abc.Mapping[str, _state.TeamPart]
) -> _state.Configuration:
    """Return the configuration of a head and all of its parts."""
    policies = {
        name: getattr(head.policies, name)
        for name in head.policies.__struct_fields__
        if getattr(head.policies, name) is not None
    }
    return _state.Configuration(
        revision=head.revision,
        teams=types.MappingProxyType(dict(parts)),
        policies=types.MappingProxyType(policies),
        submissions=head.submissions,
        deleted_teams=types.MappingProxyType(dict(head.deleted_teams)),
    )


def _head(configuration: _state.Configuration) -> Head:
    return Head(
        revision=configuration.revision,
        parts={
            name: part.revision for name, part in configuration.teams.items()
        },
        policies=_Policies(**configuration.policies),
        submissions=configuration.submissions,
        deleted_teams=dict(configuration.deleted_teams),
    )


def _part_faults(
    team: str,
    old: _state.TeamPart | None,
    new: _state.TeamPart,
    size_bytes: int,
) -> collections.abc.Iterator[_fault.FieldFault]:
    limit_bytes = VALUE_SIZE_MAX_BYTES - 1
    if old is None or _adds_or_changes_items(old, new):
        limit_bytes = _GROWTH_SIZE_MAX_BYTES
    if size_bytes > limit_bytes:
        allowed = (
            f'at most {limit_bytes} bytes: let jobs finish, or use two teams'
        )
        yield _fault.FieldFault(
            f'teams.{team}', f'{size_bytes} bytes in all', allowed
        )


def _adds_or_changes_items(old: _state.TeamPart, new: _state.TeamPart) -> bool:
    # A cancellation replaces the entry but keeps the identical item.
    for section in ('services', 'batch_jobs', 'gang_jobs'):
        before = getattr(old, section)
        for name, entry in getattr(new, section).items():
            if name not in before or before[name].item is not entry.item:
                return True
    return False


def _commit_faults(
    puts: list[ports.Put],
) -> collections.abc.Iterator[_fault.FieldFault]:
    if len(puts[0].value) >= VALUE_SIZE_MAX_BYTES:
        allowed = f'a head below {VALUE_SIZE_MAX_BYTES} bytes: fewer teams'
        given = f'{len(puts[0].value)} bytes'
        yield _fault.FieldFault('teams', given, allowed)
    size_bytes = sum(len(put.value) for put in puts)
    if size_bytes > _COMMIT_SIZE_MAX_BYTES:
        allowed = (
            f'at most {_COMMIT_SIZE_MAX_BYTES}: send a document for each team'
        )
        yield _fault.FieldFault(
            '', f'{size_bytes} bytes of changed teams', allowed
        )
