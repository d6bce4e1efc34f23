"""Tables and plots of the results of experiments."""

from __future__ import annotations

import collections.abc
import statistics
import typing

import matplotlib

matplotlib.use('Agg')
from matplotlib import pyplot  # noqa: E402

from walnutpoint_model import experiment  # noqa: E402

__all__ = (
    'plot',
    'table',
)

_QUANTILES: typing.Final = (50.0, 90.0, 99.0, 99.9)


def table(
    outcomes: collections.abc.Sequence[experiment.Outcome],
) -> list[str]:
    """Return a line for each policy, the best first."""
    rows = []
    for policy in sorted({o.policy for o in outcomes}):
        runs = [o for o in outcomes if o.policy == policy]
        worths = [o.worth for o in runs]
        spread = max(worths) - min(worths)
        parts = [
            f'{policy:<16} worth {statistics.mean(worths):.3f} '
            f'(spread {spread:.3f} over {len(runs)} seeds), '
            f'{statistics.mean(o.worth / o.bound for o in runs):.1%} of the '
            'bound'
        ]
        for name in runs[0].jobs:
            share = statistics.mean(o.in_objective[name] for o in runs)
            times = [o.times_ms[name] for o in runs]
            median = statistics.mean(
                t.get_value_at_percentile(50.0) for t in times
            )
            tail = statistics.mean(
                t.get_value_at_percentile(99.0) for t in times
            )
            parts.append(
                f'{name}: {share:.1%} in objective, median {median:.0f} ms, '
                f'p99 {tail:.0f} ms'
            )
        if runs[0].worth_by_account:
            worst = statistics.mean(o.worst_accounts_worth for o in runs)
            parts.append(f'worst tenth of accounts {worst:.3f}')
        violations = sum(len(o.violations) for o in runs)
        parts.append(f'{violations} violations')
        rows.append((-statistics.mean(worths), '; '.join(parts)))
    return [text for _, text in sorted(rows)]


def plot(
    outcomes: collections.abc.Sequence[experiment.Outcome], path: str
) -> None:
    """Plot percentiles of the time to the end, one panel per class."""
    names = list(outcomes[0].jobs)
    figure, axes = pyplot.subplots(
        1, len(names), figsize=(5 * len(names), 4), squeeze=False
    )
    for axis, name in zip(axes[0], names, strict=True):
        for policy in sorted({o.policy for o in outcomes}):
            runs = [o for o in outcomes if o.policy == policy]
            values = [
                statistics.mean(
                    o.times_ms[name].get_value_at_percentile(q) for o in runs
                )
                for q in _QUANTILES
            ]
            axis.plot(range(len(_QUANTILES)), values, marker='o', label=policy)
        axis.set_title(name)
        axis.set_xticks(range(len(_QUANTILES)), map(str, _QUANTILES))
        axis.set_xlabel('percentile')
        axis.set_ylabel('time to the end, ms')
        axis.set_yscale('log')
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
