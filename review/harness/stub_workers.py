"""Stand-ins of workers, and the ledger of what ran on them."""

import asyncio
import json

import stub_http

_HEARTBEAT_S = 1.5
_ENTRY_LIFE_S = 3 * _HEARTBEAT_S
_HOLD_MAX_MS = 10_000
# A stop takes at most 0.4 s.
_STOP_S = 0.05
_ENDS_PER_REPORT = 500
# From the start of a task that lasts until it is at work.
_STARTUP_S = 0.32


class Ledger:
    """Records every run, and which rules the runs break."""

    def __init__(self, record):
        self._record = record
        # Task, attempt, worker and start of the runs that go on.
        self.open_runs = []
        self.starts = 0
        self.ends = {}
        self.violations = []
        # Called with the task, attempt and worker of each start.
        self.on_begin = lambda _task, _attempt, _worker: None
        # Tasks with an end `done` that was taken note of.
        self._done = set()

    def begin(self, task, attempt, worker, fence):
        """Record a start, and check that no other run goes on."""
        self.starts += 1
        self._record(
            f'run   {task} attempt {attempt} starts on {worker} fence {fence}'
        )
        for other_task, other_attempt, other in self.open_runs:
            if other_task == task:
                self._violate(
                    f'TWICE: {task} attempt {attempt} starts on {worker} '
                    f'while attempt {other_attempt} runs on {other}'
                )
        if task in self._done:
            self._violate(f'TWICE: {task} starts on {worker} after `done`')
        self.open_runs.append((task, attempt, worker))
        self.on_begin(task, attempt, worker)

    def end(self, task, attempt, worker, how):
        """Record the end of a run."""
        self.open_runs.remove((task, attempt, worker))
        self.ends.setdefault(task, []).append(how)
        self._record(f'run   {task} attempt {attempt} ends on {worker}: {how}')

    def note_done(self, task):
        """Record that an end `done` was taken note of."""
        self._done.add(task)

    def _violate(self, text):
        self.violations.append(text)
        self._record(f'BROKEN {text}')


class _Run:
    def __init__(self, task, attempt, began_s, length_s):
        self.task = task
        self.attempt = attempt
        self.began_s = began_s
        # None for a task that lasts.
        self.length_s = length_s
        self.timer = None

    def cancel(self):
        """Cancel its planned end."""
        if self.timer is not None:
            self.timer.cancel()

    def percent(self, now_s):
        """Return its progress."""
        if self.length_s is None:
            return 100 if now_s - self.began_s > _STARTUP_S else 0
        return min(99, int(100 * (now_s - self.began_s) / self.length_s))


