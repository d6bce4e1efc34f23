"""Model the revocation of a key on hosts that may read old configurations.

Version 1 of a configuration has a key, version 2 has not, and version 3 can't
be decoded. A host reads the store, or receives a possibly older reading from
another host. It may be restarted, which loses its state. A caller may use the
key at any host.

| guard | code module |
|---|---|
| NEWER_ONLY | walnutpoint_scheduler.process (_apply_cell) |
| FIRST_READ | walnutpoint_platform._ingress (_answer) |
| WRONG_PASSED_OVER | walnutpoint_platform._listings (_apply) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

HOSTS = 2
NONE, WITH_KEY, WITHOUT_KEY, UNREADABLE = range(4)


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    NEWER_ONLY = 'a host never reverts to an older version'
    FIRST_READ = 'a host accepts no key before it has a configuration'
    WRONG_PASSED_OVER = 'a version that can not be decoded is ignored'


class Host(typing.NamedTuple):
    """A host's version, a pending reading, and its answers."""

    version: int = NONE
    reading: int = NONE
    # Whether this incarnation has refused the key as revoked.
    refused: bool = False
    # Whether it accepted the key later, or without a configuration.
    wrongly_accepted: bool = False


class World(typing.NamedTuple):
    """The store's version and the hosts."""

    stored: int = WITH_KEY
    hosts: tuple[Host, ...] = (Host(),) * HOSTS


class AccountKey(_check.Guarded):
    """Generate the steps of two hosts, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(state[0], tuple(Host(*host) for host in state[1]))
        found: _check.Steps = []
        if world.stored < UNREADABLE:
            newer = world._replace(stored=world.stored + 1)
            found.append(('operators write', newer))
        for number, host in enumerate(world.hosts):
            self._read(world, number, host, found)
            self._call(world, number, host, found)
            if host != Host():
                killed = _with(
                    world, number, Host(wrongly_accepted=host.wrongly_accepted)
                )
                found.append((f'host {number} restarts', killed))
        return found

    def _read(
        self, world: World, number: int, host: Host, found: _check.Steps
    ) -> None:
        """Take a reading, and apply it at any later time."""
        if host.reading == NONE:
            updated = host._replace(reading=world.stored)
            found.append(
                (f'host {number} reads', _with(world, number, updated))
            )
            return
        version = host.version
        is_undecodable = host.reading == UNREADABLE
        if is_undecodable and self._drops(Guard.WRONG_PASSED_OVER):
            # Treated as a version without accounts.
            version = UNREADABLE
        elif not is_undecodable:
            newest = max(host.version, host.reading)
            may_revert = self._drops(Guard.NEWER_ONLY)
            version = host.reading if may_revert else newest
        applied = host._replace(version=version, reading=NONE)
        found.append((f'host {number} applies', _with(world, number, applied)))
        # A second reading may overtake the first.
        newer = host._replace(
            version=max(host.version, _newest_decodable(world.stored))
        )
        found.append(
            (
                f'host {number} receives a newer version',
                _with(world, number, newer),
            )
        )

    def _call(
        self, world: World, number: int, host: Host, found: _check.Steps
    ) -> None:
        if host.version == NONE and not self._drops(Guard.FIRST_READ):
            return
        is_accepted = host.version != WITHOUT_KEY
        after = host._replace(refused=host.refused or not is_accepted)
        if is_accepted and (host.refused or host.version == NONE):
            after = after._replace(wrongly_accepted=True)
        found.append((f'call at host {number}', _with(world, number, after)))


def _newest_decodable(version: int) -> int:
    """Return the newest version that can be decoded."""
    return min(version, WITHOUT_KEY)


def _with(world: World, number: int, host: Host) -> World:
    hosts = list(world.hosts)
    hosts[number] = host
    return world._replace(hosts=tuple(hosts))


def end_is_final(fields: dict[str, typing.Any]) -> bool:
    """Hold while no incarnation accepts a key that it has refused."""
    return not any(host[3] for host in fields['hosts'])


def refused_everywhere(fields: dict[str, typing.Any]) -> bool:
    """Return whether every host has refused the key."""
    return all(host[2] for host in fields['hosts'])


def old_reading_after_newer(fields: dict[str, typing.Any]) -> bool:
    """Return whether a host that refuses the key has an old reading."""
    return any(host[2] and host[1] == WITH_KEY for host in fields['hosts'])


GOALS = (refused_everywhere, old_reading_after_newer)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='account key',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=AccountKey(dropped).steps,
        invariants={'end_is_final': end_is_final},
    )
