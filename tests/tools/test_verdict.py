"""Tests of the verdict on a check run."""

from __future__ import annotations

import contextlib
import io
import pathlib
import tempfile
import unittest

from tools import verdict

_REPORT = """<testsuite>
<testcase classname="t.A" name="good"/>
<testcase classname="t.A" name="bad"><failure/></testcase>
<testcase classname="t.A" name="sub (i=1.5)"><error/></testcase>
<testcase classname="t.A" name="sub"/>
<testcase classname="t.A" name="skip"><skipped message="later"/></testcase>
<testcase classname="t.A" name="odd">
<skipped message="test passes unexpectedly"/></testcase>
</testsuite>"""
_PASSING = '<testsuite><testcase classname="t.A" name="good"/></testsuite>'


class VerdictTest(unittest.TestCase):
    """Count results, and report every failure."""

    def _evaluate(
        self,
        report: str,
        known_red: str = '',
        test_exit: int = 0,
        lint: int = 0,
    ) -> tuple[int, list[str]]:
        with tempfile.TemporaryDirectory() as place:
            junit = pathlib.Path(place, 'junit.xml')
            junit.write_text(report)
            known = pathlib.Path(place, 'KNOWN-RED.txt')
            if known_red:
                known.write_text(known_red)
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                code = verdict.main(
                    [
                        f'--junit={junit}',
                        f'--known-red={known}',
                        f'--test-exit={test_exit}',
                        f'--part=lint={lint}',
                    ]
                )
        return code, out.getvalue().splitlines()

    def test_counts(self) -> None:
        code, lines = self._evaluate(_PASSING)
        self.assertEqual((code, lines), (0, ['2 passed, 0 failed']))
        code, lines = self._evaluate(_REPORT, test_exit=1, lint=1)
        self.assertEqual((code, lines[-1]), (1, '1 passed, 4 failed'))
        self.assertIn('FAILED test t.A.sub', lines)
        self.assertIn('SKIPPED test t.A.skip', lines)

    def test_known_red_is_printed_and_passed_over(self) -> None:
        known_red = ''.join(
            f't.A.{n} | command | seen | 1\n' for n in ('bad', 'sub', 'odd')
        )
        code, lines = self._evaluate(_REPORT, known_red, test_exit=1)
        self.assertEqual((code, lines[-1]), (0, '2 passed, 0 failed'))
        self.assertIn('KNOWN RED t.A.bad | command | seen | 1', lines)

    def test_nothing_hides_a_failure(self) -> None:
        for name, report, known_red, test_exit in (
            ('no test ran', '<testsuite/>', '', 0),
            ('broken report', '<testsuite>', '', 1),
            ('crash outside a test', _PASSING, '', 1),
            ('failures but exit code 0', _REPORT, 't.A.bad | c | s | 1', 0),
            ('listed test is gone', _PASSING, 't.A.gone | c | s | 1', 0),
            ('no issue', _PASSING, 't.A.good | c | s |', 0),
            ('issue is not a number', _PASSING, 't.A.good | c | s | i', 0),
            ('no command', _PASSING, 't.A.good | | s | 1', 0),
            ('three fields', _PASSING, 't.A.good | s | 1', 0),
            ('five fields', _PASSING, 't.A.good | c | s | t | 1', 0),
        ):
            with self.subTest(name):
                code, lines = self._evaluate(report, known_red, test_exit)
                self.assertEqual(code, 1)
                self.assertNotIn(', 0 failed', lines[-1])

    def test_test_that_never_runs_is_reported(self) -> None:
        """A test function outside of a test class is never run.

        A module-level function above it makes it a nested function.
        """
        source = (
            'class A:\n'
            '    def test_runs(self): pass\n'
            'def helper():\n'
            '    async def test_lost(self): pass\n'
        )
        with tempfile.TemporaryDirectory() as place:
            directory = pathlib.Path(place, 'tests')
            directory.mkdir()
            pathlib.Path(directory, 'test_a.py').write_text(source)
            defined = verdict.defined_tests(directory)
        names = {'tests.test_a.A.test_runs', 'tests.test_a.helper.test_lost'}
        self.assertEqual(names, defined)
        run = verdict.TestRun(passed=frozenset({'tests.test_a.A.test_runs'}))
        found = verdict.evaluate(run, 0, defined=defined)
        self.assertEqual(1, found.failed)
        self.assertIn('test_lost is defined but did not run', found.notes[0])
