"""The count of pending jobs while a worker refuses all starts."""

import asyncio
import sys
import time

import standin

JOBS = ('00000000000000c8', '00000000000000d8')
# The dose of sites/akwaaba-cellars: srv_grey, share = 0.085, x = 1.0,
# for_s = 6.5, here with the variant "shed" that kinds lists. One of twelve
# workers is a share of 0.083.
GREY_S = 6.5
# The rule MIXED: jobs accepted over visible_ms + 2 s before.
ACCEPTED_BEFORE_S = 5.0
STEP = {
    'count': 1,
    'cpu': 1000,
    'memMb': 256,
    'estimateMs': 1000,
    'requiredLabel': 'b',
}


async def case(record, trouble):
    """Hand in jobs for one worker, and ask how many are pending."""
    cluster = standin.Cluster(record, 3)
    try:
        for number in range(12):
            await cluster.add_worker(
                labels=['b' if number == 11 else 'a', f'r1-{number // 4}'],
                work=lambda _task, _attempt: (1.0, 'done'),
            )
        worker = cluster.workers[11]
        await cluster.start()

        async def shed(path, body):
            if path != '/api/run-start':
                return None
            record.note(
                f'worker {worker.id} answers 503 to the start of'
                f' {body["task"]}#{body["attempt"]}'
            )
            return 503, None

        if trouble:
            worker.before = shed
        grey_until_s = time.monotonic() + GREY_S
        for job in JOBS:
            status, _ = await cluster.request(
                0, 'POST', job, {'spec': 'wait', 'steps': [STEP]}
            )
            if status != 200:
                raise RuntimeError(f'{job} was not accepted')
        accepted_s = time.monotonic()
        await asyncio.sleep(ACCEPTED_BEFORE_S + 0.2)
        breaches = []
        while time.monotonic() < grey_until_s - 0.2:
            for node in range(3):
                began = {task.split('.')[0] for _, task, _ in worker.starts}
                waiting = [job for job in JOBS if job not in began]
                status, content = await cluster.request(node, 'GET', '')
                since_s = time.monotonic() - accepted_s
                record.note(
                    f'{len(waiting)} jobs have not begun, {since_s:.1f} s'
                    ' after they were accepted'
                )
                if status == 200 and content['pending'] < len(waiting) / 2:
                    text = f'pending is given as {content["pending"]}'
                    breaches = [f'MIXED: {text} while {len(waiting)} wait']
            await asyncio.sleep(0.2)
        worker.before = None
        await asyncio.sleep(6.0)
        for job in JOBS:
            await cluster.request(1, 'GET', job)
        return breaches
    finally:
        await cluster.close()


sys.exit(standin.run_case(case))
