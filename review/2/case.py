"""The store drops its history while the scheduler is being restarted."""

import asyncio
import pathlib

import deployment

_FOLDER = pathlib.Path(__file__).parent
_NODE_CORES = (1.0, 1.0, 1.0, 1.0, 1.0)
_WORKERS = 6
# For how long watches hear nothing.
_MUTE_S = 1.0
_TERM_AFTER_S = 0.1
_CYCLES = 7
_CYCLE_S = 13.0
_CLIENT_PERIOD_S = 0.05
_CANCEL_S = 3.0
_STOP_S = 0.4
# Machines are in touch once the last disruption is so long ago.
_STABLE_S = 3.0
_MARGIN_S = 0.5
_FIRST_STEP_S = 5.0
_SECOND_STEP_S = 1.0
_LASTING = {
    'count': 1,
    'cpu': 20,
    'memMb': 10,
    'estimateMs': 320,
    'longRunning': True,
}
_FIRST = {'count': 1, 'cpu': 20, 'memMb': 10, 'estimateMs': 5000}
_SECOND = {
    'count': 1,
    'cpu': 20,
    'memMb': 10,
    'estimateMs': 1000,
    'after': [0],
}
_LASTING_MARK = 'd'


def _length_s(task):
    if task.startswith(_LASTING_MARK):
        return None
    return _FIRST_STEP_S if task.split('.')[2] == '0' else _SECOND_STEP_S


class _Client:
    """Submits jobs, and cancels each as soon as it is accepted."""

    def __init__(self, site):
        self._site = site
        # When each cancel was acknowledged.
        self.cancelled_s = {}

    async def run(self, stopped):
        """Send until stopped."""
        number = 0
        pending = set()
        while not stopped.is_set():
            number += 1
            pending.add(asyncio.create_task(self._send(number)))
            await asyncio.sleep(_CLIENT_PERIOD_S)
        await asyncio.wait(pending)

    async def _send(self, number):
        site = self._site
        node = site.nodes[number % len(site.nodes)]
        if number % 2:
            job_id, steps = f'{_LASTING_MARK}{number:015x}', [_LASTING]
        else:
            job_id, steps = f'e{number:015x}', [_FIRST, _SECOND]
        if await site.submit(node, job_id, steps) != 200:
            return
        for attempt in range(5):
            target = site.nodes[(number + attempt) % len(site.nodes)]
            if await site.cancel(target, job_id) in (200, 410):
                loop = asyncio.get_running_loop()
                self.cancelled_s[job_id] = loop.time()
                return


class _Judge:
    """Finds tasks that start or run on after their job's cancelling."""

    def __init__(self, site, client):
        self._site = site
        self._client = client
        self.disturbed_s = 0.0
        self.broken = {}
        site.ledger.on_begin = self._on_begin

    def _ago_s(self, task):
        """Return how long ago a task's job was cancelled, if in touch."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self.disturbed_s + _STABLE_S + _MARGIN_S:
            return 0.0
        cancelled_s = self._client.cancelled_s.get(task.partition('.')[0])
        return 0.0 if cancelled_s is None else now_s - cancelled_s

    def _on_begin(self, task, attempt, worker):
        ago_s = self._ago_s(task)
        if ago_s > _CANCEL_S + _MARGIN_S:
            self._note(f'{task} attempt {attempt} starts on {worker}', ago_s)

    def check(self):
        """Check the tasks that run now."""
        for task, attempt, worker in self._site.ledger.open_runs:
            ago_s = self._ago_s(task)
            if ago_s > _CANCEL_S + _STOP_S + _MARGIN_S:
                self._note(f'{task} attempt {attempt} runs on {worker}', ago_s)

    def _note(self, what, ago_s):
        if what not in self.broken:
            text = f'UNASKED: {what} {ago_s:.1f} s after its cancel was acked'
            self.broken[what] = text
            self._site.record(f'BROKEN {text}')


async def _disturb(site, judge):
    loop = asyncio.get_running_loop()
    scheduler = site.scheduler()
    judge.disturbed_s = loop.time() + _CYCLE_S
    site.record('fault watches hear nothing, then the history is dropped')
    compaction = asyncio.create_task(site.store.compact(_MUTE_S))
    await asyncio.sleep(_TERM_AFTER_S)
    site.signal(scheduler, deployment.signal.SIGTERM)
    await compaction
    await site.restart(scheduler)
    judge.disturbed_s = loop.time()


async def _play():
    site = deployment.Deployment(
        _FOLDER / 'record.txt', _NODE_CORES, _WORKERS, _length_s
    )
    loop = asyncio.get_running_loop()
    try:
        await site.start()
        client = _Client(site)
        judge = _Judge(site, client)
        stopped = asyncio.Event()
        sending = asyncio.create_task(client.run(stopped))
        await asyncio.sleep(3.0)
        for _ in range(_CYCLES):
            end_s = loop.time() + _CYCLE_S
            if deployment.has_trouble():
                await _disturb(site, judge)
            while loop.time() < end_s:
                await asyncio.sleep(0.1)
                judge.check()
        stopped.set()
        await sending
        return list(judge.broken.values())
    finally:
        site.close()


deployment.run(_play)
