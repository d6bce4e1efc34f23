"""A lasting task on a worker that crashes and comes back, five times."""

import asyncio
import sys
import time

import standin

JOB = '00000000000000c6'
# The dose of sites/akwaaba-cellars: srv_crash, share = 0.14, for_s = 4.5.
# One of eight workers is a share of 0.125.
DOWN_S = 4.5
UP_S = 2.0
CRASHES = 5
LASTS_S = 1e9
STEP = {
    'count': 1,
    'cpu': 1000,
    'memMb': 256,
    'estimateMs': 320,
    'longRunning': True,
    'requiredLabel': 'b',
}


async def case(record, trouble):
    """Run one lasting task, and ask for the state of its job."""
    cluster = standin.Cluster(record, 3)
    try:
        for number in range(8):
            await cluster.add_worker(
                labels=['b' if number == 7 else 'a', f'r1-{number // 4}'],
                work=lambda _task, _attempt: (LASTS_S, 'done'),
            )
        worker = cluster.workers[7]
        await cluster.start()
        status, _ = await cluster.request(
            0, 'POST', JOB, {'spec': 'watch', 'steps': [STEP]}
        )
        if status != 200:
            raise RuntimeError('the job was not accepted')
        for _ in range(CRASHES):
            end_s = time.monotonic() + 8.0
            while not worker.runs and time.monotonic() < end_s:
                await asyncio.sleep(0.05)
            await asyncio.sleep(UP_S)
            if trouble:
                worker.crash()
                await asyncio.sleep(DOWN_S)
                await worker.start()
        breaches = []
        for _ in range(10):
            await asyncio.sleep(1.0)
            status, content = await cluster.request(1, 'GET', JOB)
            if status == 200 and content['state'] == 'failed':
                failed = sum(e['how'] == 'failed' for e in worker.listed_ends)
                text = f'shown as failed, and {failed} runs ended failed'
                breaches = [f'LOST: {text}, and nobody has cancelled it']
        return breaches
    finally:
        await cluster.close()


sys.exit(standin.run_case(case))
