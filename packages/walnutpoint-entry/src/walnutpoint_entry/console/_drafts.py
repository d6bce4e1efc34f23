"""Draft documents, built from submitted forms."""

from __future__ import annotations

import dataclasses
import re
import typing

import msgspec

from walnutpoint_entry.console import _fields
from walnutpoint_entry.console import _form
from walnutpoint_entry import operators

__all__ = (
    'Draft',
    'removal_draft',
    'upsert_draft',
)

JOB_SECTIONS: typing.Final = ('batch_jobs', 'gang_jobs')
NAME: typing.Final = 'name'
ACTION: typing.Final = 'action'
BASED_ON: typing.Final = 'based_on'
_REVISION_PATTERN: typing.Final = re.compile('[0-9]{1,15}')
_ACTIONS: typing.Final = ('create', 'change')


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """An unsent document and the item that it changes."""

    section: str
    name: str
    text: str


def upsert_draft(section: str, form: _form.Form) -> Draft:
    """Return a document that adds or changes an item."""
    name = form.get(NAME, '').strip()
    item = _fields.item_from_texts(form, _fields.section_fields(section))
    action = form.get(ACTION, '')
    if action in _ACTIONS:
        item[ACTION] = action
    return Draft(section, name, _document_text(form, {section: {name: item}}))


def removal_draft(section: str, form: _form.Form) -> Draft:
    """Return a document that cancels a job or deletes another item."""
    name = form.get(NAME, '').strip()
    if section in JOB_SECTIONS:
        return Draft(
            section, name, _document_text(form, {'cancellations': [name]})
        )
    deletions: dict[str, object] = {'deletions': {section: [name]}}
    return Draft(section, name, _document_text(form, deletions))


def _document_text(form: _form.Form, sections: dict[str, object]) -> str:
    based_on = form.get(BASED_ON, '')
    document = {
        'version': 1,
        'submission_id': operators.new_submission_id(),
        # The revision that the form was opened at, not the current one, so
        # that concurrent changes by other operators are detected.
        'based_on': int(based_on)
        if _REVISION_PATTERN.fullmatch(based_on)
        else 0,
        **sections,
    }
    return msgspec.json.encode(document).decode()
