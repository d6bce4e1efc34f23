"""List every model with the mutants of its guards and its goals."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
import functools
import typing

import minicheck
from minicheck import verdict

from specs import _check
from specs import acceptance
from specs import account_key
from specs import account_limit
from specs import cancel
from specs import confirmation
from specs import crashes
from specs import doubt
from specs import gang
from specs import grants
from specs import incarnation
from specs import intake
from specs import lease
from specs import memory
from specs import proposal
from specs import quorum
from specs import succession
from specs import term
from specs import withdrawal


class Build(typing.Protocol):
    """Build a model, or its mutant without one guard."""

    def __call__(self, dropped: typing.Any = None) -> minicheck.Protocol:
        """Return the model without the named guard."""


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model with its builder, its guards and the goals it must reach."""

    name: str
    build: Build
    guards: type[enum.Enum]
    goals: tuple[_check.Predicate, ...]


MODELS = (
    Model('proposal', proposal.build, proposal.Guard, proposal.GOALS),
    Model(
        'confirmation',
        confirmation.build,
        confirmation.Guard,
        confirmation.GOALS,
    ),
    Model('quorum', quorum.build, quorum.Guard, quorum.GOALS),
    Model('succession', succession.build, succession.Guard, succession.GOALS),
    Model('doubt', doubt.build, doubt.Guard, doubt.GOALS),
    Model('memory', memory.build, memory.Guard, memory.GOALS),
    Model('lease', lease.build, lease.Guard, lease.GOALS),
    Model('grants', grants.build, grants.Guard, grants.GOALS),
    Model('gang', gang.build, gang.Guard, gang.GOALS),
    Model('term', term.build, term.Guard, term.GOALS),
    Model('acceptance', acceptance.build, acceptance.Guard, acceptance.GOALS),
    Model('cancel', cancel.build, cancel.Guard, cancel.GOALS),
    Model('intake', intake.build, intake.Guard, intake.GOALS),
    Model('withdrawal', withdrawal.build, withdrawal.Guard, withdrawal.GOALS),
    Model('crashes', crashes.build, crashes.Guard, crashes.GOALS),
    Model(
        'incarnation',
        incarnation.build,
        incarnation.Guard,
        incarnation.GOALS,
    ),
    Model(
        'account limit',
        account_limit.build,
        account_limit.Guard,
        account_limit.GOALS,
    ),
    Model(
        'account key',
        account_key.build,
        account_key.Guard,
        account_key.GOALS,
    ),
)


def _mutant(model: Model, guard: enum.Enum) -> _check.Case:
    build: Callable[[], minicheck.Protocol]
    build = functools.partial(model.build, guard)
    name = f'{model.name} without {guard.name}'
    return _check.Case(name, build, verdict.Verdict.REFUTED)


def _goal(model: Model, goal: _check.Predicate) -> _check.Case:
    """Return a case that fails if a goal is unreachable.

    A model without steps satisfies every invariant; refuting that a goal is
    never reached shows that the proof is not vacuous.
    """

    def never(fields: dict[str, typing.Any]) -> bool:
        return not goal(fields)

    def build() -> minicheck.Protocol:
        whole = model.build()
        return dataclasses.replace(whole, invariants={'never': never})

    name = f'{model.name} never {goal.__name__}'
    return _check.Case(name, build, verdict.Verdict.REFUTED)


def cases_of(model: Model) -> list[_check.Case]:
    """Return the case of a model, its goals and its mutants."""
    return [
        _check.Case(model.name, model.build, verdict.Verdict.PROVED),
        *(_goal(model, goal) for goal in model.goals),
        *(_mutant(model, guard) for guard in model.guards),
    ]


def all_cases() -> list[_check.Case]:
    """Return the cases of all models in a fixed order."""
    return [case for model in MODELS for case in cases_of(model)]
