"""A lasting job whose worker crashes once, just after its tasks began."""

import asyncio
import sys
import time

import standin

JOB = '00000000000000c6'
TASKS = 20
# The dose of sites/akwaaba-cellars: srv_crash, share = 0.14, for_s = 4.5.
# One of sixteen workers is a share of 0.0625.
AT_WORK_S = 0.3
DOWN_S = 4.5
# The rule LOST: calm for 4 s, and then 3 s without a run, for tasks whose
# last run ended 6 s before. The 4 s are the stableWindowMs of the settings
# and one more second.
CALM_S = 4.0
IDLE_S = 3.0
SINCE_LAST_RUN_S = 6.0
WATCHED_S = 25.0
LASTS_S = 1e9
STEP = {
    'count': TASKS,
    'cpu': 300,
    'memMb': 256,
    'estimateMs': 320,
    'longRunning': True,
    'requiredLabel': 'b',
}


def idle_spans(workers, calm_s, end_s):
    """Return how long each task had nothing running while all was calm."""
    spans = {}
    for index in range(TASKS):
        task = f'{JOB}.0.0.{index}'
        starts_s = [
            started_s
            for worker in workers
            for started_s, name, _ in worker.starts
            if name == task
        ]
        crashes_s = [
            crash_s
            for worker in workers
            for crash_s, tasks in worker.crashes
            if task in tasks
        ]
        before_s = [s for s in starts_s if s <= calm_s]
        if not crashes_s or max(before_s) > max(crashes_s):
            # At work when the calm began.
            spans[task] = 0.0
            continue
        from_s = max(calm_s + CALM_S, max(crashes_s) + SINCE_LAST_RUN_S)
        until_s = min((s for s in starts_s if s > calm_s), default=end_s)
        spans[task] = max(0.0, until_s - from_s)
    return spans


async def case(record, trouble):
    """Run lasting tasks, and measure how long they are idle afterwards."""
    cluster = standin.Cluster(record, 3)
    try:
        for number in range(16):
            await cluster.add_worker(
                labels=['b' if number == 15 else 'a', f'r1-{number // 8}'],
                work=lambda _task, _attempt: (LASTS_S, 'done'),
            )
        worker = cluster.workers[15]
        await cluster.start()
        status, _ = await cluster.request(
            0, 'POST', JOB, {'spec': 'watch', 'steps': [STEP]}
        )
        if status != 200:
            raise RuntimeError('the job was not accepted')
        end_s = time.monotonic() + 5.0
        while len(worker.runs) < TASKS and time.monotonic() < end_s:
            await asyncio.sleep(0.01)
        record.note(f'{len(worker.runs)} of {TASKS} tasks are at work')
        await asyncio.sleep(AT_WORK_S)
        if trouble:
            worker.crash()
        await asyncio.sleep(DOWN_S)
        if trouble:
            await worker.start()
        calm_s = time.monotonic()
        record.note('calm from here on')
        for _ in range(int(WATCHED_S)):
            await asyncio.sleep(1.0)
            record.note(f'{len(worker.runs)} of {TASKS} tasks are at work')
        end_s = time.monotonic()
        spans = idle_spans(cluster.workers, calm_s, end_s)
        for task, span_s in sorted(spans.items()):
            record.note(f'{task} had nothing running for {span_s:.1f} s')
        late = [span_s for span_s in spans.values() if span_s > IDLE_S]
        if not late:
            return []
        text = f'{len(late)} of {TASKS} tasks that last had nothing running'
        return [f'LOST: {text} for up to {max(late):.1f} s in a calm cell']
    finally:
        await cluster.close()


sys.exit(standin.run_case(case))
