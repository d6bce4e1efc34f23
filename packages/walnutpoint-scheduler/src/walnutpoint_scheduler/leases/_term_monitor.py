"""Keeps a term confirmed while it has no successor, or ends it."""

from __future__ import annotations

import collections.abc
import typing

import anyio

from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler.leases import _confirmation
from walnutpoint_scheduler.leases import _grants
from walnutpoint_scheduler.leases import _host_poll

__all__ = ('TermMonitor',)

_LOG: typing.Final = logs.get_logger('term')
# Interval between readings of the claim while nothing is journaled. Leases
# are shorter by the age of the newest one.
_STORE_PERIOD_S: typing.Final = 0.15
# Age of the newest answer of the store from which the hosts are polled.
_HOSTS_AFTER_S: typing.Final = 0.5
# Interval between polls, and the share of it for each host, which limits a
# scheduler of many hosts to some hundred calls a second.
_HOSTS_PERIOD_S: typing.Final = 0.2
_PERIOD_PER_HOST_S: typing.Final = 0.004
_LOG_CHECK_S: typing.Final = 0.1
# Several readings of the claim, and a call to a slow store.
_UNCONFIRMED_S: typing.Final = 1.0
# A check that is this late shows that the process stood still.
_STALL_S: typing.Final = 0.4


class TermMonitor:
    """Asks the store and, while it is silent, the other hosts."""

    __slots__ = (
        '_confirmation',
        '_describe_contacts',
        '_end_term',
        '_grants',
        '_hosts',
        '_store',
        '_timer',
        '_token',
    )

    def __init__(
        self,
        token: int,
        confirmation: _confirmation.Confirmation,
        grants: _grants.Grants,
        store: ports.WatchableStore,
        hosts: _host_poll.Hosts,
        clock: timer.Timer,
        describe_contacts: collections.abc.Callable[[], dict[str, object]],
        end_term: collections.abc.Callable[[str], None],
    ) -> None:
        """Create a monitor; end_term is called with a reason."""
        self._token = token
        self._confirmation = confirmation
        self._grants = grants
        self._store = store
        self._hosts = hosts
        self._timer = clock
        self._describe_contacts = describe_contacts
        self._end_term = end_term

    async def run(self) -> None:
        """Confirm the term until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask_store)
            tasks.start_soon(self._ask_hosts)
            tasks.start_soon(self._log_gaps)

    def describe(self) -> dict[str, object]:
        """Return what the newest lease was granted on, for a log line."""
        return {
            'confirmed_ago_s': self._ago_s(self._confirmation.store_s),
            'hosts_ago_s': self._ago_s(self._confirmation.hosts_s),
            'granted_ago_s': self._ago_s(self._grants.granted_s),
            **self._describe_contacts(),
        }

    def _ago_s(self, time_s: float | None) -> float | str:
        if time_s is None:
            return '-'
        return round(self._timer.now_s() - time_s, 3)

    async def _ask_store(self) -> None:
        """Read the claim while no commit shows it."""
        async for now_s in self._timer.subscribe(lambda: _STORE_PERIOD_S):
            if now_s - self._confirmation.store_s < _STORE_PERIOD_S:
                continue
            asked_s = self._timer.now_s()
            claim = await self._store.get(_keys.SCHEDULER)
            if claim.is_error():
                continue
            revision = claim.ok.revision if claim.ok else 0
            if revision != self._token:
                self._end_term(f'the scheduler key has revision {revision}')
                return
            self._confirmation.note_store(asked_s)

    async def _ask_hosts(self) -> None:
        """Poll the hosts while the store is silent.

        In an outage of the store no host can begin a term. To let leases
        lapse then would stop all work for nothing.
        """
        async for now_s in self._timer.subscribe(self._hosts_period_s):
            if now_s - self._confirmation.store_s < _HOSTS_AFTER_S:
                continue
            result = await self._hosts.poll(self._token)
            if result.newer_token:
                self._end_term(
                    f'{result.newer_host} knows token {result.newer_token}'
                )
                return
            if result.excluded_s is not None:
                self._confirmation.note_hosts(result.excluded_s)

    def _hosts_period_s(self) -> float:
        return max(_HOSTS_PERIOD_S, self._hosts.count * _PERIOD_PER_HOST_S)

    async def _log_gaps(self) -> None:
        """Log when a successor would go unnoticed, and stalls."""
        unconfirmed_s: float | None = None
        checked_s = self._timer.now_s()
        async for now_s in self._timer.subscribe(lambda: _LOG_CHECK_S):
            if now_s - checked_s > _STALL_S:
                _LOG.warning(
                    'term.stalled',
                    token=self._token,
                    stalled_s=round(now_s - checked_s, 3),
                )
            checked_s = now_s
            is_confirmed = (
                now_s - self._confirmation.newest_s <= _UNCONFIRMED_S
            )
            if not is_confirmed and unconfirmed_s is None:
                unconfirmed_s = now_s
                _LOG.warning(
                    'term.unconfirmed',
                    token=self._token,
                    silent=','.join(self._hosts.silent()) or '-',
                    **self.describe(),
                )
            elif is_confirmed and unconfirmed_s is not None:
                _LOG.info(
                    'term.confirmed',
                    token=self._token,
                    after_s=round(now_s - unconfirmed_s, 3),
                )
                unconfirmed_s = None
