"""The documents that forms make."""

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
    'ending',
    'putting',
)

JOB_SECTIONS: typing.Final = ('batch_jobs', 'gang_jobs')
NAME: typing.Final = 'name'
ACTION: typing.Final = 'action'
BASED_ON: typing.Final = 'based_on'
_REVISION: typing.Final = re.compile('[0-9]{1,15}')
_ACTIONS: typing.Final = ('create', 'change')


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """A document that was not sent yet, and the item that it is about."""

    section: str
    name: str
    text: str


def putting(section: str, form: _form.Form) -> Draft:
    """Return the document that adds or changes an item."""
    name = form.get(NAME, '').strip()
    item = _fields.values_of(form, _fields.fields_of(section))
    action = form.get(ACTION, '')
    if action in _ACTIONS:
        item[ACTION] = action
    return Draft(section, name, _text(form, {section: {name: item}}))


def ending(section: str, form: _form.Form) -> Draft:
    """Return the document that cancels a job or deletes another item."""
    name = form.get(NAME, '').strip()
    if section in JOB_SECTIONS:
        return Draft(section, name, _text(form, {'cancellations': [name]}))
    deletions: dict[str, object] = {'deletions': {section: [name]}}
    return Draft(section, name, _text(form, deletions))


def _text(form: _form.Form, sections: dict[str, object]) -> str:
    based_on = form.get(BASED_ON, '')
    whole = {
        'version': 1,
        'submission_id': operators.new_submission_id(),
        # What the operator looked at, not what is in force by now: only so
        # can a change made meanwhile by another one be told.
        'based_on': int(based_on) if _REVISION.fullmatch(based_on) else 0,
        **sections,
    }
    return msgspec.json.encode(whole).decode()
