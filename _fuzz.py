import anyio, sys, random, itertools, traceback, time
from tests.walnutpoint_scheduler import (
    test_many_hosts as t,
    test_takeover as tt,
    harness,
)
from walnutpoint_model import cell_model, workers
from walnutpoint_scheduler import _keys, _record


def play(seed, hosts=9, dur=12.0):
    rng = random.Random(seed)
    log = []
    out = {}

    async def scene():
        async with t.watched(hosts) as seen:
            m = seen.model
            lat = m.store.latency_s
            end = m.timer.now_s() + dur
            extra = 0

            async def job_loop():
                pass

            while m.timer.now_s() < end:
                k = rng.choice(
                    [
                        'kill',
                        'killsched',
                        'stop',
                        'silent',
                        'cutpair',
                        'cutshare',
                        'refuse',
                        'refuseall',
                        'slow',
                        'loss',
                        'killall',
                        'wsilent',
                        'storesilent',
                    ]
                )
                d = rng.uniform(0.1, 2.5)
                names = list(m.processes)
                log.append((round(m.timer.now_s() - 1000, 2), k, round(d, 2)))
                if k == 'kill':
                    n = rng.choice(names)
                    m.kill(n)
                    await anyio.sleep(d)
                    m.start(n)
                elif k == 'killsched':
                    n = m.scheduler()
                    if n:
                        m.kill(n)
                        await anyio.sleep(d)
                        m.start(n)
                elif k == 'stop':
                    n = rng.choice(names)
                    await m.stop(n)
                    await anyio.sleep(d / 3)
                    m.start(n)
                elif k == 'silent':
                    n = rng.choice(names)
                    a = m.processes[n].address
                    m.network.silent.add(a)
                    await anyio.sleep(d)
                    m.network.silent.discard(a)
                elif k == 'cutpair':
                    a, b = rng.sample(names, 2)
                    m.network.cut(f'{a}:1', f'{b}:1')
                    await anyio.sleep(d)
                    m.network.cuts.clear()
                elif k == 'cutshare':
                    part = rng.sample(names, hosts // 3)
                    ref = rng.random() < 0.5
                    for a, b in itertools.product(
                        part, set(names) - set(part)
                    ):
                        m.network.cut(f'{a}:1', f'{b}:1')
                    for a in part:
                        m.processes[a].store.refused = ref
                    await anyio.sleep(d)
                    m.network.cuts.clear()
                    for a in part:
                        m.processes[a].store.refused = False
                elif k == 'refuse':
                    part = rng.sample(names, max(1, hosts // 3))
                    for a in part:
                        m.processes[a].store.refused = True
                    await anyio.sleep(d)
                    for a in part:
                        m.processes[a].store.refused = False
                elif k == 'refuseall':
                    for a in names:
                        m.processes[a].store.refused = True
                    await anyio.sleep(d)
                    for a in names:
                        m.processes[a].store.refused = False
                elif k == 'storesilent':
                    from walnutpoint_model import store

                    m.store.fault = rng.choice(
                        [
                            store.StoreFault.SILENT,
                            store.StoreFault.LOSES_ANSWERS,
                            store.StoreFault.APPLIES_LATE,
                        ]
                    )
                    await anyio.sleep(d)
                    m.store.fault = store.StoreFault.NONE
                elif k == 'slow':
                    m.store.latency_s = 0.28
                    await anyio.sleep(d)
                    m.store.latency_s = lat
                elif k == 'loss':
                    m.network.loss_share = 0.2
                    await anyio.sleep(d)
                    m.network.loss_share = 0
                elif k == 'killall':
                    for n in names:
                        m.kill(n)
                    await anyio.sleep(d / 2)
                    for n in names:
                        m.start(n)
                        await anyio.sleep(0.03)
                await anyio.sleep(rng.uniform(0, 0.8))
            await anyio.sleep(8)
            out['tokens'] = len(seen.tokens)
            out['gap'] = round(seen.longest_gap_s(), 2)
            out['viol'] = m.fleet.ledger.violations
            # jobs older than 5 s must be done
            now = m.now_ms()
            bad = []
            ids = [k for k in m.store.items if k.startswith(_keys.JOBS)]
            for k in ids:
                j = _keys.job_id(k)
                it = m.store.items.get(_keys.record_key(j))
                st = _record.decode_record(it.value).state if it else 'queued'
                if st != 'done':
                    bad.append((j, st))
            out['open'] = len(bad)
            out['jobs'] = len(ids)

    try:
        harness.play(scene)
    except BaseException as e:
        out['error'] = repr(e)[:300]
        traceback.print_exc()
    return out, log


a, b = int(sys.argv[1]), int(sys.argv[2])
for s in range(a, b):
    t0 = time.time()
    o, l = play(s)
    flag = (
        ''
        if not o.get('viol') and not o.get('error') and o.get('open', 99) < 25
        else ' <<<<'
    )
    print(s, o, round(time.time() - t0, 1), flag, flush=True)
    if flag:
        print('   ', l, flush=True)
