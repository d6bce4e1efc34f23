"""The command that explains a job from log files."""

from __future__ import annotations

import sys
import typing

from walnutpoint_cli import _course
from walnutpoint_cli import _log_files
from walnutpoint_cli import exit_code

__all__ = ('execute',)


async def execute(
    job_id: str, files: tuple[str, ...], output: typing.TextIO
) -> exit_code.ExitCode:
    """Print the timeline of a job, and the decision that ended it."""
    try:
        lines = _log_files.LogFiles(files).lines()
        course = _course.rebuild(lines, job_id)
    except OSError as error:
        print(f'walnutpoint: {error}', file=sys.stderr)
        return exit_code.ExitCode.USAGE
    if not course.own:
        print(f'no line names {job_id}', file=output)
        return exit_code.ExitCode.REFUSED
    own = set(map(id, course.own))
    begin_s = course.own[0].time_s
    for line in sorted(
        {id(each): each for each in (*course.own, *course.around)}.values(),
        key=lambda each: each.time_s,
    ):
        mark = ' ' if id(line) in own else '~'
        print(
            f'{line.time_s - begin_s:+9.3f} s {mark} {line.source:<24} '
            f'{line.event:<20} {line.text()}',
            file=output,
        )
    _print_verdict(course, output)
    return exit_code.ExitCode.DONE


def _print_verdict(course: _course.Course, output: typing.TextIO) -> None:
    if course.waited_for is not None:
        print(
            f'longest wait: {course.longest_wait_s:.3f} s before '
            f'{course.waited_for.event} on {course.waited_for.source}',
            file=output,
        )
    if course.decisive is None:
        print('undecided: no line ends the job', file=output)
        return
    print(
        f'decided by: {course.decisive.event} on {course.decisive.source}: '
        f'{course.decisive.text()}',
        file=output,
    )
