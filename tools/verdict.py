"""Summarize a CI run: count passed and failed tests and checks.

Usage: python tools/verdict.py --junit FILE --test-exit N
       [--known-red FILE] [--tests DIRECTORY] [--part NAME=EXIT ...]

The last line is "N passed, N failed"; the exit code is 1 on any failure.
It only uses the standard library, so that it runs without installation.
"""

from __future__ import annotations

import argparse
import ast
import collections.abc
import dataclasses
import pathlib
import sys
import typing
from xml.etree import ElementTree

__all__ = (
    'KnownRed',
    'TestRun',
    'Verdict',
    'defined_tests',
    'evaluate',
    'main',
    'read_junit',
    'read_known_red',
)

_KNOWN_RED_FIELDS: typing.Final = 'test | command and seed | seen | issue'
_FAILURE_TAGS: typing.Final = ('error', 'failure')
_UNEXPECTED: typing.Final = 'test passes unexpectedly'


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that may fail, how to repeat it, and the issue number."""

    test: str
    command: str
    seen: str
    issue: int

    def __str__(self) -> str:
        return f'{self.test} | {self.command} | {self.seen} | {self.issue}'


@dataclasses.dataclass(frozen=True, slots=True)
class TestRun:
    """The tests that passed, failed and were skipped."""

    passed: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()
    skipped: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class Verdict:
    """The counts of a run and the notes to print."""

    passed: int = 0
    failed: int = 0
    notes: list[str] = dataclasses.field(default_factory=list)

    def fail(self, note: str) -> None:
        """Count a failure and add a note."""
        self.failed += 1
        self.notes.append(f'FAILED {note}')


def read_junit(path: pathlib.Path) -> TestRun:
    """Return the result of each test in a JUnit report."""
    passed: set[str] = set()
    failed: set[str] = set()
    skipped: set[str] = set()
    for case in ElementTree.parse(path).iter('testcase'):
        name = f'{case.get("classname")}.{case.get("name")}'
        # Subtests, named "test (arguments)", count for their test.
        name = name.partition(' ')[0]
        skip = case.find('skipped')
        if any(case.find(tag) is not None for tag in _FAILURE_TAGS):
            failed.add(name)
        elif skip is None:
            passed.add(name)
        elif skip.get('message') == _UNEXPECTED:
            failed.add(name)
        else:
            skipped.add(name)
    passed -= failed
    return TestRun(
        frozenset(passed),
        frozenset(failed),
        frozenset(skipped - failed - passed),
    )


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Return the listed tests; raise ValueError for a malformed line."""
    known_reds = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split('|')]
        if len(parts) != 4 or not all(parts) or not parts[3].isdecimal():
            raise ValueError(f'not "{_KNOWN_RED_FIELDS}": {line}')
        known_reds.append(KnownRed(*parts[:3], int(parts[3])))
    return tuple(known_reds)


def defined_tests(directory: pathlib.Path) -> frozenset[str]:
    """Return the full names of all test functions in a package."""
    names: set[str] = set()
    for path in directory.rglob('test_*.py'):
        module = path.relative_to(directory.parent).with_suffix('')
        tree = ast.parse(path.read_text('utf-8'), str(path))
        names.update(_test_names(tree, '.'.join(module.parts)))
    return frozenset(names)


def _test_names(node: ast.AST, prefix: str) -> collections.abc.Iterator[str]:
    for child in ast.iter_child_nodes(node):
        if not isinstance(
            child, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
        ):
            yield from _test_names(child, prefix)
            continue
        name = f'{prefix}.{child.name}'
        if not isinstance(child, ast.ClassDef) and child.name.startswith(
            'test_'
        ):
            yield name
        yield from _test_names(child, name)


def evaluate(
    run: TestRun,
    test_exit: int,
    known_reds: collections.abc.Sequence[KnownRed] = (),
    parts: collections.abc.Mapping[str, int] | None = None,
    defined: frozenset[str] = frozenset(),
) -> Verdict:
    """Return the verdict on the tests and the other parts of a run."""
    verdict = Verdict()
    for name, code in (parts or {}).items():
        if code:
            verdict.fail(f'{name} (exit code {code})')
        else:
            verdict.passed += 1
    _add_test_results(verdict, run, known_reds)
    for name in sorted(defined - run.passed - run.failed - run.skipped):
        verdict.fail(f'test {name} is defined but did not run')
    if not run.passed and not run.failed:
        verdict.fail('tests: no test ran')
    elif test_exit and not run.failed:
        # After a crash outside of tests the report contains no failure.
        verdict.fail(f'tests: exit code {test_exit}, no test to blame')
    elif run.failed and not test_exit:
        verdict.fail('tests: exit code 0 in spite of failed tests')
    return verdict


def _add_test_results(
    verdict: Verdict,
    run: TestRun,
    known_reds: collections.abc.Sequence[KnownRed],
) -> None:
    verdict.passed += len(run.passed)
    listed = {entry.test for entry in known_reds}
    for name in sorted(run.failed - listed):
        verdict.fail(f'test {name}')
    verdict.notes += [f'SKIPPED test {name}' for name in sorted(run.skipped)]
    for entry in known_reds:
        if entry.test in run.failed:
            verdict.notes.append(f'KNOWN RED {entry}')
        elif entry.test in run.passed:
            verdict.notes.append(
                f'PASSES NOW, take off the list: {entry.test}'
            )
        else:
            # Otherwise a deleted or renamed test would go unnoticed.
            verdict.fail(f'known red {entry.test} did not run')


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Print the verdict and return the exit code."""
    options = _options(arguments)
    faults = []
    run: TestRun = TestRun()
    known_reds: tuple[KnownRed, ...] = ()
    try:
        run = read_junit(options.junit)
    except (OSError, ElementTree.ParseError) as error:
        faults.append(f'test report: {error}')
    try:
        if options.known_red.exists():
            known_reds = read_known_red(options.known_red.read_text('utf-8'))
    except (OSError, ValueError) as error:
        faults.append(f'{options.known_red.name}: {error}')
    parts = dict(part.rsplit('=', 1) for part in options.part)
    codes = {name: int(code) for name, code in parts.items()}
    defined: frozenset[str] = frozenset()
    if options.tests is not None:
        defined = defined_tests(options.tests)
    verdict = evaluate(run, options.test_exit, known_reds, codes, defined)
    for text in faults:
        verdict.fail(text)
    print(*verdict.notes, sep='\n', end='\n' if verdict.notes else '')
    print(f'{verdict.passed} passed, {verdict.failed} failed')
    return int(verdict.failed > 0)


def _options(
    arguments: collections.abc.Sequence[str],
) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--junit', type=pathlib.Path, required=True)
    parser.add_argument('--test-exit', type=int, required=True)
    parser.add_argument(
        '--known-red', type=pathlib.Path, default='KNOWN-RED.txt'
    )
    parser.add_argument('--tests', type=pathlib.Path)
    parser.add_argument('--part', action='append', default=[])
    return parser.parse_args(arguments)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
