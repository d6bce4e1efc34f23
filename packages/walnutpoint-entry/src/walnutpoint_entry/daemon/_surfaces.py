"""The handlers behind the HTTP APIs of callers and operators."""

from __future__ import annotations

import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry.daemon import _parts
from walnutpoint_entry import operators
from walnutpoint_entry import ownership

__all__ = (
    'CallerHandler',
    'OperatorHandler',
)


class CallerHandler:
    """Serve callers' requests and answer readiness checks."""

    __slots__ = ('_components', '_is_stopping')

    def __init__(self, components: _parts.Components) -> None:
        self._components = components
        self._is_stopping = False

    def stop(self) -> None:
        """Fail the readiness check, so that the balancer sends no more."""
        self._is_stopping = True

    def is_stopping(self) -> bool:
        """Return whether this process is shutting down gracefully."""
        return self._is_stopping

    async def route(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Serve a request, with retries as its idempotence allows."""
        self._components.activity.mark_busy()
        return await self._components.request_tracker.run_to_completion(
            self._components.router.route(request)
        )

    def mint_key(self) -> expression.Result[str, errors.Failure]:
        """Return a new idempotency key."""
        return self._components.router.mint_key()

    def is_ready(self) -> bool:
        """Return whether this process can serve new requests."""
        if self._is_stopping or not self._components.ownership.is_member():
            return False
        owns_assets = bool(self._components.ownership.active())
        return owns_assets or bool(self._components.links.responsive())

    def in_progress(self) -> int:
        """Return how many requests are in progress."""
        return len(self._components.request_tracker)


class OperatorHandler:
    """Provide operators with views of the state of this process."""

    __slots__ = ('_caller_handler', '_components', '_refused_tokens')

    def __init__(
        self, components: _parts.Components, caller_handler: CallerHandler
    ) -> None:
        self._components = components
        self._caller_handler = caller_handler
        self._refused_tokens = 0

    def status(self) -> operators.StatusView:
        """Return the state of this process."""
        components = self._components
        ownership_service = components.ownership
        stored = ownership_service.stored_table
        active = ownership_service.active()
        shards_active = sum(map(ownership.is_shard, active))
        pending = sum(
            not ownership.is_shard(asset)
            for asset in ownership_service.pending()
        )
        counts = components.key_memory.counts()
        outcomes = components.decision_log.outcomes()
        return operators.StatusView(
            name=components.member.name,
            domain=components.member.domain,
            address=components.member.address,
            incarnation=components.member.incarnation,
            is_member=ownership_service.is_member(),
            is_confirmed=ownership_service.is_confirmed(),
            is_stopping=self._caller_handler.is_stopping(),
            table_revision=ownership_service.table_revision,
            table_generation=stored.table.generation if stored else 0,
            config_revision=ownership_service.config_revision,
            members=len(stored.table.members) if stored else 0,
            peers_heard=len(components.links.responsive()),
            endpoints_active=len(active) - shards_active,
            endpoints_pending=pending,
            shards_active=shards_active,
            slots=components.fleet.total_slots,
            slots_free=components.fleet.free_slots,
            backlog=components.dispatcher.backlog,
            in_progress=len(components.request_tracker),
            keys=counts.keys,
            keys_in_flight=counts.in_flight,
            key_answers_size_bytes=counts.answers_size_bytes,
            store_calls=components.store.calls,
            refused_tokens=(
                self._refused_tokens + components.peer_handler.refused_tokens
            ),
            done=outcomes.get(errors.Outcome.DONE.value, 0),
            not_run=outcomes.get(errors.Outcome.NOT_RUN.value, 0),
            unknown=outcomes.get(errors.Outcome.UNKNOWN.value, 0),
        )

    def endpoints(self) -> operators.EndpointsView:
        """Return the endpoints that are owned here."""
        return operators.EndpointsView(
            tuple(
                operators.EndpointRow(
                    endpoint=view.endpoint,
                    domain=view.domain,
                    slots=view.slots,
                    active=view.active,
                    doubtful=view.doubtful,
                    free=view.free,
                    closed=','.join(
                        sorted(reason.value for reason in view.closed)
                    ),
                )
                for view in self._components.fleet.snapshot()
            )
        )

    def owners(self) -> operators.OwnersView:
        """Return the owners of all assets."""
        stored = self._components.ownership.stored_table
        if stored is None:
            return operators.OwnersView(())
        members = stored.table.members
        return operators.OwnersView(
            tuple(
                operators.OwnerRow(
                    asset, members[holding.owner].name, holding.epoch
                )
                for asset, holding in stored.table.holdings.items()
            )
        )

    def explain(self, request_id: str) -> operators.ExplainView:
        """Return the logged decisions on one request."""
        return operators.ExplainView(
            self._components.decision_log.explain(request_id)
        )

    def count_refused_token(self) -> None:
        """Count a call with a wrong token or none."""
        self._refused_tokens += 1
