"""The simulated network between processes, with its faults."""

from __future__ import annotations

import typing

import anyio

from walnutpoint_core import web
from walnutpoint_model import segment_loss

__all__ = (
    'Network',
    'ProcessNetwork',
)

_TRANSIT_S: typing.Final = 0.0005


class Network:
    """Delivers requests between addresses."""

    __slots__ = (
        '_handlers',
        'cut_links',
        'delivered',
        'loss',
        'lost_paths',
        'unresponsive',
    )

    def __init__(self) -> None:
        self._handlers: dict[str, web.Handler] = {}
        # Source and target addresses of links that drop everything.
        self.cut_links: set[tuple[str, str]] = set()
        # Addresses that neither answer nor refuse: paused or powered off.
        self.unresponsive: set[str] = set()
        # Requests to these paths are lost.
        self.lost_paths: set[str] = set()
        self.delivered = 0
        # Applies to every link.
        self.loss = segment_loss.SegmentLoss(1)

    def listen(self, address: str, handler: web.Handler) -> None:
        """Register the handler of an address."""
        self._handlers[address] = handler

    def close(self, address: str) -> None:
        """Refuse connections to an address."""
        self._handlers.pop(address, None)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two addresses in both directions."""
        self.cut_links |= {(one, other), (other, one)}

    async def deliver(
        self,
        source: str,
        target: str,
        request: web.Request,
        timeout_s: float,
    ) -> web.Response | web.NoResponse:
        """Carry a request and its response."""
        is_cut = (source, target) in self.cut_links
        is_lost = is_cut or request.path in self.lost_paths
        if is_lost or target in self.unresponsive:
            await anyio.sleep(timeout_s)
            return web.NoResponse(True, 'no response')
        request_delay_s = _TRANSIT_S + self.loss.delay_s()
        if request_delay_s > timeout_s:
            await anyio.sleep(timeout_s)
            return web.NoResponse(True, 'no response')
        await anyio.sleep(request_delay_s)
        handler = self._handlers.get(target)
        if handler is None:
            return web.NoResponse(
                False, 'no connection: ConnectionRefusedError'
            )
        self.delivered += 1
        answer: web.Response | None = None
        with anyio.move_on_after(timeout_s - request_delay_s):
            answer = await handler(request)
            await anyio.sleep(_TRANSIT_S + self.loss.delay_s())
        is_lost = (
            target,
            source,
        ) in self.cut_links or target in self.unresponsive
        if answer is None or is_lost or target not in self._handlers:
            return web.NoResponse(True, 'no response')
        return answer


class _Listener:
    __slots__ = ('_address', '_handler', '_network')

    def __init__(
        self, network: Network, address: str, handler: web.Handler
    ) -> None:
        self._network = network
        self._address = address
        self._handler = handler

    async def start(self) -> None:
        """Start listening."""
        self._network.listen(self._address, self._handler)


class ProcessNetwork:
    """One process's access to the network."""

    __slots__ = ('_address', '_network')

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    async def exchange(
        self, address: str, request: web.Request, timeout_s: float
    ) -> web.Response | web.NoResponse:
        """Send a request and read its whole response."""
        return await self._network.deliver(
            self._address, address, request, timeout_s
        )

    def server(self, address: str, handler: web.Handler) -> _Listener:
        """Return a listener that passes requests to a handler."""
        return _Listener(self._network, address, handler)
