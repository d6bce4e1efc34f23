"""The handler of messages from peers."""

from __future__ import annotations

import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry.daemon import _progress
from walnutpoint_entry import ownership
from walnutpoint_entry.peers import messages
from walnutpoint_entry import routing

__all__ = ('PeerHandler',)


class PeerHandler:
    """Answer peers' calls, and pass their state on to local components."""

    __slots__ = (
        '_activity',
        '_dispatcher',
        '_is_stopping',
        '_ownership',
        '_peer_loads',
        '_request_tracker',
        '_router',
        '_shards',
        'refused_tokens',
    )

    def __init__(
        self,
        activity: ownership.Activity,
        peer_loads: routing.PeerLoads,
        request_tracker: _progress.RequestTracker,
    ) -> None:
        self._activity = activity
        self._peer_loads = peer_loads
        self._request_tracker = request_tracker
        self._is_stopping = False
        self.refused_tokens = 0

    def set_dependencies(
        self,
        ownership_service: ownership.OwnershipService,
        dispatcher: routing.Dispatcher,
        router: routing.Router,
        shards: routing.KeyShards,
    ) -> None:
        """Set the components that are built after this one."""
        self._ownership = ownership_service
        self._dispatcher = dispatcher
        self._router = router
        self._shards = shards

    def stop(self) -> None:
        """Report this process as stopping in every state from now on."""
        self._is_stopping = True

    def own_state(self) -> ownership.PeerState:
        """Return the state of this process."""
        return ownership.PeerState(
            member=self._ownership.member,
            table_revision=self._ownership.table_revision,
            free_slots=self._dispatcher.free_slots,
            backlog=self._dispatcher.backlog,
            is_busy=self._activity.is_busy(),
            is_stopping=self._is_stopping,
        )

    def observe_heartbeat_reply(
        self, state: ownership.PeerState, sent_s: float
    ) -> None:
        """Record the reply to a heartbeat that was sent at sent_s."""
        self._ownership.observe_heartbeat_reply(state, sent_s)
        self._observe(state)

    def observe_connection_refused(self, member: ownership.Member) -> None:
        """Record that a peer's address refuses connections."""
        self._ownership.observe_connection_refused(member)

    def observe_free_slots(
        self, member: ownership.Member, free_slots: int
    ) -> None:
        """Record the free slots that a peer reported with a result."""
        self._peer_loads.observe_free_slots(member, free_slots)
        self._dispatcher.drain()

    def observe_heartbeat(self, state: ownership.PeerState) -> None:
        """Record a heartbeat that a peer sent."""
        self._ownership.observe_heartbeat(state)
        self._observe(state)

    async def place(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Place a request on an endpoint owned here, without queueing."""
        self._activity.mark_busy()
        return await self._request_tracker.run_to_completion(
            self._dispatcher.place(request)
        )

    async def serve(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Serve a request as the home of its key."""
        self._activity.mark_busy()
        return await self._request_tracker.run_to_completion(
            self._router.serve_as_home(request)
        )

    def receive_release(
        self,
        table_revision: int,
        released: tuple[ownership.ReleasedAsset, ...],
    ) -> None:
        """Take over released assets."""
        self._ownership.receive_release(table_revision, released)

    def import_keys(self, batch: messages.KeyBatch) -> bool:
        """Import a batch of a shard's keys; return whether it is valid."""
        return self._shards.receive(batch)

    def free_slots(self) -> int:
        """Return the number of free slots on endpoints owned here."""
        return self._dispatcher.free_slots

    def count_refused_token(self) -> None:
        """Count a call with a wrong token or none."""
        self.refused_tokens += 1

    def _observe(self, state: ownership.PeerState) -> None:
        self._peer_loads.observe(state)
        self._dispatcher.drain()
