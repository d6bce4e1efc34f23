"""Tests of timelines and the explain command on log files."""

from __future__ import annotations

import io
import pathlib
import tempfile
import unittest

import anyio

from walnutpoint_cli import _command_explain
from walnutpoint_cli import _timeline

LINES_A = """\
timestamp=2026-01-01T10:00:00.000000Z level=info event=job.accepted \
part=submission job=aa queue=urgent revision=7
not a log line
timestamp=2026-01-01T10:00:00.500000Z level=warning event=store.lost \
part=store kind=store_unavailable detail="no answer"
timestamp=2026-01-01T10:00:09.000000Z level=warning event=store.lost \
part=store kind=store_unavailable detail=later
"""
LINES_B = """\
timestamp=2026-01-01T10:00:00.010000Z level=info event=run.placed \
part=placer run=aa.0.0.1#1 worker=w1 free_millicores=5 token=3
timestamp=2026-01-01T10:00:00.020000Z level=info event=run.placed \
part=placer run=bb.0.0.1#1 worker=w1 free_millicores=5 token=3
timestamp=2026-01-01T10:00:03.020000Z level=info event=run.ended \
part=ends run=aa.0.0.1#1 worker=w1 how=done number=1
timestamp=2026-01-01T10:00:03.030000Z level=info event=job.concluded \
part=ends job=aa queue=urgent state=done after_ms=3030
"""


def _lines() -> list[_timeline.LogLine]:
    lines = []
    for source, text in (('a', LINES_A), ('b', LINES_B)):
        for row in text.splitlines():
            line = _timeline.parse_line(row, source)
            if line is not None:
                lines.append(line)
    return lines


class CourseTest(unittest.TestCase):
    """Build a timeline from the lines of several hosts."""

    def test_only_lines_of_the_job_are_included(self) -> None:
        timeline = _timeline.build_timeline(_lines(), 'aa')
        self.assertEqual(
            ['job.accepted', 'run.placed', 'run.ended', 'job.concluded'],
            [line.event for line in timeline.job_lines],
        )

    def test_given_up_task_is_the_decision(self) -> None:
        """The given-up task explains the failure better than the job's end."""
        task_lines = [
            _timeline.parse_line(row, 'b')
            for row in (
                'timestamp=2026-01-01T10:00:03.000000Z level=warning '
                'event=task.given_up part=ends task=aa.0.0.1 queue=urgent '
                'workers=w1,w2 attempt=2',
                'timestamp=2026-01-01T10:00:02.000000Z level=info '
                'event=task.suspected part=suspects task=aa.0.0.1 worker=w2 '
                'losses=2 odds=2000.0',
            )
        ]
        timeline = _timeline.build_timeline([*_lines(), *task_lines], 'aa')
        self.assertEqual('task.given_up', timeline.decision.event)
        self.assertIn(
            'task.suspected', [line.event for line in timeline.job_lines]
        )

    def test_only_related_lines_are_context(self) -> None:
        timeline = _timeline.build_timeline(_lines(), 'aa')
        self.assertEqual(
            ['no answer'],
            [line.fields['detail'] for line in timeline.context_lines],
        )

    def test_full_read_of_the_intake_is_context(self) -> None:
        """Guards against a late cancel without its cause."""
        resync = _timeline.parse_line(
            'timestamp=2026-01-01T10:00:00.500000Z level=info '
            'event=intake.resynced part=intake cause=compacted changed=3',
            'a',
        )
        assert resync is not None
        timeline = _timeline.build_timeline([*_lines(), resync], 'aa')
        self.assertIn(
            'intake.resynced', [line.event for line in timeline.context_lines]
        )

    def test_longest_wait_and_decision(self) -> None:
        timeline = _timeline.build_timeline(_lines(), 'aa')
        self.assertAlmostEqual(3.01, timeline.longest_wait_s, places=3)
        assert timeline.delayed_line is not None
        assert timeline.decision is not None
        self.assertEqual('run.ended', timeline.delayed_line.event)
        self.assertEqual('done', timeline.decision.fields['state'])

    def test_collector_prefix_sets_time_and_host(self) -> None:
        line = _timeline.parse_line(
            '  12.5000 host-1 timestamp=2026-01-01T10:00:00Z level=info '
            'event=job.seen job=aa',
            'file',
        )
        assert line is not None
        self.assertEqual(('host-1', 12.5), (line.source, line.time_s))

    def test_refusal_for_the_backlog_is_explained(self) -> None:
        """Guards against a refusal that shows no cause."""
        row = (
            'timestamp=2026-01-01T10:00:00Z level=warning event=job.refused '
            'part=submission job=aa kind=backlog_too_long chain_s=7.6 '
            'ahead_jobs=90 ahead_pool_s=41.2 rate=0.6 age_s=0.4 end_s=68.3 '
            'useful_s=53.8\n'
        )
        output = io.StringIO()
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, 'a.log')
            path.write_text(row)
            anyio.run(_command_explain.execute, 'aa', (str(path),), output)
        self.assertIn('90 jobs of 41.2 s of the pool', output.getvalue())

    def test_command_reads_files_and_reports_unknown_jobs(
        self,
    ) -> None:
        with tempfile.TemporaryDirectory() as directory:
            files = []
            for name, text in (('a', LINES_A), ('b', LINES_B)):
                path = pathlib.Path(directory, f'{name}.log')
                path.write_text(text)
                files.append(str(path))
            output = io.StringIO()
            code = anyio.run(
                _command_explain.execute, 'aa', tuple(files), output
            )
            self.assertEqual(0, code)
            self.assertIn('decided by: job.concluded on b', output.getvalue())
            code = anyio.run(
                _command_explain.execute, 'zz', tuple(files), output
            )
            self.assertEqual(1, code)
