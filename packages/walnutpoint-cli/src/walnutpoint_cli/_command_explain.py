"""The command that explains a job from log files."""

from __future__ import annotations

import sys
import typing

from walnutpoint_cli import _log_files
from walnutpoint_cli import _timeline
from walnutpoint_cli import exit_code

__all__ = ('execute',)

_BACKLOG_TOO_LONG: typing.Final = 'backlog_too_long'


async def execute(
    job_id: str, files: tuple[str, ...], output: typing.TextIO
) -> exit_code.ExitCode:
    """Print the timeline of a job and the decision that ended it."""
    try:
        lines = _log_files.LogFiles(files).lines()
        timeline = _timeline.build_timeline(lines, job_id)
    except OSError as error:
        print(f'walnutpoint: {error}', file=sys.stderr)
        return exit_code.ExitCode.USAGE
    if not timeline.job_lines:
        print(f'no line names {job_id}', file=output)
        return exit_code.ExitCode.REFUSED
    job_lines = set(map(id, timeline.job_lines))
    begin_s = timeline.job_lines[0].time_s
    for line in sorted(
        {
            id(each): each
            for each in (*timeline.job_lines, *timeline.context_lines)
        }.values(),
        key=lambda each: each.time_s,
    ):
        mark = ' ' if id(line) in job_lines else '~'
        print(
            f'{line.time_s - begin_s:+9.3f} s {mark} {line.source:<24} '
            f'{line.event:<20} {line.text()}',
            file=output,
        )
    _print_verdict(timeline, output)
    return exit_code.ExitCode.DONE


def _print_verdict(
    timeline: _timeline.Timeline, output: typing.TextIO
) -> None:
    if timeline.delayed_line is not None:
        print(
            f'longest wait: {timeline.longest_wait_s:.3f} s before '
            f'{timeline.delayed_line.event} on {timeline.delayed_line.source}',
            file=output,
        )
    if timeline.decision is None:
        print('undecided: no line ends the job', file=output)
        return
    print(
        f'decided by: {timeline.decision.event} on '
        f'{timeline.decision.source}: {timeline.decision.text()}',
        file=output,
    )
    if timeline.decision.fields.get('kind') == _BACKLOG_TOO_LONG:
        print(_backlog_text(timeline.decision), file=output)


def _backlog_text(line: _timeline.LogLine) -> str:
    """Return why a job was refused for the work that waited."""
    rate = line.number('rate')
    ahead_s = line.number('ahead_pool_s')
    return (
        f'refused for the backlog: {line.number("ahead_jobs"):.0f} jobs of '
        f'{ahead_s:.1f} s of the pool go first, {rate:.2f} s of which are '
        f'done per second (measured {line.number("age_s"):.1f} s before); '
        f'with a chain of {line.number("chain_s"):.1f} s it would end after '
        f'{line.number("end_s"):.1f} s or later, and is useful for '
        f'{line.number("useful_s"):.1f} s'
    )
