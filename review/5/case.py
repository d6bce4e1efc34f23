"""One job with many times that are due, and the jobs of other callers."""

import asyncio
import sys
import time

import standin

TIMED_JOB = '00000000000000c5'
# Once a second for a day, handed in eighteen hours after the first time.
TIMES = 86_400
INTERVAL_MS = 1000
SINCE_FIRST_MS = 18 * 3600 * 1000
JOBS = 20
# The bounds of the small deployments.
FINISH_S = 14.0
IDLE_S = 3.0
RUN_S = 0.2
STEP = {'count': 1, 'cpu': 1000, 'memMb': 16, 'estimateMs': 200}


async def case(record, trouble):
    """Hand in the timed job, then small jobs, and ask for these."""
    cluster = standin.Cluster(record, 3, {'sloMs': 9000})
    try:
        for number in range(8):
            await cluster.add_worker(
                labels=['a', f'r1-{number // 4}'],
                work=lambda _task, _attempt: (RUN_S, 'done'),
            )
        await cluster.start()
        timed = {'spec': 'tick', 'steps': [STEP], 'intervalMs': INTERVAL_MS}
        now_ms = int(time.time() * 1000)
        if trouble:
            timed |= {'times': TIMES, 'firstMs': now_ms - SINCE_FIRST_MS}
        else:
            timed |= {'times': 20, 'firstMs': now_ms - 20 * INTERVAL_MS}
        for number in range(3):
            status, _ = await cluster.request(number, 'POST', TIMED_JOB, timed)
            if status == 200:
                break
            await asyncio.sleep(1.0)
        else:
            raise RuntimeError('the timed job was not accepted')
        await asyncio.sleep(1.0)
        accepted = []
        for number in range(1, JOBS + 1):
            job = f'{number:016x}'
            status, _ = await cluster.request(
                number % 3, 'POST', job, {'spec': 'small', 'steps': [STEP]}
            )
            if status == 200:
                accepted.append(job)
            await asyncio.sleep(0.5)
        if not accepted:
            raise RuntimeError('no job was accepted')
        await asyncio.sleep(FINISH_S)
        seen = len(record.lines)
        runs = [len(worker.runs) for worker in cluster.workers]
        record.note(f'tasks at work, by worker: {runs}')
        await asyncio.sleep(IDLE_S)
        began = {
            line.split(' run ')[1].split('.')[0]
            for line in record.lines
            if ' starts (' in line
        }
        waiting = [job for job in accepted if job not in began]
        for job in accepted:
            await cluster.request(1, 'GET', job)
        count = sum(' starts (' in line for line in record.lines[seen:])
        record.note(f'{count} starts in the last {IDLE_S:g} s')
        for number in range(3):
            won = cluster.log(number).count('event=scheduler.won')
            record.note(f'node-{number} became the scheduler {won} times')
        # Under half of the capacity of 128 cores is in use.
        if not waiting or sum(runs) >= 64:
            return []
        text = f'{len(waiting)} of {len(accepted)} accepted jobs never began'
        return [f'LOST: {text}, {FINISH_S:g} s after the last was handed in']
    finally:
        await cluster.close()


sys.exit(standin.run_case(case))
