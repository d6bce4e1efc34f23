"""Application of a document to the configuration in force."""

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

SUBMISSIONS_REMEMBERED_MAX: typing.Final = 1024
_DELETED_TEAMS_MAX: typing.Final = 1000

_Faults: typing.TypeAlias = tuple[_fault.FieldFault, ...]
_ItemType = typing.TypeVar('_ItemType')


def apply(
    configuration: _state.Configuration,
    document: _schema.Document,
    revision: int,
) -> expression.Result[_state.Configuration, _Faults]:
    """Return the configuration with a document applied, or its faults."""
    digest = _digest(document)
    earlier = configuration.submission(document.submission_id)
    if earlier is not None:
        return _resubmission(configuration, earlier, digest)
    change = _DocumentApplication(configuration, document, revision)
    change.run()
    if change.faults:
        return expression.Error(tuple(change.faults))
    accepted = _state.Submission(document.submission_id, revision, digest)
    remembered = (*configuration.submissions, accepted)[
        -SUBMISSIONS_REMEMBERED_MAX:
    ]
    return expression.Ok(
        _state.Configuration(
            revision=revision,
            teams=types.MappingProxyType(change.teams),
            policies=types.MappingProxyType(change.policies),
            submissions=remembered,
            deleted_teams=types.MappingProxyType(change.deleted_teams),
        )
    )


