"""The commands that play experiments in the model of a cell."""

from __future__ import annotations

import sys
import typing

import msgspec
import yaml

from walnutpoint_cli import exit_code

__all__ = ('execute',)


async def execute(
    path: str,
    wanted: tuple[str, ...],
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Play the wanted policies of a file, all of them for none."""
    # The model and its plots are only loaded where they are asked for.
    import anyio.to_thread  # noqa: PLC0415

    try:
        from walnutpoint_model import experiment  # noqa: PLC0415
        from walnutpoint_model import report  # noqa: PLC0415
    except ImportError as error:
        print(f'walnutpoint: the model is not installed: {error}',
              file=sys.stderr)  # fmt: skip
        return exit_code.ExitCode.USAGE
    try:
        read = experiment.read(path)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        print(f'walnutpoint: {path}: {error}', file=sys.stderr)
        return exit_code.ExitCode.USAGE
    unknown = set(wanted) - set(read.policies)
    if unknown:
        print(
            f'walnutpoint: {path} has no policy {", ".join(sorted(unknown))}',
            file=sys.stderr,
        )
        return exit_code.ExitCode.USAGE
    outcomes = []
    for policy in wanted or tuple(read.policies):
        for seed in read.seeds:
            # The model runs an event loop of its own.
            outcomes.append(
                await anyio.to_thread.run_sync(
                    experiment.play, read, policy, seed
                )
            )
    for line in report.table(outcomes):
        print(line, file=output)
    if plot is not None:
        report.plot(outcomes, plot)
    broken = any(outcome.violations for outcome in outcomes)
    return exit_code.ExitCode.REFUSED if broken else exit_code.ExitCode.DONE
