"""The policy of each kind of job."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_entry.jobs import _batch
from walnutpoint_entry.jobs import _gang
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _service

__all__ = ('POLICIES',)

POLICIES: typing.Final[
    collections.abc.Mapping[_model.JobKind, _policy.JobPolicy]
] = {
    _model.JobKind.SERVICE: _service.ServicePolicy(),
    _model.JobKind.BATCH: _batch.BatchPolicy(),
    _model.JobKind.GANG: _gang.GangPolicy(),
}
