"""The program of a soak: seeds are played in turn, and told in a line each."""

from __future__ import annotations

import argparse
import collections.abc
import typing

__all__ = (
    'Played',
    'run',
)


class Played(typing.Protocol):
    """What one seed showed."""

    actions: list[str]
    # What was promised and not kept.
    faults: list[str]


_PlayedT = typing.TypeVar('_PlayedT', bound=Played)


def run(
    description: str | None,
    defaults: collections.abc.Mapping[str, float],
    play: collections.abc.Callable[[int, argparse.Namespace], _PlayedT],
    tell: collections.abc.Callable[[_PlayedT], str],
) -> int:
    """Play the seeds that the arguments name; 1 where a promise broke.

    The defaults name the options, and their kinds: whole numbers or not.
    """
    parser = argparse.ArgumentParser(description=description)
    for name, value in defaults.items():
        parser.add_argument(f'--{name}', type=type(value), default=value)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        played = play(seed, options)
        said = '; '.join(played.faults) or 'kept'
        print(f'seed {seed}: {tell(played)}: {said}', flush=True)
        if played.faults:
            broken += 1
            print('  ' + ', '.join(played.actions), flush=True)
    return 1 if broken else 0
