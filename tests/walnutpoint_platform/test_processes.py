"""Tests of a cluster of real processes on loopback."""

from __future__ import annotations

import http.client
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from walnutpoint_standins import site


class ProcessesTest(unittest.TestCase):
    """Each job runs once, whatever happens to the scheduler."""

    def setUp(self) -> None:
        self.site = site.Site()
        self.addCleanup(self.site.close)

    def _submit(self, first: int, count: int) -> list[str]:
        ids = [f'{first + n:016x}' for n in range(count)]
        for number, job_id in enumerate(ids):
            live = sorted(self.site.processes)
            for attempt in range(40):
                entry = live[(number + attempt) % len(live)]
                if self.site.submit(entry, job_id) == 200:
                    break
                time.sleep(0.1)
            else:
                raise AssertionError(f'{job_id} was never accepted')
        return ids

    def _wait_done(self, ids: list[str]) -> None:
        entry = min(self.site.processes)
        for job_id in ids:
            self.site.wait(
                lambda job_id=job_id: self.site.state(entry, job_id) == 'done'
            )
        ledger = self.site.ledger()
        assert ledger is not None
        self.assertEqual([], ledger['violations'])

    def test_jobs_complete_without_faults(self) -> None:
        ids = self._submit(1, 8)
        self._wait_done(ids)
        again = self.site.submit(0, ids[0])
        self.assertEqual(200, again)
        self.assertEqual('410', self.site.state(0, 'f' * 16))

    def test_killed_scheduler_loses_no_jobs(self) -> None:
        """Guards against losing jobs when the scheduler is killed.

        Another process must take over and adopt the running tasks.
        """
        ids = self._submit(1, 6)
        self.site.kill(self.site.scheduler())
        ids += self._submit(100, 6)
        self._wait_done(ids)

    def test_paused_scheduler_is_replaced_and_harmless(self) -> None:
        """Guards against a paused scheduler that runs tasks twice.

        The scheduler is paused by SIGSTOP and resumes seconds later, after
        another process has taken over.
        """
        ids = self._submit(1, 4)
        paused = self.site.scheduler()
        self.site.signal(paused, signal.SIGSTOP)
        others = [n for n in self.site.processes if n != paused]
        job_id = 'a' * 16
        self.site.wait(lambda: self.site.submit(others[0], job_id) == 200)
        self.site.wait(lambda: self.site.state(others[0], job_id) == 'done')
        self.site.signal(paused, signal.SIGCONT)
        ids += [job_id, *self._submit(200, 4)]
        self._wait_done(ids)

    def test_jobs_survive_the_kill_of_all_processes(self) -> None:
        """Guards against losing jobs when all processes are killed."""
        ids = self._submit(1, 5)
        for number in list(self.site.processes):
            self.site.kill(number)
        for number in range(self.site.count):
            self.site.start(number)
        self.site.wait(lambda: self.site.ready(0))
        self._wait_done(ids)

    def test_refused_job_never_runs(self) -> None:
        """Guards against running a refused job and its resubmission.

        The store refuses all calls; the job must be refused at once and stay
        unknown after the outage.
        """
        self.site.fault('refuses')
        time.sleep(1)
        job_id = 'b' * 16
        began_s = time.monotonic()
        self.assertEqual(503, self.site.submit(0, job_id))
        self.assertLess(time.monotonic() - began_s, 1.0)
        self.site.fault('none')
        self._wait_done(self._submit(1, 2))
        self.assertEqual('410', self.site.state(0, job_id))

    def test_lossy_links_cause_no_takeover(self) -> None:
        """Guards against needless takeovers in a lossy network.

        All links to the store lose a tenth of their segments in both
        directions: some calls take 0.2 s, 0.6 s or longer, but the process
        of the scheduler answers probes.
        """
        self._submit(1, 2)
        scheduler = self.site.scheduler()
        for number in range(self.site.count):
            self.site.break_link(number, 'lossy')
        ids = self._submit(10, 60)
        self._wait_done(ids)
        ledger = self.site.ledger()
        assert ledger is not None
        self.assertGreater(ledger['segments_lost'], 20)
        won = [
            line
            for number in range(self.site.count)
            for line in self.site.log(number).splitlines()
            if 'event=scheduler.won' in line
        ]
        self.assertEqual(1, len(won), won)
        self.assertEqual(scheduler, self.site.scheduler())

    def test_planned_stop_hands_over(self) -> None:
        """Guards against a planned stop that loses jobs or fails."""
        ids = self._submit(1, 4)
        self.assertEqual(0, self.site.terminate(self.site.scheduler()))
        ids += self._submit(50, 4)
        self._wait_done(ids)

    def test_planned_stop_tells_clients_to_close_connections(self) -> None:
        """Guards against closing a connection that a client may use.

        A request that is sent while the server closes its connection gets
        no answer. Each connection ends with a response that says so.
        """
        port = self.site.front(0)
        path = f'/urgent/{1:016x}'
        connections: list[dict[int, http.client.HTTPConnection]] = [
            {} for _ in range(20)
        ]
        for kept in connections:
            self.site.call(port, 'GET', path, kept=kept)
        stop = threading.Thread(target=self.site.terminate, args=(0,))
        stop.start()
        while any(connections):
            for kept in filter(None, connections):
                status, _ = self.site.call(port, 'GET', path, kept=kept)
                self.assertNotEqual(0, status)
        stop.join()

    def test_reload_signal_keeps_processes_running(self) -> None:
        """Guards against SIGHUP ending a process instead of reloading."""
        ids = self._submit(1, 2)
        for number in self.site.processes:
            self.site.signal(number, signal.SIGHUP)
        ids += self._submit(20, 2)
        self._wait_done(ids)
        self.assertIn('event=settings.reloaded', self.site.log(0))

    def test_signals_during_the_start_are_no_crash(self) -> None:
        """Guards against a signal during imports that ends a process.

        The imports take 0.1 s; without early handlers, SIGTERM and SIGHUP
        have their default actions in that time.
        """
        ended = self._start_with_uvloop(
            'import signal\n'
            'print(signal.getsignal(signal.SIGHUP).name)\n'
            'signal.raise_signal(signal.SIGHUP)\n'
            'signal.raise_signal(signal.SIGTERM)\n'
        )
        self.assertEqual(
            (0, 'SIG_IGN'), (ended.returncode, ended.stdout.strip())
        )

    def test_stop_during_the_start_is_never_lost(self) -> None:
        """Guards against losing a SIGTERM during a finalizer."""
        ended = self._start_with_uvloop(
            'import signal\n'
            'class Finalized:\n'
            '    def __del__(self):\n'
            '        signal.raise_signal(signal.SIGTERM)\n'
            'Finalized()\n'
            'print("runs on")\n',
            '--check',
        )
        self.assertEqual((0, ''), (ended.returncode, ended.stdout))

    def _start_with_uvloop(
        self, uvloop_source: str, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Start a process with a module in place of uvloop."""
        with tempfile.TemporaryDirectory() as folder:
            pathlib.Path(folder, 'uvloop.py').write_text(uvloop_source)
            return subprocess.run(
                [sys.executable, '-m', 'walnutpoint_platform', *arguments],
                env=os.environ | {'PYTHONPATH': folder},
                capture_output=True,
                text=True,
                check=False,
            )

    def test_invalid_jobs_are_refused(self) -> None:
        """Guards against storing an invalid job, or a wrong status."""
        front = self.site.front(0)
        invalid = (
            ('/urgent/' + '1' * 16, 'no json', 400),
            ('/urgent/' + '1' * 16, '{"spec":"x","steps":[]}', 400),
            (
                '/urgent/' + '1' * 16,
                '{"spec":"x","steps":[{"count":1,"after":[0]}]}',
                400,
            ),
            ('/urgent/short', '{"spec":"x","steps":[{"count":1}]}', 400),
            ('/nowhere/' + '1' * 16, '{}', 404),
        )
        for path, body, status in invalid:
            self.assertEqual(
                status, self.site.call(front, 'POST', path, body)[0], path
            )
        self.assertEqual('410', self.site.state(0, '1' * 16))
