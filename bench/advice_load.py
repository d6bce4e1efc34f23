"""Print why capacity is idle while wide steps wait for advice.

Fields of the load are given as name=value, and policies to disable as off.
"""

from __future__ import annotations

import ast
import sys
import time
import typing

from tests.walnutpoint_scheduler.advice import load as loads
from walnutpoint_scheduler import settings


def main(arguments: list[str]) -> None:
    """Measure one load, and print the split."""
    fields: dict[str, typing.Any] = {}
    changes: dict[str, typing.Any] = {}
    for argument in arguments:
        name, _, value = argument.partition('=')
        if name == 'off':
            changes['policies'] = settings.Policies(
                **dict.fromkeys(value.split(','), False)
            )
        else:
            fields[name] = ast.literal_eval(value)
    began_s = time.perf_counter()
    measured = loads.Measurement(loads.Load(**fields), **changes).run()
    causes = [cause for cause in measured.idle if cause != 'packing']
    print('idle', {c: round(measured.share(c), 3) for c in measured.idle})
    print('idle that fits', round(measured.share(*causes), 4))
    print(
        'tasks waiting by cause',
        {k: round(v / measured.samples) for k, v in measured.waiting.items()},
    )
    hosts, ledger = measured.hosts, measured.bed.fleet.ledger
    waits_s = sorted(measured.urgent_waits_s) or [0.0]
    print(
        'requests', hosts.requests,
        'hosts busy', round(hosts.busy_s / measured.load.until_s, 1),
        'tasks done', len(ledger.done),
        'violations', len(ledger.violations),
        'urgent wait, median and 95%',
        round(waits_s[len(waits_s) // 2], 3),
        round(waits_s[len(waits_s) * 19 // 20], 3),
    )  # fmt: skip
    print('took', round(time.perf_counter() - began_s, 1))


if __name__ == '__main__':
    main(sys.argv[1:])
