"""More than 500 ends on one worker while the store is down."""

import asyncio
import sys
import time

import standin

JOBS = 12
TASKS = 50
RUN_S = 12.0
# The dose of sites/akwaaba-cellars: platform_down, busy, for_s = 4.2.
DOWN_S = 4.2
STEP = {'count': TASKS, 'cpu': 20, 'memMb': 16, 'estimateMs': 12_000}


async def refuse(*_call):
    """Answer a call to the store like one that is down."""
    return 503, None


async def wait_until(condition, limit_s):
    """Wait until a condition holds, for a time at most."""
    end_s = time.monotonic() + limit_s
    while not condition() and time.monotonic() < end_s:
        await asyncio.sleep(0.05)


async def case(record, trouble):
    """Hand in small tasks, and let them end while the store is down."""
    cluster = standin.Cluster(record, 3, {'priority': 2, 'sloMs': 5000})
    try:
        for number in range(8):
            await cluster.add_worker(
                labels=['a', f'r1-{number // 4}'],
                work=lambda _task, _attempt: (RUN_S, 'done'),
            )
        await cluster.start()
        jobs = [f'{number:016x}' for number in range(1, JOBS + 1)]
        for job in jobs:
            status, _ = await cluster.request(
                0, 'POST', job, {'spec': 'small', 'steps': [STEP]}
            )
            if status != 200:
                raise RuntimeError(f'{job} was not accepted')
            await asyncio.sleep(0.25)
        workers = cluster.workers
        await wait_until(
            lambda: sum(len(w.starts) for w in workers) >= JOBS * TASKS, 8.0
        )
        counts = [len(w.runs) for w in workers]
        record.note(f'tasks at work, by worker: {counts}')
        fullest = workers[counts.index(max(counts))]
        first_end_s = min(row[1] for row in fullest.runs.values())
        await asyncio.sleep(first_end_s - time.monotonic() - 0.1)
        if trouble:
            record.note('the store is down: 503 on all calls')
            cluster.store.before = refuse
        await asyncio.sleep(DOWN_S)
        cluster.store.before = None
        record.note('the store is up')
        await asyncio.sleep(RUN_S + 8.0)
        for job in jobs:
            await cluster.request(1, 'GET', job)
        again = standin.started_after_done(workers)
        if not again:
            return []
        text = f'{len(again)} tasks started after an end `done` taken note of'
        return [f'TWICE: {text}, such as {again[0]}']
    finally:
        await cluster.close()


sys.exit(standin.run_case(case))
