"""Compare the orders of jobs on a pool that is too small for a while.

Prints a row for each load, error of the declared times and order: the shares
of jobs in time, late and useless, their mean worth, the useful shares of the
largest tenth, the fifth below it and the rest, and the worth for the worst
tenth of accounts.
"""

from __future__ import annotations

import collections.abc
import statistics
import typing

from bench import slot_pool

SEEDS = range(6)
LOADS = (
    (1.3, 5.0, 0.0),
    (1.3, 30.0, 0.0),
    (2.0, 5.0, 0.0),
    (2.0, 15.0, 0.0),
    (2.0, 30.0, 0.0),
    (2.0, 30.0, 1.0),
    (2.0, 30.0, -1.0),
    (2.0, 60.0, 0.0),
)
ORDERS: dict[str, collections.abc.Callable[[], slot_pool.Order]] = {
    'deadline': lambda: slot_pool.by_deadline,
    'least work': lambda: slot_pool.by_work,
    'served set': slot_pool.ServedSet,
    'set, no shares': lambda: slot_pool.ServedSet(fair_shares=False),
}


def measure(name: str, load: float, burst_s: float, error: float) -> None:
    """Print one row."""
    runs = [
        slot_pool.serve(
            slot_pool.jobs_of(seed, load, burst_s, error), ORDERS[name]()
        )
        for seed in SEEDS
    ]

    def mean(figure: typing.Callable[[list[slot_pool.Job]], float]) -> float:
        return statistics.mean(map(figure, runs))

    in_time, useful = mean(slot_pool.in_time), mean(slot_pool.useful)
    sizes = zip(*map(slot_pool.large_share, runs), strict=True)
    print(
        f'| {load} for {burst_s:.0f} s | {1.9**error:.1f} | {name} '
        f'| {in_time:.2f} / {useful - in_time:.2f} / {1 - useful:.2f} '
        f'| {mean(slot_pool.value):.3f} '
        f'| {" / ".join(f"{statistics.mean(x):.2f}" for x in sizes)} '
        f'| {mean(slot_pool.worst_tenth):.2f} |'
    )


def main() -> None:
    """Measure every order at every load."""
    for load, burst_s, error in LOADS:
        for name in ORDERS:
            measure(name, load, burst_s, error)


if __name__ == '__main__':
    main()
