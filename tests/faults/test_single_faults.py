"""Tests of single faults with real processes."""

from __future__ import annotations

import asyncio
import signal
import time
import typing
import unittest

import httpx

from tests.faults import cluster as clusters
from tests.faults import load as loads
from tests.faults import scenarios

_KIND = loads.Kind
# 1.5 times the product's goal, for runs on a loaded machine.
_TAKEOVER_MAX_S: typing.Final = 1.5 * 2.7


class AnswerTest(unittest.TestCase):
    """Replies to clients are correct."""

    def test_run_with_lost_answer_is_never_called_not_run(self) -> None:
        """A request that ran gets the outcome not-run.

        Its first attempt runs and the answer is lost. The endpoint leaves
        and refuses the second attempt with not-run; the outcome of the
        request is unknown.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            (endpoint,) = cluster.worker.endpoints.values()
            endpoint.set_own_faults({'lose_answers': 1})
            call = asyncio.create_task(
                load.send(_KIND.IDEMPOTENT, 0, 'lost', run_s=0.2)
            )
            while not cluster.running_requests:
                await asyncio.sleep(0.01)
            endpoint.set_own_faults({'leaving': True})
            reply = await call
            self.assertEqual(1, cluster.worker.tags['lost'])
            self.assertEqual('unknown', reply.outcome, str(reply))

        scenarios.run(scenario, entries=1, endpoints=1, slots=1)

    def test_request_without_endpoints_is_refused_at_once(self) -> None:
        """A request waits until its deadline though no host is listed.

        No slot can become free, so it must be refused at once.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            reply = await load.send(_KIND.PLAIN, 0, 'none', deadline_s=3.0)
            self.assertEqual('no_endpoints', reply.error, str(reply))
            self.assertLess(reply.elapsed_s, 1.5)

        scenarios.run(scenario, endpoints=0)

    def test_teams_may_choose_the_same_key(self) -> None:
        """A client gets the answer to a request of another team.

        Two teams send different requests with the same key.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            for team in ('team-a', 'team-b'):
                reply = await load.send(
                    _KIND.FOREIGN,
                    0,
                    team,
                    key='same',
                    body=team.encode(),
                    team=team,
                )
                self.assertEqual('done', reply.outcome, str(reply))
                self.assertTrue(reply.is_own_answer)

        scenarios.run(scenario)


class StopTest(unittest.TestCase):
    """Planned stops exit with status zero."""

    def test_all_members_stop_at_once(self) -> None:
        """A shutdown of the whole cluster hangs, or prevents a restart.

        No process remains for a handover, so none may wait for one. New
        processes at the same addresses must take over from the old table.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            for entry in cluster.entries:
                entry.send_signal(signal.SIGTERM)
            for entry in cluster.entries:
                self.assertEqual(0, await entry.wait_stopped())
            for entry in cluster.entries:
                await entry.start()
            await cluster.wait_ready()
            for index in range(3):
                reply = await load.send(_KIND.PLAIN, index, f'new-{index}')
                self.assertEqual('done', reply.outcome, str(reply))

        scenarios.run(scenario)

    def test_idle_connections_do_not_delay_a_stop(self) -> None:
        """A stop waits for an idle client connection.

        The HTTP server must close idle connections at once.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            entry = cluster.entries[0]
            reader, writer = await asyncio.open_connection(entry.host, 8080)
            await load.send(_KIND.PLAIN, 0, 'idle')
            start_s = time.monotonic()
            entry.send_signal(signal.SIGTERM)
            self.assertEqual(0, await entry.wait_stopped())
            self.assertLess(time.monotonic() - start_s, 6.0)
            self.assertEqual(b'', await reader.read())
            writer.close()

        scenarios.run(scenario)

    def test_second_signal_stops_at_once(self) -> None:
        """A second SIGTERM waits for a running request."""

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            call = asyncio.create_task(
                load.send(_KIND.PLAIN, 0, 'long', run_s=2.9)
            )
            while not cluster.running_requests:
                await asyncio.sleep(0.01)
            entry = cluster.entries[0]
            start_s = time.monotonic()
            entry.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            entry.send_signal(signal.SIGTERM)
            self.assertEqual(1, await entry.wait_stopped())
            self.assertLess(time.monotonic() - start_s, 1.5)
            await call
            self.assertEqual([], cluster.tracebacks())

        scenarios.run(scenario)


class OwnerTest(unittest.TestCase):
    """Killed or paused owners, and leaving endpoints."""

    def test_service_resumes_after_a_kill(self) -> None:
        """Slots of a killed owner stay unused for too long.

        Its peers must challenge it in the store, take over its endpoints
        and ask the workers what still runs.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            await load.send_each()
            start_s = time.monotonic()
            await cluster.entries[0].kill()
            await cluster.wait_slots_free((1, 2), 12)
            elapsed_s = time.monotonic() - start_s
            self.assertLess(elapsed_s, _TAKEOVER_MAX_S)

        scenarios.run(scenario)

    def test_new_keys_work_after_a_kill(self) -> None:
        """New keys are refused, or old ones accepted, after a kill.

        The home of a key dies with its memory. Requests with an old key may
        have run already; those with keys of the next home can't have.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            old = await load.mint(0)
            await cluster.entries[0].kill()
            load.faulted_entries.add(0)
            reply = await load.send(_KIND.MINTED, 1, 'old', key=old)
            self.assertEqual('unknown', reply.outcome, str(reply))
            await cluster.wait_slots_free((1, 2), 12)
            reply = await load.send(_KIND.MINTED, 1, 'again', key=old)
            self.assertEqual('key_blind', reply.error, str(reply))
            for entry in (1, 2):
                key = await load.mint(entry)
                reply = await load.send(
                    _KIND.MINTED, 3 - entry, f'new-{entry}', key=key
                )
                self.assertEqual('done', reply.outcome, str(reply))

        scenarios.run(scenario)

    def test_short_pause_of_a_peer_interrupts_no_call(self) -> None:
        """A short pause of a peer interrupts the requests spilled to it.

        The pause of 0.8 s is too short for a takeover.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            calls = [
                asyncio.create_task(
                    load.send(_KIND.PLAIN, 0, f'pause-{number}', run_s=0.5)
                )
                for number in range(12)
            ]
            while cluster.running_requests < 12:
                await asyncio.sleep(0.01)
            cluster.entries[1].send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.8)
            cluster.entries[1].send_signal(signal.SIGCONT)
            for call in calls:
                reply = await call
                self.assertEqual('done', reply.outcome, str(reply))

        scenarios.run(scenario)

    def test_leaving_endpoint_gets_nothing_new(self) -> None:
        """A request starts on an endpoint that is listed as leaving."""

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            shape = loads.Shape(clients=8, run_s=0.01)
            load_task = asyncio.create_task(load.run(shape))
            await asyncio.sleep(0.5)
            cluster.list_hosts(frozenset({cluster.addresses[0]}))
            await asyncio.sleep(2.0)
            stats = next(iter(cluster.worker.endpoints.values())).stats
            runs = stats.runs
            await asyncio.sleep(1.0)
            load.stop()
            await load_task
            self.assertEqual(runs, stats.runs)
            self.assertGreater(load.outcomes()['done'], 50)

        scenarios.run(scenario)

    def test_paused_owner_that_resumes_writes_nothing(self) -> None:
        """A resumed owner uses endpoints that it has lost.

        The process is frozen until others own its endpoints and resumes
        with its old table, which it must refresh before any write.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            shape = loads.Shape(clients=16, run_s=0.05)
            load_task = asyncio.create_task(load.run(shape))
            await asyncio.sleep(0.3)
            load.faulted_entries.add(0)
            cluster.entries[0].send_signal(signal.SIGSTOP)
            await asyncio.sleep(3.5)
            cluster.entries[0].send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            load.stop()
            await load_task
            for endpoint in cluster.worker.endpoints.values():
                self.assertEqual(0, endpoint.stats.over_capacity)
                # The worker saw no epoch decrease.
                self.assertEqual(0, endpoint.stats.fenced)

        scenarios.run(scenario, check_epochs=True)


class HomeTest(unittest.TestCase):
    """Key homes without a successor."""

    def test_lost_home_is_asked_until_the_deadline(self) -> None:
        """A request gets not-run when the home of its key is lost.

        The home dies while the store is down, so no takeover is possible;
        the outcome must be unknown, at the deadline.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            key = await load.mint(0)
            await cluster.entries[0].kill()
            cluster.store.set_faults({'down': True})
            reply = await load.send(
                _KIND.MINTED, 1, 'gone', key=key, deadline_s=2.0
            )
            self.assertEqual('unknown', reply.outcome, str(reply))
            self.assertLess(reply.elapsed_s, 2.0 + loads.GRACE_S)

        scenarios.run(scenario)

    def test_repeat_gets_an_answer_that_came_late(self) -> None:
        """A repeat gets the timeout of an earlier request under its key.

        The worker answers after the deadline of the first request, which
        one process places itself and the other one at its peer.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            for entry in range(2):
                key = await load.mint(entry)
                tag = f'late-{entry}'
                first = await load.send(
                    _KIND.MINTED, entry, tag, key=key, run_s=1.5, deadline_s=1
                )
                self.assertEqual('answer_late', first.error, str(first))
                repeat = await load.send(
                    _KIND.MINTED, entry, tag, key=key, run_s=1.5
                )
                self.assertEqual('done', repeat.outcome, str(repeat))
                self.assertEqual(1, cluster.worker.tags[tag])

        scenarios.run(scenario, entries=2, endpoints=1)


class BalancerTest(unittest.TestCase):
    """Readiness probe of the load balancer."""

    def test_stopping_process_is_not_ready(self) -> None:
        """A stopping process gets new requests from the load balancer."""

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            entry = cluster.entries[0]
            call = asyncio.create_task(
                load.send(_KIND.PLAIN, 0, 'long', run_s=1.0)
            )
            while not cluster.running_requests:
                await asyncio.sleep(0.01)
            async with httpx.AsyncClient(trust_env=False) as client:
                ready = await client.get(f'{entry.url}/readyz')
                entry.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.1)
                stopping = await client.get(f'{entry.url}/readyz')
            self.assertEqual(200, ready.status_code)
            self.assertEqual(503, stopping.status_code)
            self.assertEqual('done', (await call).outcome)
            self.assertEqual(0, await entry.wait_stopped())

        scenarios.run(scenario)
