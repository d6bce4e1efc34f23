"""Run models and mutants and compare their verdicts."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import time
import typing

import minicheck
from minicheck import verdict

MAX_STATES = 400_000

State = tuple[typing.Any, ...]
Steps = list[tuple[str, State]]
Predicate = Callable[[dict[str, typing.Any]], bool]


class Guarded:
    """Base of models; a mutant drops one guard, the whole model none."""

    def __init__(self, dropped: enum.Enum | None) -> None:
        self._dropped = dropped

    def _drops(self, guard: enum.Enum) -> bool:
        return self._dropped is guard


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A model to be proved, or a mutant or goal to be refuted."""

    name: str
    build: Callable[[], minicheck.Protocol]
    expected: verdict.Verdict
    max_states: int = MAX_STATES


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one run of the checker."""

    case: Case
    states: int
    reached: verdict.Verdict
    elapsed_s: float
    trace: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Return whether the verdict is the expected one."""
        return self.reached is self.case.expected


class _EarlyStop:
    """Ends the search of a mutant at its first counterexample.

    The library would continue, but one counterexample is enough.
    """

    def __init__(self, model: minicheck.Protocol) -> None:
        self._model = model
        self._violated = False

    def wrapped(self) -> minicheck.Protocol:
        return dataclasses.replace(
            self._model,
            transitions=self._steps,
            invariants={
                name: self._recording(holds)
                for name, holds in self._model.invariants.items()
            },
        )

    def _recording(self, holds: Predicate) -> Predicate:
        def predicate(fields: dict[str, typing.Any]) -> bool:
            held = holds(fields)
            self._violated = self._violated or not held
            return held

        return predicate

    def _steps(self, state: State) -> Steps:
        if self._violated:
            return []
        return typing.cast(Steps, self._model.transitions(state))


def run(case: Case) -> Outcome:
    """Search one case and return its outcome."""
    started = time.perf_counter()
    model = case.build()
    if case.expected is verdict.Verdict.REFUTED:
        model = _EarlyStop(model).wrapped()
    found = minicheck.check_safety(model, max_states=case.max_states)
    properties = found['properties'].values()
    reached = verdict.combine(
        verdict.from_holds(each['holds'], exhaustive=found['exhaustive'])
        for each in properties
    )
    traces = [p['counterexample'] for p in properties if p['counterexample']]
    return Outcome(
        case=case,
        states=found['reachable_states'],
        reached=reached,
        elapsed_s=time.perf_counter() - started,
        trace=tuple(s['label'] for s in traces[0][1:]) if traces else (),
    )


def line(outcome: Outcome) -> str:
    """Format one outcome as one line."""
    mark = 'ok' if outcome.passed else 'FAILED'
    return (
        f'{outcome.case.name:<42} {outcome.states:>7} states '
        f'{outcome.reached.value:<12} {outcome.elapsed_s:6.2f} s  {mark}'
    )


def run_all(cases: Iterable[Case], show_traces: bool = False) -> int:
    """Run the cases, print a line for each, return the exit status."""
    outcomes = []
    for case in cases:
        outcome = run(case)
        outcomes.append(outcome)
        print(line(outcome), flush=True)
        if outcome.trace and (show_traces or not outcome.passed):
            print('    ' + ' > '.join(outcome.trace), flush=True)
    failed = sum(not each.passed for each in outcomes)
    proved = sum(
        each.passed and each.reached is verdict.Verdict.PROVED
        for each in outcomes
    )
    print(
        f'{len(outcomes)} cases: {proved} models proved, '
        f'{len(outcomes) - failed - proved} mutants and goals refuted, '
        f'{failed} failed, {sum(e.states for e in outcomes)} states, '
        f'{sum(e.elapsed_s for e in outcomes):.1f} s'
    )
    return 1 if failed or not outcomes else 0
