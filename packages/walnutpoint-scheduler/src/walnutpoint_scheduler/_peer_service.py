"""Handles the requests of other processes."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import ports as core_ports
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _handover
from walnutpoint_scheduler import _leadership
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _relay
from walnutpoint_scheduler import _store_service
from walnutpoint_scheduler import _term
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = ('PeerService',)

_LOG: typing.Final = logs.get_logger('peers')
_RequestT = typing.TypeVar('_RequestT')


class PeerService:
    """Handles each kind of request."""

    __slots__ = (
        '_advice',
        '_cell',
        '_direct_store',
        '_handlers',
        '_handover',
        '_leadership',
        '_local_member',
        '_members',
        '_relayed_store',
        '_term',
        '_timer',
    )

    def __init__(
        self,
        local_member: _messages.Member,
        store: core_ports.WatchableStore,
        members: _membership.Membership,
        leadership: _leadership.Leadership,
        handover: _handover.Handover,
        advice: ports.AdviceSource,
        clock: timer.Timer,
        term: collections.abc.Callable[[], _term.Term | None],
        relayed: _relay.RelayedStore,
        newest_cell: collections.abc.Callable[[], cell.Cell | None],
    ) -> None:
        self._local_member = local_member
        # Direct only: two processes without the store would otherwise
        # relay an operation back and forth.
        self._direct_store = store
        self._members = members
        self._leadership = leadership
        self._handover = handover
        self._advice = advice
        self._timer = clock
        self._term = term
        self._relayed_store = relayed
        self._cell = newest_cell
        self._handlers: dict[
            str,
            collections.abc.Callable[
                [bytes], collections.abc.Awaitable[object]
            ],
        ] = {
            _peers.PROBE_PATH: self._get_status,
            _peers.JOB_PATH: self._add_job,
            _peers.CANCEL_PATH: self._cancel_job,
            _peers.PENDING_PATH: self._count_pending,
            _peers.STATE_PATH: self._get_state,
            _peers.ADVICE_PATH: self._request_advice,
            _peers.STORE_PATH: self._store_operation,
            _peers.SUCCESSION_PATH: self._accept_handover,
        }

    async def handle(self, request: web.Request) -> web.Response:
        """Handle one request."""
        handler = self._handlers.get(request.path)
        if handler is None:
            return web.Response(404)
        try:
            reply = await handler(request.body)
        except decoding.UnreadableError as error:
            _LOG.warning(
                'peer.unreadable', path=request.path, error=str(error)
            )
            return web.Response(400)
        return web.Response(200, msgspec.msgpack.encode(reply))

    async def _get_status(self, body: bytes) -> object:
        request = _decode(body, _messages.Probe)
        now_s = self._timer.now_s()
        self._leadership.note_probe(request.sender)
        self._members.note_alive(request.sender, now_s)
        term = self._term()
        if term is not None and request.token > term.token:
            # The store may refuse this host, and so hide the newer claim.
            term.end(f'{request.sender} knows token {request.token}')
            term = None
        heard_s = now_s if term else self._leadership.scheduler_seen_s
        newest = self._cell()
        backlog, backlog_age_s = term.backlog() if term else (b'', 0.0)
        return _messages.ProbeReply(
            self._local_member.incarnation,
            term is not None,
            term.token if term else self._leadership.revision,
            now_s - self._relayed_store.answered_s,
            now_s - heard_s,
            newest.version if newest else 0,
            self._members.all(),
            term.pool_capacities() if term else (),
            backlog,
            backlog_age_s,
        )

    async def _accept_handover(self, body: bytes) -> object:
        request = _decode(body, _messages.HandoverRequest)
        return _messages.HandoverReply(
            await self._handover.accept_handover(request)
        )

    async def _add_job(self, body: bytes) -> object:
        term = self._term()
        job = document.decode_job(body)
        if term is None or not term.add(job):
            self._log_dropped(_peers.JOB_PATH, job.job_id)
        return None

    async def _cancel_job(self, body: bytes) -> object:
        term = self._term()
        job_id = decoding.from_utf8(body)
        if term is None or not term.cancel(job_id):
            self._log_dropped(_peers.CANCEL_PATH, job_id)
        return None

    def _log_dropped(self, path: str, job_id: str) -> None:
        """Log a notice that no term takes; the store has its entry."""
        term = self._term()
        _LOG.info(
            'notice.dropped',
            path=path,
            job=job_id,
            token=0 if term is None else term.token,
        )

    async def _count_pending(self, body: bytes) -> object:
        request = _decode(body, _messages.PendingRequest)
        term = self._term()
        return _messages.PendingReply(
            term.pending(request.queue) if term else None
        )

    async def _get_state(self, body: bytes) -> object:
        request = _decode(body, _messages.StateRequest)
        term = self._term()
        if term is None:
            return _messages.StateReply(None)
        return term.state(request.job_id)

    async def _request_advice(self, body: bytes) -> object:
        request = _decode(body, _messages.AdviceRequest)
        reply = await self._advice.request(
            request.step, request.workers, request.expected_s
        )
        if reply.is_error():
            return _messages.AdviceReply(
                {}, 0.0, f'{reply.error.kind.value}: {reply.error.detail}'
            )
        return _messages.AdviceReply(reply.ok.tickets, reply.ok.valid_s)

    async def _store_operation(self, body: bytes) -> object:
        request = _decode(body, _messages.StoreRequest)
        if not self._relayed_store.reaches_directly:
            # A call on behalf of another process would cost it a timeout.
            return _messages.StoreReply(
                errors.ErrorKind.STORE_UNAVAILABLE.value,
                'no way either',
            )
        return await _store_service.serve(self._direct_store, request)


def _decode(body: bytes, kind: type[_RequestT]) -> _RequestT:
    return decoding.from_msgpack(body, kind)
