"""What a document makes of the configuration in force."""

from __future__ import annotations

import hashlib
import types
import typing

import expression
import msgspec

from walnutpoint_core.documents import _ending
from walnutpoint_core.documents import _fault
from walnutpoint_core.documents import _schema
from walnutpoint_core.documents import _state
from walnutpoint_core import errors

__all__ = ('apply',)

SUBMISSIONS_MAX: typing.Final = 1024
_DELETED_TEAMS_MAX: typing.Final = 1000

_Faults: typing.TypeAlias = tuple[_fault.FieldFault, ...]
_ItemType = typing.TypeVar('_ItemType')


def apply(
    configuration: _state.Configuration,
    document: _schema.Document,
    revision: int,
) -> expression.Result[_state.Configuration, _Faults]:
    """Return the configuration after a document, or all of its faults."""
    digest = _digest(document)
    known = configuration.submission(document.submission_id)
    if known is not None:
        return _repeat(configuration, known, digest)
    change = _Change(configuration, document, revision)
    change.run()
    if change.faults:
        return expression.Error(tuple(change.faults))
    accepted = _state.Submission(document.submission_id, revision, digest)
    kept = (*configuration.submissions, accepted)[-SUBMISSIONS_MAX:]
    return expression.Ok(
        _state.Configuration(
            revision=revision,
            teams=types.MappingProxyType(change.teams),
            policies=types.MappingProxyType(change.policies),
            submissions=kept,
            deleted_teams=types.MappingProxyType(change.deleted_teams),
        )
    )


