"""Command-line runner that simulates seeds and prints a line for each."""

from __future__ import annotations

import argparse
import collections.abc
import typing

__all__ = (
    'SeedResult',
    'run',
)


class SeedResult(typing.Protocol):
    """Result of one seed."""

    actions: list[str]
    # Violated invariants.
    violations: list[str]


_SeedResultT = typing.TypeVar('_SeedResultT', bound=SeedResult)


def run(
    description: str | None,
    defaults: collections.abc.Mapping[str, float],
    simulate: collections.abc.Callable[
        [int, argparse.Namespace], _SeedResultT
    ],
    summarize: collections.abc.Callable[[_SeedResultT], str],
) -> int:
    """Simulate the seeds of the arguments; return 1 on a violation.

    The defaults give the options' names and types.
    """
    parser = argparse.ArgumentParser(description=description)
    for name, value in defaults.items():
        parser.add_argument(f'--{name}', type=type(value), default=value)
    options = parser.parse_args()
    failed_count = 0
    for seed in range(options.first, options.first + options.seeds):
        result = simulate(seed, options)
        verdict = '; '.join(result.violations) or 'kept'
        print(f'seed {seed}: {summarize(result)}: {verdict}', flush=True)
        if result.violations:
            failed_count += 1
            print('  ' + ', '.join(result.actions), flush=True)
    return 1 if failed_count else 0
