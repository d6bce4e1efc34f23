"""Statistics of the answers to many requests."""

from __future__ import annotations

import collections.abc
import math

import msgspec

from walnutpoint_cli import _answer
from walnutpoint_cli import exit_code

__all__ = (
    'Spread',
    'Summary',
    'exit_code_of',
    'summarize',
)

# An unknown outcome is the worst, since it needs manual follow-up.
_WORST_FIRST = (
    _answer.Verdict.UNKNOWN,
    _answer.Verdict.UNREACHABLE,
    _answer.Verdict.REFUSED,
    _answer.Verdict.SERVED,
)


class Spread(msgspec.Struct, frozen=True):
    """The median, 99th percentile and maximum of a set of times."""

    p50_ms: float | None = None
    p99_ms: float | None = None
    max_ms: float | None = None


class Summary(msgspec.Struct, frozen=True):
    """The number of requests by verdict, and the times of served ones."""

    requests: int
    served: int
    refused: int
    unknown: int
    unreachable: int
    wait: Spread
    elapsed: Spread
    reasons: dict[str, int]


def summarize(answers: collections.abc.Sequence[_answer.Answer]) -> Summary:
    """Return the counts and times of a set of answers."""
    verdicts = collections.Counter(answer.verdict for answer in answers)
    served = [a for a in answers if a.verdict is _answer.Verdict.SERVED]
    reasons = collections.Counter(
        answer.kind or answer.detail or 'no reason given'
        for answer in answers
        if answer.verdict is not _answer.Verdict.SERVED
    )
    return Summary(
        requests=len(answers),
        served=verdicts[_answer.Verdict.SERVED],
        refused=verdicts[_answer.Verdict.REFUSED],
        unknown=verdicts[_answer.Verdict.UNKNOWN],
        unreachable=verdicts[_answer.Verdict.UNREACHABLE],
        wait=_spread([a.waited_s for a in served if a.waited_s is not None]),
        elapsed=_spread([a.elapsed_s for a in served]),
        reasons=dict(reasons),
    )


def exit_code_of(
    answers: collections.abc.Iterable[_answer.Answer],
) -> exit_code.ExitCode:
    """Return the exit code of the worst verdict."""
    verdicts = {answer.verdict for answer in answers}
    for verdict in _WORST_FIRST:
        if verdict in verdicts:
            return verdict.exit_code
    return exit_code.ExitCode.DONE


def _spread(times_s: list[float]) -> Spread:
    if not times_s:
        return Spread()
    ordered = sorted(times_s)

    def rank_ms(share: float) -> float:
        rank = max(1, math.ceil(share * len(ordered)))
        return round(ordered[rank - 1] * 1000, 3)

    return Spread(rank_ms(0.5), rank_ms(0.99), rank_ms(1.0))
