"""The configuration in force in this process, and changes to it."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio
import anyio.to_thread
import expression

from walnutpoint_core import documents
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.configuration import _ports

__all__ = (
    'ConfigurationService',
    'ConfigurationStatus',
    'REFRESH_PERIOD_S',
)

_LOG = logs.get_logger(__name__)

REFRESH_PERIOD_S: typing.Final = 0.2
_RETRY_DELAY_S: typing.Final = 1.0

_ResultType = typing.TypeVar('_ResultType')


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The revision in force here, and for how long it has been."""

    revision: int
    is_newest_seen: bool
    in_force_s: float


class ConfigurationService:
    """Keep the configuration in force in step with the store's."""

    __slots__ = (
        '_check_limiter',
        '_config_revision',
        '_configuration',
        '_in_force_since_s',
        '_listeners',
        '_lock',
        '_read_config_revision',
        '_registry',
        '_retry_at_s',
        '_timer',
    )

    def __init__(
        self,
        registry: documents.DocumentRegistry,
        timer: timers.Timer,
        config_revision: collections.abc.Callable[[], int],
        listeners: tuple[_ports.ConfigurationListener, ...] = (),
    ) -> None:
        """Start empty; config_revision returns that of the store."""
        self._registry = registry
        self._timer = timer
        self._config_revision = config_revision
        self._listeners = listeners
        self._configuration = documents.Configuration()
        self._read_config_revision = 0
        self._retry_at_s = 0.0
        self._in_force_since_s = timer.now_s()
        self._lock = anyio.Lock()
        # A check may take 0.4 s of CPU time, which would block the event
        # loop; several threads at once would still starve it of the GIL.
        # With a single thread only other operators' checks wait.
        self._check_limiter = anyio.CapacityLimiter(1)

    @property
    def configuration(self) -> documents.Configuration:
        """Return the configuration in force here."""
        return self._configuration

    def status(self) -> ConfigurationStatus:
        """Return the status of the revision in force here."""
        return ConfigurationStatus(
            self._configuration.revision,
            self._read_config_revision == self._config_revision(),
            self._timer.now_s() - self._in_force_since_s,
        )

    def history(self) -> tuple[documents.Submission, ...]:
        """Return the accepted submissions on record, oldest first."""
        return self._configuration.submissions

    def export(self, submission_id: str, team: str = '') -> documents.Document:
        """Return the configuration of one team, or all, as a document."""
        return documents.export(self._configuration, submission_id, team)

    async def run(self, ticks: timers.Subscription) -> None:
        """Refresh the configuration whenever the store's has changed."""
        async for now_s in ticks:
            if (
                self._config_revision() != self._read_config_revision
                and now_s >= self._retry_at_s
            ):
                await self.refresh()

    async def refresh(self) -> expression.Result[None, errors.Failure]:
        """Read the store's configuration and apply it here."""
        async with self._lock:
            config_revision = self._config_revision()
            current = self._configuration
            refreshed = await self._registry.refresh(current)
            if refreshed.is_error():
                self._retry_at_s = self._timer.now_s() + _RETRY_DELAY_S
                _LOG.warning(
                    'configuration_not_read', detail=refreshed.error.detail
                )
                return expression.Error(refreshed.error)
            self._read_config_revision = config_revision
            # The registry never returns an older revision; an equal one is
            # the configuration that the listeners already have.
            if refreshed.ok.revision > current.revision:
                self._apply(refreshed.ok)
            return expression.Ok(None)

    async def submit(
        self, text: str, capacity: documents.HostCapacity | None
    ) -> expression.Result[documents.Accepted, documents.Refusal]:
        """Apply a document, once for each submission id."""
        checked = await self._check(text, capacity)
        if checked.is_error() and capacity is not None:
            checked = await self._accept_repeat(text, checked)
        if checked.is_error():
            return expression.Error(checked.error)
        accepted = await self._registry.submit(checked.ok)
        # A failed read leaves the document accepted; the next tick retries.
        if (
            accepted.is_ok()
            and accepted.ok.revision > self._configuration.revision
        ):
            await self.refresh()
        return accepted

    async def diff(
        self, text: str, capacity: documents.HostCapacity | None
    ) -> expression.Result[
        tuple[documents.FieldChange, ...], documents.Refusal
    ]:
        """Return the changes that a document would make."""
        checked = await self._check(text, capacity)
        if checked.is_error():
            return expression.Error(checked.error)
        # If the store is down, compares with the revision in force here.
        await self.refresh()
        changes = await self._in_thread(
            lambda: documents.diff(self._configuration, checked.ok)
        )
        return changes.map_error(_refusal_of)

    async def _accept_repeat(
        self,
        text: str,
        refusal: expression.Result[documents.Document, documents.Refusal],
    ) -> expression.Result[documents.Document, documents.Refusal]:
        # Hosts may have been removed since the document was accepted and
        # its answer lost: a refusal would wrongly report it as not accepted.
        checked = await self._check(text, None)
        if checked.is_error():
            return refusal
        refreshed = await self.refresh()
        if refreshed.is_error():
            return expression.Error(documents.Refusal(refreshed.error))
        if self._configuration.submission(checked.ok.submission_id) is None:
            return refusal
        return checked

    async def _check(
        self, text: str, capacity: documents.HostCapacity | None
    ) -> expression.Result[documents.Document, documents.Refusal]:
        checked = await self._in_thread(
            lambda: documents.check(text, capacity)
        )
        return checked.map_error(_refusal_of)

    async def _in_thread(
        self, work: collections.abc.Callable[[], _ResultType]
    ) -> _ResultType:
        return await anyio.to_thread.run_sync(
            work, limiter=self._check_limiter
        )

    def _apply(self, configuration: documents.Configuration) -> None:
        # Without an await, so that listeners get one revision at a time and
        # miss none when the operator's request is cancelled.
        self._configuration = configuration
        self._in_force_since_s = self._timer.now_s()
        _LOG.info(
            'configuration_in_force',
            revision=configuration.revision,
            teams=len(configuration.teams),
        )
        for listener in self._listeners:
            listener.apply(configuration)


def _refusal_of(
    faults: tuple[documents.FieldFault, ...],
) -> documents.Refusal:
    kinds = {fault.kind for fault in faults}
    kind = errors.ErrorKind.DOCUMENT_INVALID
    if kinds == {errors.ErrorKind.DOCUMENT_CONFLICT}:
        kind = errors.ErrorKind.DOCUMENT_CONFLICT
    detail = ', '.join(fault.field for fault in faults)
    return documents.Refusal(errors.Failure(kind, detail), faults)
