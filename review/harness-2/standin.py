"""Stand-ins for store, workers and clients, and a cluster of programs.

Standard library only. The stand-ins run in the process of a case; the
programs under test are processes of their own, started with the command of
the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

HOST = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[2]
# The bounds and settings of the small deployments (sites/akwaaba-cellars).
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.1
VALUE_BYTES = 1_048_576
START_UP_S = 0.3
# Ports to try, from another start in each process.
_PORTS = itertools.cycle(
    itertools.chain(
        range(20_000 + os.getpid() % 120 * 100, 32_000),
        range(20_000, 20_000 + os.getpid() % 120 * 100),
    )
)
HANG = object()
DROP = object()


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.began_s = time.monotonic()
        self.lines = []
        self._path = pathlib.Path(path)
        self._file = self._path.open('w', encoding='utf-8')

    def now_s(self):
        """Return the time since the start of the record."""
        return time.monotonic() - self.began_s

    def note(self, text):
        """Add one line."""
        line = f'{self.now_s():8.3f} {text}'
        self.lines.append(line)
        self._file.write(line + '\n')
        self._file.flush()


def free_ports(count):
    """Return that many free ports, below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


class HttpServer:
    """A minimal HTTP/1.1 server for JSON bodies."""

    def __init__(self, port, handler):
        self.port = port
        self._handler = handler
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def close(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await _read_message(reader)
                if request is None:
                    break
                first, headers, body = request
                method, target, _ = first.split(' ', 2)
                path, _, query = target.partition('?')
                answer = await self._handler(
                    method,
                    path,
                    dict(urllib.parse.parse_qsl(query)),
                    headers,
                    json.loads(body) if body else {},
                )
                if answer is HANG:
                    await reader.read()
                    break
                if answer is DROP:
                    break
                status, content = answer
                data = b'' if content is None else json.dumps(content).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_message(reader):
    head = await reader.readuntil(b'\r\n\r\n') if not reader.at_eof() else b''
    if not head:
        return None
    first, *rows = head.decode('latin-1').split('\r\n')
    headers = {}
    for row in rows:
        name, _, value = row.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', 0))
    return first, headers, await reader.readexactly(size) if size else b''


async def call(port, method, path, body=None, headers=None, timeout_s=4.0):
    """Send one request; return status and content, or 0 and the reason."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            data = b'' if body is None else json.dumps(body).encode()
            lines = [f'{method} {path} HTTP/1.1']
            for name, value in (
                {'Host': 'cell.example'} | (headers or {})
            ).items():
                lines.append(f'{name}: {value}')
            lines.append('Content-Type: application/json')
            lines.append(f'Content-Length: {len(data)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)
            answer = await _read_message(reader)
            if answer is None:
                return 0, 'closed'
            first, _, content = answer
            return int(first.split(' ')[1]), (
                json.loads(content) if content else None
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()


class Store:
    """The platform's store: keys, ranges, watches and transactions."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.rev = 100
        self._events = []
        self._changed = asyncio.Event()
        # Called with the port's node, method, path and body before a call is
        # executed; may wait, or return an answer instead.
        self.before = None
        # Called with the same and the answer; may return another.
        self.after = None
        self.latency_s = 0.004

    def put(self, key, value):
        """Write as the operator and the workers do."""
        self.rev += 1
        self._write(key, json.dumps(value).encode())
        self._notify()

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self._events.append({'key': key, 'rev': self.rev, 'deleted': True})
            self._notify()

    def _write(self, key, value):
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.rev,
            'created': known['created'] if known else self.rev,
            'lease': 0,
        }
        self.items[key] = item
        self._events.append(item)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def server(self, port, node):
        """Return a server of this store for one machine."""

        async def handle(method, path, query, _headers, body):
            if self.before is not None:
                answer = await self.before(node, method, path, body)
                if answer is not None:
                    return answer
            await asyncio.sleep(self.latency_s)
            answer = await self._execute(method, path, query, body)
            if self.after is not None:
                answer = await self.after(node, method, path, body, answer)
            return answer

        return HttpServer(port, handle)

    async def _execute(self, method, path, query, body):
        if path == '/api/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'currentRev': self.rev}
            return 200, item | {'currentRev': self.rev}
        if path == '/api/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'truncated': len(keys) > 500,
                'currentRev': self.rev,
            }
        if path == '/api/kv-watch':
            return await self._watch(query)
        if path == '/api/kv-txn' and method == 'POST':
            return self.commit(body)
        return 404, None

    async def _watch(self, query):
        end_s = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event['rev'] > int(query['after'])
                and event['key'].startswith(query['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'currentRev': self.rev}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def commit(self, body):
        """Execute a transaction and return the answer."""
        for put in body.get('puts', []):
            if len(put['value']) * 3 // 4 > VALUE_BYTES:
                self.record.note(f'store refuses {put["key"]}: too large')
                return 400, None
        rows = body.get('precondition', [])
        for row in rows:
            item = self.items.get(row['key'])
            if (item['rev'] if item else 0) != row['rev']:
                absent = {'value': '', 'rev': 0, 'created': 0, 'lease': 0}
                return 412, {
                    'items': [
                        self.items.get(r['key'], absent | {'key': r['key']})
                        for r in rows
                    ]
                }
        self.rev += 1
        for put in body.get('puts', []):
            self._write(put['key'], base64.b64decode(put['value']))
        for key in body.get('remove', []):
            if self.items.pop(key, None) is not None:
                self._events.append(
                    {'key': key, 'rev': self.rev, 'deleted': True}
                )
        self._notify()
        return 200, {'rev': self.rev}


class Worker:
    """One worker machine; each life has a new id, as after a crash."""

    _lives = itertools.count(1)

    def __init__(self, store, record, port, **options):
        self.store = store
        self.record = record
        self.port = port
        self.service = options.get('service', 'pool')
        self.cpu = options.get('cpu', 16_000)
        self.mem_mb = options.get('mem_mb', 64_000)
        self.labels = options.get('labels', ['a', 'r1-1'])
        self.stop_s = options.get('stop_s', STOP_S)
        # Whether a new life has the id of the former, and says when it began.
        self.keeps_id = options.get('keeps_id', False)
        # Called with a task and an attempt; returns duration and how it ends.
        self.work = options.get('work', lambda _task, _attempt: (0.5, 'done'))
        # Called with a task and a percentage; returns its checkpoint.
        self.saved = lambda _task, _percent: ''
        # Called after each start.
        self.on_start = None
        # Called with path and body before an order is carried out; may wait,
        # or return an answer instead.
        self.before = None
        self.is_up = False
        # Every start, and every end that was listed, of all lives.
        self.starts = []
        self.listed_ends = []
        # When it crashed, and the tasks that it had then.
        self.crashes = []
        self._lapses = []
        self._has_lapsed = False
        self._tasks = []
        self._server = None
        self.id = ''
        self._reset()

    def _reset(self):
        if not (self.keeps_id and self.id):
            self.id = f'i-{next(self._lives):04x}{os.getpid() & 0xFFFF:04x}'
        self._born = {'born': int(time.time() * 1000)} if self.keeps_id else {}
        self.fence = 0
        self.runs = {}
        self.ends = []
        self.blocked = {}
        self._number = 0
        self._until_ms = 0
        self._born_s = time.monotonic()
        self._seq = 0
        self._changed = asyncio.Event()

    async def start(self):
        """Start a life: listen and register."""
        self._reset()
        self.is_up = True
        self._server = HttpServer(self.port, self._handle)
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._beat(self.id)),
            asyncio.create_task(self._run_down()),
        ]
        self.record.note(f'worker {self.id} up at port {self.port}')

    def crash(self):
        """End this life without a word; its entry expires later."""
        self.record.note(f'worker {self.id} crashes with {sorted(self.runs)}')
        self.is_up = False
        self.crashes.append((time.monotonic(), [t for t, _ in self.runs]))
        for task in self._tasks:
            task.cancel()
        self._server.close()
        self.runs.clear()
        self.ends.clear()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self._expire, self.id
        )

    def _expire(self, worker_id):
        if not (self.is_up and self.id == worker_id):
            self.store.remove(f'servers/{worker_id}')

    def clock_ms(self):
        """Return the worker's own steady clock."""
        return int((time.monotonic() - self._born_s) * 1000)

    async def _beat(self, worker_id):
        while True:
            self._seq += 1
            self.store.put(
                f'servers/{worker_id}',
                {
                    'service': self.service,
                    'addr': f'{HOST}:{self.port}',
                    'zone': 'zone-a',
                    'version': 'v1',
                    'slots': 8,
                    'state': 'ready',
                    'warmupLeftMs': 0,
                    'capacity': {
                        'cpu': self.cpu,
                        'memMb': self.mem_mb,
                        'gpu': 0,
                    },
                    'labels': self.labels,
                    'clockMs': self.clock_ms(),
                    'seq': self._seq,
                }
                | self._born,
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _run_down(self):
        """End runs that are due, and all of them once the lease is over."""
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            if self.clock_ms() > self._until_ms:
                if not self._has_lapsed:
                    self._has_lapsed = True
                    self._lapses.append(now_s)
                for run in list(self.runs):
                    self.end(run, 'lapsed')
            for run, (_, end_s, how) in list(self.runs.items()):
                if now_s >= end_s:
                    self.end(run, how)

    def end(self, run, how):
        """End a run."""
        if self.runs.pop(run, None) is None:
            return
        task, attempt = run
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        self._number += 1
        self.ends.append([self._number, task, attempt, how, ''])
        self.listed_ends.append(
            {
                'worker': self.id,
                'number': self._number,
                'task': task,
                'how': how,
                'ended_s': time.monotonic(),
                'noted_s': None,
            }
        )
        self.record.note(f'worker {self.id} run {task}#{attempt} ends {how}')
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, path, _query, headers, body):
        if method == 'GET':
            return 200, None
        expected = headers.get('expect-instance')
        if expected is not None and expected != self.id:
            return 421, None
        if self.before is not None:
            answer = await self.before(path, body)
            if answer is not None:
                return answer
        return await self.execute(path, body)

    async def execute(self, path, body):
        """Carry out an order."""
        if body['fence'] < self.fence:
            return self._refused('fence')
        self.fence = body['fence']
        if path == '/api/run-start':
            return self._start_run(body)
        if path == '/api/run-stop':
            return self._stop_run(body)
        if path == '/api/pace':
            return 200, {'clockMs': self.clock_ms()}
        if path == '/api/hold':
            return await self._hold(body)
        return 404, None

    def _refused(self, reason):
        return 409, {'clockMs': self.clock_ms(), 'reason': reason}

    def _extend(self, until_ms):
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self._until_ms = max(self._until_ms, min(until_ms, limit_ms))
        self._has_lapsed = self.clock_ms() > self._until_ms

    def _start_run(self, body):
        task, attempt = body['task'], body['attempt']
        if (task, attempt) in self.runs:
            return 200, {'clockMs': self.clock_ms()}
        if attempt <= self.blocked.get(task, 0):
            self._extend(body['untilMs'])
            return self._refused('old')
        if body['untilMs'] <= self.clock_ms():
            return self._refused('late')
        self._extend(body['untilMs'])
        duration_s, how = self.work(task, attempt)
        now_s = time.monotonic()
        self.runs[task, attempt] = (now_s, now_s + duration_s, how)
        self.starts.append((now_s, task, self.id))
        if self.on_start is not None:
            self.on_start()
        self.record.note(
            f'worker {self.id} run {task}#{attempt} starts'
            f' (spec {body["spec"]!r}, fence {body["fence"]})'
        )
        return 200, {'clockMs': self.clock_ms()}

    def _stop_run(self, body):
        task, attempt = body['task'], body['attempt']
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        if (task, attempt) in self.runs:
            asyncio.get_running_loop().call_later(
                self.stop_s, self.end, (task, attempt), 'stopped'
            )
        return 200, {'clockMs': self.clock_ms()}

    async def _hold(self, body):
        self._take_note(body['ackedUpto'])
        if 'untilMs' in body:
            self._extend(body['untilMs'])
        if not self.ends and body.get('waitMs', 0):
            try:
                await asyncio.wait_for(
                    self._changed.wait(), body['waitMs'] / 1000
                )
            except TimeoutError:
                pass
        return 200, {
            'clockMs': self.clock_ms(),
            'running': [
                self._running_row(task, attempt, self._percent(row))
                for (task, attempt), row in self.runs.items()
            ],
            'finished': self.ends[:500],
            'capacity': {'cpu': self.cpu, 'memMb': self.mem_mb, 'gpu': 0},
        } | self._born

    def _running_row(self, task, attempt, percent):
        return [task, attempt, self.saved(task, percent), percent, 0]

    def _take_note(self, number):
        self.ends = [e for e in self.ends if e[0] > number]
        now_s = time.monotonic()
        for end in self.listed_ends:
            if (
                end['worker'] == self.id
                and end['number'] <= number
                and end['noted_s'] is None
                and not any(end['ended_s'] < t for t in self._lapses)
            ):
                end['noted_s'] = now_s

    @staticmethod
    def _percent(row):
        began_s, end_s, _ = row
        whole_s = end_s - began_s
        if whole_s > 3600:
            whole_s = START_UP_S
        return min(100, int(100 * (time.monotonic() - began_s) / whole_s))