class Worker:
    """One machine; each of its lives has an identifier of its own."""

    def __init__(self, number, store, ledger, length_s, record, labels=()):
        """Create it; length_s gives the run time of a task by its job."""
        self.name = f'machine-{number}'
        self._store = store
        self._ledger = ledger
        self._length_s = length_s
        self._record = record
        self._labels = list(labels)
        self._life = 0
        self._server = stub_http.Server(self._answer)
        self._beats = None
        # Nodes that can't reach this worker.
        self.unreachable_from = set()
        self.is_up = False
        self._reset()

    def _reset(self):
        self._life += 1
        self.worker_id = f'i-{self.name}-{self._life}'
        self._born_s = asyncio.get_running_loop().time() - 100.0
        self._fence = 0
        self._lease_until_ms = 0
        self._lease_timer = None
        self._running = {}
        self._blocked = {}
        self._ends = []
        self._end_count = 0
        self._sequence = 0
        # The last end before the lease lapsed.
        self._lapsed_upto = 0
        self._changed = asyncio.Event()

    async def start(self):
        """Listen and register."""
        await self._server.start()
        self._begin_life()

    def _begin_life(self):
        self.is_up = True
        self._beats = asyncio.create_task(self._beat())

    def crash(self, down_s):
        """End the process with all it runs; a new life begins later."""
        loop = asyncio.get_running_loop()
        self.is_up = False
        self._beats.cancel()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        for run in list(self._running.values()):
            run.cancel()
            self._ledger.end(run.task, run.attempt, self.worker_id, 'crash')
        self._record(f'worker {self.worker_id} crashes for {down_s} s')
        key = f'servers/{self.worker_id}'
        loop.call_later(_ENTRY_LIFE_S, self._store.remove, key)
        self._reset()
        loop.call_later(down_s, self._begin_life)

    async def _beat(self):
        while True:
            self._sequence += 1
            self._store.put(
                f'servers/{self.worker_id}',
                json.dumps(self._entry()).encode(),
            )
            await asyncio.sleep(_HEARTBEAT_S)

    def _entry(self):
        return {
            'service': 'pool',
            'addr': f'{stub_http.HOST}:{self._server.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'warmupLeftMs': 0,
            'clockMs': self._clock_ms(),
            'seq': self._sequence,
        } | self._about()

    def _about(self):
        return {
            'capacity': {'cpu': 16_000, 'memMb': 65_536, 'gpu': 0},
            'labels': [*self._labels, 'rack-1'],
        }

    def _clock_ms(self):
        now_s = asyncio.get_running_loop().time()
        return int((now_s - self._born_s) * 1000)

    async def _answer(self, request):
        body = request.json()
        node = self._store.claims.get(body.get('fence', 0) // 1000)
        if not self.is_up or node in self.unreachable_from:
            # The packets are lost.
            return stub_http.NO_ANSWER
        if request.headers.get('expect-instance') != self.worker_id:
            return 421, None
        if body.get('fence', 0) < self._fence:
            return self._conflict('fence')
        self._fence = body.get('fence', 0)
        if request.path == '/api/hold':
            return await self._hold(body)
        if request.path == '/api/run-start':
            return self._start(body)
        if request.path == '/api/run-stop':
            self._stop(body['task'], body['attempt'])
            return 200, {'clockMs': self._clock_ms()}
        if request.path == '/api/pace':
            return 200, {'clockMs': self._clock_ms()}
        return 404, None

    def _conflict(self, reason):
        return 409, {'clockMs': self._clock_ms(), 'reason': reason}

    def _start(self, body):
        task, attempt = body['task'], body['attempt']
        run = self._running.get(task)
        if run is not None and run.attempt == attempt:
            return 200, {'clockMs': self._clock_ms()}
        if body['untilMs'] <= self._clock_ms():
            return self._conflict('late')
        self._extend(body['untilMs'])
        if run is not None or attempt <= self._blocked.get(task, 0):
            return self._conflict('old')
        loop = asyncio.get_running_loop()
        run = _Run(task, attempt, loop.time(), self._length_s(task))
        self._running[task] = run
        self._ledger.begin(task, attempt, self.worker_id, body['fence'])
        if run.length_s is not None:
            run.timer = loop.call_later(run.length_s, self._end, run, 'done')
        return 200, {'clockMs': self._clock_ms()}

    def _stop(self, task, attempt):
        self._blocked[task] = max(attempt, self._blocked.get(task, 0))
        run = self._running.get(task)
        if run is not None and run.attempt <= attempt:
            run.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(_STOP_S, self._end, run, 'stopped')

    def _end(self, run, how):
        if self._running.get(run.task) is not run:
            return
        del self._running[run.task]
        self._blocked[run.task] = max(
            run.attempt, self._blocked.get(run.task, 0)
        )
        self._ledger.end(run.task, run.attempt, self.worker_id, how)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.attempt, how, ''])
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _extend(self, until_ms):
        until_ms = min(until_ms, self._clock_ms() + _HOLD_MAX_MS)
        if until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = until_ms
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left_s = (until_ms - self._clock_ms()) / 1000
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_later(max(0.0, left_s), self._lapse)

    def _lapse(self):
        for run in list(self._running.values()):
            run.cancel()
            self._end(run, 'lapsed')
        # Ends listed before a lapse don't count as taken note of.
        self._lapsed_upto = self._end_count

    async def _hold(self, body):
        acknowledged = body.get('ackedUpto', 0)
        for number, task, _, how, _ in self._ends:
            if number <= acknowledged and how == 'done':
                if number > self._lapsed_upto:
                    self._ledger.note_done(task)
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        if 'untilMs' in body:
            self._extend(body['untilMs'])
        wait_s = min(body.get('waitMs', 0), 2000) / 1000
        life = self._life
        if wait_s and not self._ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if life != self._life:
            return stub_http.NO_ANSWER
        now_s = asyncio.get_running_loop().time()
        running = [
            [
                run.task,
                run.attempt,
                '',
                run.percent(now_s),
                0,
            ]
            for run in self._running.values()
        ]
        return 200, {
            'clockMs': self._clock_ms(),
            'running': running,
            'finished': self._ends[:_ENDS_PER_REPORT],
        } | self._about()
