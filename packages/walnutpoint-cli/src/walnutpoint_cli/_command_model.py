"""The commands that simulate experiments in the model of a cell."""

from __future__ import annotations

import sys
import typing

import msgspec
import yaml

from walnutpoint_cli import exit_code

__all__ = ('execute',)


async def execute(
    path: str,
    policies: tuple[str, ...],
    plot: str | None,
    output: typing.TextIO,
) -> exit_code.ExitCode:
    """Simulate the given policies of a file, or all of them."""
    # Imported lazily: the model and its plots are optional dependencies.
    import anyio.to_thread  # noqa: PLC0415

    try:
        from walnutpoint_model import experiment  # noqa: PLC0415
        from walnutpoint_model import report  # noqa: PLC0415
    except ImportError as error:
        print(f'walnutpoint: the model is not installed: {error}',
              file=sys.stderr)  # fmt: skip
        return exit_code.ExitCode.USAGE
    try:
        loaded = experiment.read(path)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        print(f'walnutpoint: {path}: {error}', file=sys.stderr)
        return exit_code.ExitCode.USAGE
    unknown = set(policies) - set(loaded.policies)
    if unknown:
        print(
            f'walnutpoint: {path} has no policy {", ".join(sorted(unknown))}',
            file=sys.stderr,
        )
        return exit_code.ExitCode.USAGE
    outcomes = []
    for policy in policies or tuple(loaded.policies):
        for seed in loaded.seeds:
            # The model runs an event loop of its own.
            outcomes.append(
                await anyio.to_thread.run_sync(
                    experiment.simulate, loaded, policy, seed
                )
            )
    for line in report.table(outcomes):
        print(line, file=output)
    if plot is not None:
        report.plot(outcomes, plot)
    has_violations = any(outcome.violations for outcome in outcomes)
    return (
        exit_code.ExitCode.REFUSED
        if has_violations
        else exit_code.ExitCode.DONE
    )