class _Change:
    """A document on its way into the configuration."""

    __slots__ = (
        '_based_on',
        '_document',
        '_revision',
        'deleted_teams',
        'faults',
        'policies',
        'teams',
    )

    def __init__(
        self,
        configuration: _state.Configuration,
        document: _schema.Document,
        revision: int,
    ) -> None:
        self._based_on = document.based_on
        self._document = document
        self._revision = revision
        self.deleted_teams = dict(configuration.deleted_teams)
        self.faults: list[_fault.FieldFault] = []
        self.policies = dict(configuration.policies)
        self.teams = dict(configuration.teams)
        if self._based_on > configuration.revision:
            allowed = f'at most {configuration.revision}, which is in force'
            self._fault('based_on', str(self._based_on), allowed)

    def run(self) -> None:
        """Apply every section, collecting faults instead of stopping."""
        for name, team in self._document.teams.items():
            self._put_team(name, team)
        for section in _state.ITEM_SECTIONS:
            for name, item in getattr(self._document, section).items():
                self._put_item(section, name, item)
        for work in _state.DEFAULT_POLICIES:
            policy = getattr(self._document.policies, work)
            if policy is not None:
                self._put_policy(work, policy)
        for index, name in enumerate(self._document.cancellations):
            self._cancel(f'cancellations.{index}', name)
        for index, name in enumerate(self._document.deletions.services):
            self._delete_service(f'deletions.services.{index}', name)
        for index, name in enumerate(self._document.deletions.teams):
            self._delete_team(f'deletions.teams.{index}', name)

    def _put_team(self, name: str, team: _schema.Team) -> None:
        part = self.teams.get(name)
        field = f'teams.{name}'
        old = part.team if part else None
        entry = self._merged(field, old, team)
        if part is None:
            deleted = self.deleted_teams.get(name, 0)
            self._check_deleted(field, name, deleted)
            part = _state.TeamPart(
                revision=self._revision, team=entry, ended_forgotten=deleted
            )
        self._keep_part(name, part, team=entry)

    def _put_item(self, section: str, name: str, item: typing.Any) -> None:
        field = f'{section}.{name}'
        team, rest = _state.split_name(name)
        part = self.teams.get(team)
        if part is None:
            self._fault(field, team, 'a team that is in force')
            return
        entries = getattr(part, section)
        old = entries.get(rest)
        if section in _state.JOB_SECTIONS:
            self._check_job(section, field, rest, part)
            self._check_quota(field, item, part.team.item)
        if old is None:
            ended = part.ended_forgotten
            if section not in _state.JOB_SECTIONS:
                ended = part.ended.get(_ending.service_key(rest), ended)
            self._check_deleted(field, rest, ended)
        entry = self._merged(field, old, item)
        self._keep_part(team, part, **{section: {**entries, rest: entry}})

    def _put_policy(self, work: str, policy: typing.Any) -> None:
        old = self.policies.get(work)
        self.policies[work] = self._merged(f'policies.{work}', old, policy)

    def _cancel(self, field: str, name: str) -> None:
        team, rest = _state.split_name(name)
        part = self.teams.get(team)
        if part is None:
            self._fault(field, name, 'a job of a team that is in force')
            return
        for section in _state.JOB_SECTIONS:
            entries = getattr(part, section)
            if rest not in entries:
                continue
            if not entries[rest].cancelled:
                entry = msgspec.structs.replace(
                    entries[rest], cancelled=self._revision
                )
                self._keep_part(
                    team, part, **{section: {**entries, rest: entry}}
                )
            return
        # A job that ended meanwhile needs no cancelling: refusing it would
        # refuse the hundreds of others in the same document.
        if rest not in part.ended:
            self._fault(field, name, 'a job that is in force')

    def _delete_service(self, field: str, name: str) -> None:
        team, rest = _state.split_name(name)
        part = self.teams.get(team)
        if part is None or rest not in part.services:
            self._fault(field, name, 'a service that is in force')
            return
        self._check_unchanged(field, name, part.services[rest].revision)
        kept = {key: one for key, one in part.services.items() if key != rest}
        ended = (_ending.service_key(rest),)
        part = _ending.with_ended(part, ended, self._revision)
        self._keep_part(team, part, services=kept)

    def _delete_team(self, field: str, name: str) -> None:
        part = self.teams.get(name)
        if part is None:
            self._fault(field, name, 'a team that is in force')
            return
        if part.items_count:
            allowed = f'a team without its {part.items_count} items'
            self._fault(field, name, allowed)
        self._check_unchanged(field, name, part.team.revision)
        del self.teams[name]
        self.deleted_teams.pop(name, None)
        self.deleted_teams[name] = self._revision
        while len(self.deleted_teams) > _DELETED_TEAMS_MAX:
            del self.deleted_teams[next(iter(self.deleted_teams))]

    def _check_job(
        self, section: str, field: str, name: str, part: _state.TeamPart
    ) -> None:
        # A repeat that arrives after its submission id was forgotten would
        # run a finished job again; its name stays taken against that.
        if name in part.ended:
            self._conflict(field, name, f'ended in {part.ended[name]}')
        for other in _state.JOB_SECTIONS:
            entry = getattr(part, other).get(name)
            if entry is None:
                continue
            if other != section:
                self._fault(field, name, f'a name that is not in {other}')
            elif entry.cancelled:
                cancelled = f'cancelled in {entry.cancelled}'
                self._conflict(field, name, cancelled)

    def _check_quota(
        self, field: str, job: typing.Any, team: _schema.Team
    ) -> None:
        if team.may_borrow:
            return
        at_once = job.tasks if isinstance(job, _schema.GangJob) else 1
        for name in ('cpu_cores', 'memory_mb', 'accelerators'):
            needed = getattr(job.size, name) * at_once
            quota = getattr(team.quota, name)
            if needed > quota:
                allowed = (
                    f'can never run: the quota without borrowing, {quota}'
                )
                self._fault(f'{field}.size.{name}', str(needed), allowed)
        if at_once > team.quota.slots:
            allowed = f'can never run: the quota has {team.quota.slots} slots'
            self._fault(f'{field}.tasks', str(at_once), allowed)

    def _check_deleted(self, field: str, name: str, deleted: int) -> None:
        if 0 < self._based_on < deleted:
            self._conflict(field, name, f'ended by {deleted}')

    def _check_unchanged(self, field: str, name: str, changed: int) -> None:
        if self._based_on < changed:
            self._conflict(field, name, f'changed in {changed}')

    def _merged(
        self, field: str, old: _state.Entry[_ItemType] | None, item: _ItemType
    ) -> _state.Entry[_ItemType]:
        action = getattr(item, 'action', 'put')
        if old is None:
            if action == 'change':
                self._fault(f'{field}.action', action, 'create: no such item')
            return _state.Entry(item=_stored(item), created=self._revision)
        if action == 'create':
            allowed = f'change: the item is there since {old.created}'
            self._fault(f'{field}.action', action, allowed)
        return self._merged_fields(field, old, item)

    def _merged_fields(
        self, field: str, old: _state.Entry[_ItemType], item: _ItemType
    ) -> _state.Entry[_ItemType]:
        stored = _stored(item)
        before = _state.flatten(msgspec.to_builtins(old.item))
        after = _state.flatten(msgspec.to_builtins(stored))
        changed = dict(old.changed)
        for leaf in sorted(before.keys() | after.keys()):
            given, kept = after.get(leaf), before.get(leaf)
            if given == kept:
                continue
            # The operator saw an older value than the one in force: taking
            # this one would silently undo another operator's change.
            if old.revision_of(leaf) > self._based_on:
                in_force = (
                    f'{_state.value_text(kept)} since {old.revision_of(leaf)}'
                )
                self._conflict(
                    f'{field}.{leaf}', _state.value_text(given), in_force
                )
            changed[leaf] = self._revision
        if changed == old.changed:
            return old
        return msgspec.structs.replace(old, item=stored, changed=changed)

    def _keep_part(
        self, team: str, part: _state.TeamPart, /, **sections: typing.Any
    ) -> None:
        self.teams[team] = msgspec.structs.replace(
            part, revision=self._revision, **sections
        )

    def _fault(self, field: str, given: str, allowed: str) -> None:
        self.faults.append(_fault.FieldFault(field, given, allowed))

    def _conflict(self, field: str, given: str, in_force: str) -> None:
        allowed = f'{in_force}: read it again and set based_on'
        self.faults.append(
            _fault.FieldFault(
                field,
                given,
                allowed,
                errors.ErrorKind.DOCUMENT_CONFLICT,
                in_force,
            )
        )


def _repeat(
    configuration: _state.Configuration, known: _state.Submission, digest: str
) -> expression.Result[_state.Configuration, _Faults]:
    if known.digest == digest:
        return expression.Ok(configuration)
    in_force = f'another document, accepted as {known.revision}'
    return expression.Error(
        (
            _fault.FieldFault(
                'submission_id',
                known.submission_id,
                f'a new submission_id: this one is {in_force}',
                errors.ErrorKind.DOCUMENT_CONFLICT,
                in_force,
            ),
        )
    )


def _digest(document: _schema.Document) -> str:
    encoded = msgspec.json.encode(document, order='sorted')
    return hashlib.blake2b(encoded, digest_size=8).hexdigest()


def _stored(item: _ItemType) -> _ItemType:
    if isinstance(item, _schema.Item):
        return msgspec.structs.replace(item, action='put')
    return item