class _DocumentApplication:
    """The application of one document to copies of the sections."""

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
            self._add_fault('based_on', str(self._based_on), allowed)

    def run(self) -> None:
        """Apply every section, and collect all faults."""
        for name, team in self._document.teams.items():
            self._put_team(name, team)
        for section in _state.ITEM_SECTIONS:
            for name, item in getattr(self._document, section).items():
                self._put_item(section, name, item)
        for policy_name in _state.DEFAULT_POLICIES:
            policy = getattr(self._document.policies, policy_name)
            if policy is not None:
                self._put_policy(policy_name, policy)
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
        entry = self._merge_entry(field, old, team)
        if part is None:
            deleted = self.deleted_teams.get(name, 0)
            self._check_deleted(field, name, deleted)
            part = _state.TeamPart(
                revision=self._revision, team=entry, ended_forgotten=deleted
            )
        self._replace_part(name, part, team=entry)

    def _put_item(self, section: str, name: str, item: typing.Any) -> None:
        field = f'{section}.{name}'
        team, item_name = _state.split_item_name(name)
        part = self.teams.get(team)
        if part is None:
            self._add_fault(field, team, 'a team that is in force')
            return
        entries = getattr(part, section)
        old = entries.get(item_name)
        if section in _state.JOB_SECTIONS:
            self._check_job(section, field, item_name, part)
            self._check_quota(field, item, part.team.item)
        if old is None:
            ended = part.ended_forgotten
            if section not in _state.JOB_SECTIONS:
                ended = part.ended.get(
                    _ending.ended_service_key(item_name), ended
                )
            self._check_deleted(field, item_name, ended)
        entry = self._merge_entry(field, old, item)
        self._replace_part(
            team, part, **{section: {**entries, item_name: entry}}
        )

    def _put_policy(self, policy_name: str, policy: typing.Any) -> None:
        old = self.policies.get(policy_name)
        self.policies[policy_name] = self._merge_entry(
            f'policies.{policy_name}', old, policy
        )

    def _cancel(self, field: str, name: str) -> None:
        team, item_name = _state.split_item_name(name)
        part = self.teams.get(team)
        if part is None:
            self._add_fault(field, name, 'a job of a team that is in force')
            return
        for section in _state.JOB_SECTIONS:
            entries = getattr(part, section)
            if item_name not in entries:
                continue
            if not entries[item_name].cancelled:
                entry = msgspec.structs.replace(
                    entries[item_name], cancelled=self._revision
                )
                self._replace_part(
                    team, part, **{section: {**entries, item_name: entry}}
                )
            return
        # Cancelling an ended job is no fault: it would refuse the whole
        # document with its hundreds of other cancellations.
        if item_name not in part.ended:
            self._add_fault(field, name, 'a job that is in force')

    def _delete_service(self, field: str, name: str) -> None:
        team, item_name = _state.split_item_name(name)
        part = self.teams.get(team)
        if part is None or item_name not in part.services:
            self._add_fault(field, name, 'a service that is in force')
            return
        self._check_unchanged(field, name, part.services[item_name].revision)
        remaining = {
            key: entry
            for key, entry in part.services.items()
            if key != item_name
        }
        ended = (_ending.ended_service_key(item_name),)
        part = _ending.with_ended_names(part, ended, self._revision)
        self._replace_part(team, part, services=remaining)

    def _delete_team(self, field: str, name: str) -> None:
        part = self.teams.get(name)
        if part is None:
            self._add_fault(field, name, 'a team that is in force')
            return
        if part.items_count:
            allowed = f'a team without its {part.items_count} items'
            self._add_fault(field, name, allowed)
        self._check_unchanged(field, name, part.team.revision)
        del self.teams[name]
        self.deleted_teams.pop(name, None)
        self.deleted_teams[name] = self._revision
        while len(self.deleted_teams) > _DELETED_TEAMS_MAX:
            del self.deleted_teams[next(iter(self.deleted_teams))]

    def _check_job(
        self, section: str, field: str, name: str, part: _state.TeamPart
    ) -> None:
        # The names of ended jobs stay reserved: a resubmission after its
        # submission id was forgotten would run the job again.
        if name in part.ended:
            self._add_conflict(field, name, f'ended in {part.ended[name]}')
        for other in _state.JOB_SECTIONS:
            entry = getattr(part, other).get(name)
            if entry is None:
                continue
            if other != section:
                self._add_fault(field, name, f'a name that is not in {other}')
            elif entry.cancelled:
                cancelled = f'cancelled in {entry.cancelled}'
                self._add_conflict(field, name, cancelled)

    def _check_quota(
        self, field: str, job: typing.Any, team: _schema.Team
    ) -> None:
        if team.may_borrow:
            return
        concurrent_tasks = job.tasks if isinstance(job, _schema.GangJob) else 1
        for name in ('cpu_cores', 'memory_mb', 'accelerators'):
            demand = getattr(job.size, name) * concurrent_tasks
            quota = getattr(team.quota, name)
            if demand > quota:
                allowed = (
                    f'can never run: the quota without borrowing, {quota}'
                )
                self._add_fault(f'{field}.size.{name}', str(demand), allowed)
        if concurrent_tasks > team.quota.slots:
            allowed = f'can never run: the quota has {team.quota.slots} slots'
            self._add_fault(f'{field}.tasks', str(concurrent_tasks), allowed)

    def _check_deleted(self, field: str, name: str, deleted: int) -> None:
        if 0 < self._based_on < deleted:
            self._add_conflict(field, name, f'ended by {deleted}')

    def _check_unchanged(self, field: str, name: str, changed: int) -> None:
        if self._based_on < changed:
            self._add_conflict(field, name, f'changed in {changed}')

    def _merge_entry(
        self, field: str, old: _state.Entry[_ItemType] | None, item: _ItemType
    ) -> _state.Entry[_ItemType]:
        action = getattr(item, 'action', 'put')
        if old is None:
            if action == 'change':
                self._add_fault(
                    f'{field}.action', action, 'create: no such item'
                )
            return _state.Entry(
                item=_with_default_action(item), created=self._revision
            )
        if action == 'create':
            allowed = f'change: the item is there since {old.created}'
            self._add_fault(f'{field}.action', action, allowed)
        return self._merge_fields(field, old, item)

    def _merge_fields(
        self, field: str, old: _state.Entry[_ItemType], item: _ItemType
    ) -> _state.Entry[_ItemType]:
        stored = _with_default_action(item)
        before = _state.flatten(msgspec.to_builtins(old.item))
        after = _state.flatten(msgspec.to_builtins(stored))
        changed = dict(old.changed)
        for path in sorted(before.keys() | after.keys()):
            new_value, old_value = after.get(path), before.get(path)
            if new_value == old_value:
                continue
            # The document is based on an older value; applying it would
            # silently undo another operator's change.
            if old.revision_of(path) > self._based_on:
                in_force = (
                    f'{_state.value_text(old_value)} since '
                    f'{old.revision_of(path)}'
                )
                self._add_conflict(
                    f'{field}.{path}', _state.value_text(new_value), in_force
                )
            changed[path] = self._revision
        if changed == old.changed:
            return old
        return msgspec.structs.replace(old, item=stored, changed=changed)

    def _replace_part(
        self, team: str, part: _state.TeamPart, /, **sections: typing.Any
    ) -> None:
        self.teams[team] = msgspec.structs.replace(
            part, revision=self._revision, **sections
        )

    def _add_fault(self, field: str, given: str, allowed: str) -> None:
        self.faults.append(_fault.FieldFault(field, given, allowed))

    def _add_conflict(self, field: str, given: str, in_force: str) -> None:
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


def _resubmission(
    configuration: _state.Configuration,
    earlier: _state.Submission,
    digest: str,
) -> expression.Result[_state.Configuration, _Faults]:
    if earlier.digest == digest:
        return expression.Ok(configuration)
    in_force = f'another document, accepted as {earlier.revision}'
    return expression.Error(
        (
            _fault.FieldFault(
                'submission_id',
                earlier.submission_id,
                f'a new submission_id: this one is {in_force}',
                errors.ErrorKind.DOCUMENT_CONFLICT,
                in_force,
            ),
        )
    )


def _digest(document: _schema.Document) -> str:
    encoded = msgspec.json.encode(document, order='sorted')
    return hashlib.blake2b(encoded, digest_size=8).hexdigest()


def _with_default_action(item: _ItemType) -> _ItemType:
    if isinstance(item, _schema.Item):
        return msgspec.structs.replace(item, action='put')
    return item
