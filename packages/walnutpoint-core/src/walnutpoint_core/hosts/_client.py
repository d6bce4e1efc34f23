"""The HTTP client of the host list."""

from __future__ import annotations

import typing

import expression
import httpx
import msgspec

from walnutpoint_core import _http_client
from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import model

__all__ = ('HttpHostList',)

_HOSTS_PATH: typing.Final = '/v1/hosts'
_COUNT_MAX: typing.Final = 65_536

_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
_Address = typing.Annotated[
    str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_COUNT_MAX)]
_CpuCores = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1024.0)]
_MemoryMb = typing.Annotated[int, msgspec.Meta(ge=0, le=16_777_216)]
_Accelerators = typing.Annotated[int, msgspec.Meta(ge=0, le=64)]
_Version = typing.Annotated[int, msgspec.Meta(ge=0)]


class _Host(msgspec.Struct, frozen=True):
    """A host in its wire format."""

    address: _Address
    domain: _Name
    rack: _Name
    slots: _Count
    connections: _Count
    state: model.HostState
    cpu_cores: _CpuCores = 16.0
    memory_mb: _MemoryMb = 65_536
    accelerators: _Accelerators = 0


class _Listing(msgspec.Struct, frozen=True):
    """The host list in its wire format."""

    version: _Version
    hosts: tuple[_Host, ...]


class HttpHostList:
    """A client of the platform's host list."""

    __slots__ = ('_client', '_timeout_s', '_url')

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip('/') + _HOSTS_PATH
        self._timeout_s = timeout_s
        self._client = _http_client.HttpClient()

    @property
    def calls(self) -> int:
        """Return how many requests were sent."""
        return self._client.calls

    async def fetch(
        self, known_version: int | None
    ) -> expression.Result[model.HostListing | None, errors.Failure]:
        """Read the list, or None if the known version is current."""
        headers = {}
        if known_version is not None:
            headers['If-None-Match'] = f'"{known_version}"'
        answer = await self._client.exchange(
            _http_client.Request('GET', self._url, headers), self._timeout_s
        )
        if answer.is_error():
            return _unavailable(answer.error.detail)
        return _decode(answer.ok, known_version)

    async def aclose(self) -> None:
        """Close the connections to the service."""
        await self._client.aclose()


def _decode(
    response: httpx.Response, known_version: int | None
) -> expression.Result[model.HostListing | None, errors.Failure]:
    status = response.status_code
    if status == httpx.codes.NOT_MODIFIED and known_version is not None:
        return expression.Ok(None)
    if status != httpx.codes.OK:
        return _unavailable(f'{response.url}: status {status}')
    try:
        listing = decoding.from_json(response.content, _Listing)
    except decoding.UnreadableError as error:
        return _unavailable(f'{response.url}: unreadable answer: {error}')
    addresses = {host.address for host in listing.hosts}
    if len(addresses) != len(listing.hosts):
        # A second entry would double the slots of the address.
        return _unavailable(f'{response.url}: an address is listed twice')
    return expression.Ok(_listing(listing))


def _listing(listing: _Listing) -> model.HostListing:
    return model.HostListing(
        listing.version,
        tuple(
            model.ListedHost(
                host.address,
                host.domain,
                host.rack,
                host.slots,
                host.connections,
                host.state,
                host.cpu_cores,
                host.memory_mb,
                host.accelerators,
            )
            for host in listing.hosts
        ),
    )


def _unavailable(
    detail: str,
) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(
        errors.Failure(errors.ErrorKind.HOST_LIST_UNAVAILABLE, detail)
    )
