"""A gang whose tasks take only the processor time that others leave."""

import asyncio
import sys

import standin

GANG_JOB = '00000000000000c7'
OTHER_JOB = '00000000000000a7'
# The bounds of the small deployments.
FINISH_S = 14.0
IDLE_S = 3.0
RUN_S = 1.0
STEP = {'count': 3, 'cpu': 500, 'estimateMs': 1000, 'fills': True}


async def case(record, trouble):
    """Hand in the gang, and the same job without `gang`, in an empty cell."""
    cluster = standin.Cluster(record, 3)
    try:
        for number in range(8):
            await cluster.add_worker(
                labels=['a', f'r1-{number // 4}'],
                work=lambda _task, _attempt: (RUN_S, 'done'),
            )
        await cluster.start()
        gang = STEP | {'gang': True}
        if not trouble:
            gang |= {'memMb': 1}
        for job, step in ((GANG_JOB, gang), (OTHER_JOB, STEP)):
            status, _ = await cluster.request(
                0, 'POST', job, {'spec': 'fill', 'steps': [step]}
            )
            if status != 200:
                raise RuntimeError(f'{job} was not accepted')
        await asyncio.sleep(FINISH_S + IDLE_S)
        for job in (GANG_JOB, OTHER_JOB):
            await cluster.request(1, 'GET', job)
        starts = [
            task for worker in cluster.workers for _, task, _ in worker.starts
        ]
        gang_starts = sum(task.startswith(GANG_JOB) for task in starts)
        record.note(f'{gang_starts} starts of the gang')
        if gang_starts:
            return []
        return ['LOST: an accepted job never began in an empty cell']
    finally:
        await cluster.close()


sys.exit(standin.run_case(case))