class Cluster:
    """The programs of a small deployment, beside one store."""

    def __init__(
        self, record, node_count, route=None, routes=None, tenants=None
    ):
        self.record = record
        self._tenants = {} if tenants is None else {'tenants': tenants}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='walnutpoint-'))
        self.store = Store(record)
        self.workers = []
        self.nodes = []
        self._count = node_count
        self._servers = []
        self._processes = {}
        self._routes = routes or [
            self.route('jobs', '/jobs/', **(route or {}))
        ]
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (role,) = deploy['roles'].values()
        self._command = role['run'].split(' ')

    @staticmethod
    def route(name, prefix, **fields):
        """Return one route of the configuration."""
        return {
            'name': name,
            'host': 'cell.example',
            'prefix': prefix,
            'kind': 'mutating',
            'timeoutMs': 3000,
            'sloMs': 1000,
            'priority': 0,
            'service': 'pool',
            'attempts': 3,
            'stretch': 2.2,
        } | fields

    def configure(self, version, routes=None):
        """Write a configuration, as the operator does."""
        self._routes = routes or self._routes
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': self._routes,
                'services': [{'name': 'pool', 'admissionCheck': False}],
                'limits': {'maxBodyBytes': 262_144},
            }
            | self._tenants,
        )

    async def add_worker(self, **options):
        """Start one more worker."""
        (port,) = free_ports(1)
        worker = Worker(self.store, self.record, port, **options)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def start(self):
        """Start the store and all programs, and wait until they are ready."""
        self.configure(7)
        ports = free_ports(5 * self._count)
        for number in range(self._count):
            store, front, ready, control, low = ports[
                5 * number : 5 * number + 5
            ]
            self.nodes.append(
                {
                    'store': store,
                    'front': front,
                    'ready': ready,
                    'control': control,
                    'low': low,
                }
            )
            server = self.store.server(store, number)
            await server.start()
            self._servers.append(server)
        for number in range(self._count):
            await self.start_node(number)
        async with asyncio.timeout(30):
            while not all([await self._is_ready(n) for n in self.nodes]):
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        self.record.note('all programs are ready')

    async def start_node(self, number):
        """Start one program with the command of the deploy file."""
        node = self.nodes[number]
        seeds = ','.join(f'{HOST}:{n["control"]}' for n in self.nodes[:3])
        path = self.folder / f'node-{number}.conf'
        path.write_text(
            f'nodeName=node-{number}\nrole=entry\nmachineClass=edge\n'
            f'serves=edge,ctl\nip={HOST}\nzone=zone-a\nregion=region\n'
            f'listen.front={HOST}:{node["front"]}\n'
            f'listen.ready={HOST}:{node["ready"]}\n'
            f'listen.control={HOST}:{node["control"]}\n'
            f'portRange={node["low"]},{node["low"]}\nseeds={seeds}\n'
            'bootstrap=true\nlimits.cpuShare=0.537\nlimits.cores=2\n'
            'limits.memoryMb=300\nlimits.maxFds=4100\n'
            'limits.linkMbps=1000.0\ndiscovery=platform\nentry=vip\n'
            'heartbeatMs=1500\nbounds.stableWindowMs=3000\n'
            'bounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n'
            'bounds.configApplyMs=2000\nbounds.holdMaxMs=10000\n'
            'bounds.stopMs=400\nbounds.gangMs=3000\nbounds.cancel_ms=3000\n'
            'bounds.visible_ms=3000\nbounds.early_ms=250\n'
            'bounds.finish_s=14\nbounds.status_s=120\n'
            'bounds.requireFencing=true\nbounds.leaseMs=3000\n'
            'bounds.paceMs=100\ncontrolMode=push\n'
            f'advice={HOST}:{node["store"]}\n'
            f'platform.addr={HOST}:{node["store"]}\nplatform.form=kv\n'
            'platform.writesPerS=400\nplatform.readsPerS=2000\n'
            'platform.historyS=20\nplatform.valueBytes=1048576\n'
            'platform.ttlMinMs=1000\ncloud.duties=\n'
        )
        log = (self.folder / f'node-{number}.log').open('ab')
        self._processes[number] = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                name: os.environ[name]
                for name in ('PATH', 'HOME', 'LANG')
                if name in os.environ
            }
            | {
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'WALNUTPOINT_NODE_FILE': str(path),
            },
        )

    async def _is_ready(self, node):
        status, _ = await call(node['ready'], 'GET', '/api/ready')
        return status == 200

    def signal(self, number, which):
        """Send a signal to one program."""
        self.record.note(f'node-{number} gets {signal.Signals(which).name}')
        self._processes[number].send_signal(which)

    async def ended(self, number):
        """Wait until a program has ended, and return its exit code."""
        return await self._processes[number].wait()

    def log(self, number):
        """Return the log of one program."""
        return (self.folder / f'node-{number}.log').read_text()

    def leader(self):
        """Return the number of the program that schedules, by the logs."""
        won = []
        for number in range(self._count):
            for line in self.log(number).splitlines():
                if 'event=scheduler.won' in line:
                    token = line.rpartition(' token=')[2].split()[0]
                    won.append((int(token), number))
        return max(won)[1]

    async def request(self, number, method, job, body=None, **options):
        """Send a client's request, and record it with its answer."""
        prefix = options.pop('prefix', '/jobs/')
        headers = options.pop('headers', {'Deadline-Ms': '3000'})
        self.record.note(
            f'client sends {method} {prefix}{job} to node-{number}'
        )
        status, content = await call(
            self.nodes[number]['front'],
            method,
            f'{prefix}{job}',
            body,
            headers,
            **options,
        )
        self.record.note(
            f'client is told {status} {content} on {method} {prefix}{job}'
        )
        return status, content

    async def close(self):
        """End all processes that were started, and remove the folder."""
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for worker in self.workers:
            if worker.is_up:
                worker.crash()
        for server in self._servers:
            server.close()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def started_after_done(workers):
    """Return the tasks that started after an end `done` taken note of.

    The rule TWICE without its time bounds: the end counts whenever it was
    taken note of, unless the lease of its worker lapsed before that.
    """
    done_s = {}
    for worker in workers:
        for end in worker.listed_ends:
            if end['how'] == 'done' and end['noted_s'] is not None:
                known_s = done_s.get(end['task'], end['ended_s'])
                done_s[end['task']] = min(known_s, end['ended_s'])
    return sorted(
        {
            task
            for worker in workers
            for started_s, task, _ in worker.starts
            if task in done_s and started_s > done_s[task]
        }
    )


def run_case(case, limit_s=110):
    """Run a case; exit with 1 if it breaks its rule, 2 if it can't run."""
    folder = pathlib.Path(os.environ['CASE'])
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    record.note(f'TROUBLE={int(trouble)}')

    async def limited():
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        breaches = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001
        record.note(f'the case could not run: {error!r}')
        return 2
    for breach in breaches:
        record.note(f'BROKEN: {breach}')
    record.note('the rule was broken' if breaches else 'the rule held')
    print('\n'.join(breaches) or 'held')
    return 1 if breaches else 0
