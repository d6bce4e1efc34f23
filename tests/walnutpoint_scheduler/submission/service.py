"""The submission service of one process, for tests."""

from __future__ import annotations

import asyncio
import typing

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import web
from walnutpoint_model import store
from walnutpoint_model import virtual_time
from walnutpoint_scheduler import _leadership
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _relay
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import admission
from walnutpoint_scheduler import job_status
from walnutpoint_scheduler import settings
from walnutpoint_scheduler import submission

__all__ = ('Service',)


class Service:
    """The submission service of a process without peers."""

    def __init__(self, memory_store: store.MemoryStore | None = None) -> None:
        self.store = memory_store or store.MemoryStore()
        clock = virtual_time.LoopTimer()
        members = _membership.Membership(
            _messages.Member('me', '127.0.0.1:1', 'domain-0', 'life')
        )
        peers = _peers.Peers(web.Client())
        self.accounts = accounts.Accounts(())
        self.gate = admission.AdmissionGate(clock, lambda: True)
        self.relayed = _relay.RelayedStore(self.store, members, peers, clock)
        leadership = _leadership.Leadership(
            self.relayed, members, peers, clock, settings.SchedulerSettings()
        )
        self.submissions = submission.Submissions(
            self.relayed,
            leadership,
            peers,
            clock,
            lambda: None,
            lambda *_: None,
            lambda name: self.accounts.get(name),
            self.gate,
        )
        self.job_status = job_status.JobStatus(
            self.relayed, leadership, peers, clock, lambda: None
        )

    async def submit(self, number: int, wait_s: float = 3.0) -> typing.Any:
        """Submit a job whose caller waits for a time."""
        now_s = asyncio.get_running_loop().time()
        return await self.submissions.submit(
            harness.job(number), now_s + wait_s
        )
