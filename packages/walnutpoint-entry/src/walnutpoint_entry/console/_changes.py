"""Handlers of the forms that edit the items of one section."""

from __future__ import annotations

import collections.abc
import typing

import starlette.requests
import starlette.responses

from walnutpoint_core import documents
from walnutpoint_core import errors
from walnutpoint_entry.console import _drafts
from walnutpoint_entry.console import _faults
from walnutpoint_entry.console import _fields
from walnutpoint_entry.console import _form
from walnutpoint_entry.console import _pages
from walnutpoint_entry.console import _session
from walnutpoint_entry.console import _tables
from walnutpoint_entry import operators

__all__ = ('ItemForms',)

_Request: typing.TypeAlias = starlette.requests.Request
_Response: typing.TypeAlias = starlette.responses.Response

_NO_FAULTS: typing.Final = _faults.FormFaults({}, ())


class ItemForms:
    """Render edit forms and preview the changes that they make."""

    __slots__ = ('_backend', '_fields', '_pages', '_section')

    def __init__(
        self,
        section: str,
        backend: operators.DocumentBackend,
        pages: _pages.Pages,
    ) -> None:
        self._section = section
        self._fields = _fields.section_fields(section)
        self._backend = backend
        self._pages = pages

    async def edit(
        self, http: _Request, session: _session.Session
    ) -> _Response:
        """Show the edit form of an existing or a new item."""
        configuration = self._backend.configuration.configuration
        name = http.query_params.get('name', '')
        texts = {field.path: field.initial for field in self._fields}
        action = 'create'
        if name:
            item = _tables.find_item(configuration, self._section, name)
            if item is None:
                return self._not_found(session, name)
            texts = dict(item.texts)
            action = 'change'
        texts[_drafts.NAME] = name
        texts[_drafts.ACTION] = action
        texts[_drafts.BASED_ON] = str(configuration.revision)
        return self._show_form(session, texts, _NO_FAULTS, 200)

    async def preview_upsert(
        self, http: _Request, session: _session.Session, form: _form.Form
    ) -> _Response:
        """Show the changes that a filled form makes, or its faults."""
        draft = _drafts.upsert_draft(self._section, form)
        changes = await self._diff(draft)
        if changes.is_error():
            refusal = changes.error
            form_faults = _faults.assign_to_fields(
                refusal.faults, draft, self._fields
            )
            status = refusal.failure.rule.status
            return self._show_form(session, form, form_faults, status)
        return self._show_confirmation(session, draft, changes.ok)

    async def preview_removal(
        self, http: _Request, session: _session.Session, form: _form.Form
    ) -> _Response:
        """Show the changes that cancelling or deleting an item makes."""
        draft = _drafts.removal_draft(self._section, form)
        changes = await self._diff(draft)
        if changes.is_error():
            refusal = changes.error
            return self._pages.render(
                'refused.html',
                session,
                refusal.failure.rule.status,
                failure=refusal.failure,
                faults=refusal.faults,
                document='',
            )
        return self._show_confirmation(session, draft, changes.ok)

    async def _diff(self, draft: _drafts.Draft) -> typing.Any:
        return await self._backend.configuration.diff(
            draft.text, self._backend.capacity.capacity()
        )

    def _show_form(
        self,
        session: _session.Session,
        texts: collections.abc.Mapping[str, str],
        faults: _faults.FormFaults,
        status: int,
    ) -> _Response:
        return self._pages.render(
            'form.html',
            session,
            status,
            section=self._section,
            fields=self._fields,
            texts=texts,
            faults=faults,
        )

    def _show_confirmation(
        self,
        session: _session.Session,
        draft: _drafts.Draft,
        changes: tuple[documents.FieldChange, ...],
    ) -> _Response:
        checked = documents.check(draft.text)
        return self._pages.render(
            'confirm.html',
            session,
            draft=draft,
            changes=changes,
            yaml=documents.to_yaml(checked.ok) if checked.is_ok() else '',
        )

    def _not_found(self, session: _session.Session, name: str) -> _Response:
        failure = errors.Failure(errors.ErrorKind.NOT_FOUND, name)
        return self._pages.render(
            'refused.html',
            session,
            failure.rule.status,
            failure=failure,
            faults=(),
            document='',
        )
