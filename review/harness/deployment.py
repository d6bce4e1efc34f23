"""A small deployment of the project's programs beside the stand-ins."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import stub_http
import stub_store
import stub_workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROUTE_HOST = 'cell.example'
PREFIX = '/jobs/'
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
_READY_S = 25.0
_KEPT_VARIABLES = ('PATH', 'HOME', 'LANG')
_SETTINGS = """\
nodeName={name}
role=entry
machineClass=edge
serves=edge,ctl
ip={ip}
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
seeds={seeds}
bootstrap=true
limits.cpuShare=0.537
limits.cores={cores}
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
heartbeatMs=1500
bounds.stableWindowMs=3000
bounds.graceS=6
bounds.holdMaxMs=10000
bounds.stopMs=400
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.status_s=120
bounds.leaseMs=3000
controlMode=push
platform.addr={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
"""


class NotRunError(Exception):
    """The case could not run."""


class Node:
    """One process of the system."""

    def __init__(self, number, name, cores):
        self.number = number
        self.name = name
        self.cores = cores
        # Each node has an address of its own, as its metrics port is fixed.
        self.ip = f'127.0.0.{11 + number}'
        self.ports = [_free_port(self.ip) for _ in range(3)]
        self.process = None
        self.settings_path = ''

    @property
    def front(self):
        """Return the address for clients."""
        return f'{self.ip}:{self.ports[0]}'

    @property
    def ready(self):
        """Return the address of the readiness probe."""
        return f'{self.ip}:{self.ports[1]}'

    @property
    def control(self):
        """Return the address for other nodes."""
        return f'{self.ip}:{self.ports[2]}'


class Deployment:
    """Starts nodes, workers and the store, and ends them."""

    def __init__(self, record_path, node_cores, worker_count, length_s):
        """Create them; node_cores holds the cores of each node."""
        self._record_file = record_path.open('w', encoding='utf-8')
        self._began_s = time.monotonic()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = stub_store.Store()
        self.ledger = stub_workers.Ledger(self.record)
        self.nodes = [
            Node(number, f'node-{number}', cores)
            for number, cores in enumerate(node_cores)
        ]
        self._worker_count = worker_count
        self._length_s = length_s
        self.workers = []
        # Status of each submission, by job.
        self.accepted = {}

    def record(self, text):
        """Write a line to the record."""
        elapsed_s = time.monotonic() - self._began_s
        self._record_file.write(f'{elapsed_s:9.3f} {text}\n')
        self._record_file.flush()

    async def start(self, labels=lambda _number: ()):
        """Start everything and wait until all nodes are ready."""
        for number in range(self._worker_count):
            worker = stub_workers.Worker(
                number,
                self.store,
                self.ledger,
                self._length_s,
                self.record,
                labels(number),
            )
            await worker.start()
            self.workers.append(worker)
        self._configure()
        for node in self.nodes:
            await self._start_node(node)
        end_s = time.monotonic() + _READY_S
        for node in self.nodes:
            while (await stub_http.call(node.ready, 'GET', '/api/ready'))[
                0
            ] != 200:
                if time.monotonic() > end_s:
                    raise NotRunError(f'{node.name} does not get ready')
                await asyncio.sleep(0.1)
        while self.store.claimant() is None:
            await asyncio.sleep(0.05)

    def _configure(self):
        route = {
            'name': 'jobs',
            'host': ROUTE_HOST,
            'prefix': PREFIX,
            'kind': 'mutating',
            'timeoutMs': 3000,
            'sloMs': 1200,
            'priority': 0,
            'service': 'pool',
            'attempts': 4,
            'stretch': 2.2,
        }
        self.store.put(
            'op/config',
            json.dumps(
                {
                    'version': 1,
                    'routes': [route],
                    'services': [{'name': 'pool', 'admissionCheck': False}],
                    'limits': {'maxBodyBytes': 262144},
                }
            ).encode(),
        )

    async def _start_node(self, node):
        port = await self.store.open_port(node.name)
        path = self._folder / f'{node.name}.conf'
        path.write_text(
            _SETTINGS.format(
                name=node.name,
                ip=node.ip,
                front=node.ports[0],
                ready=node.ports[1],
                control=node.ports[2],
                seeds=','.join(each.control for each in self.nodes[:3]),
                cores=node.cores,
                store=f'{stub_http.HOST}:{port}',
            ),
            encoding='utf-8',
        )
        node.settings_path = str(path)
        self._launch(node)

    def _launch(self, node):
        with (ROOT / 'deploy/system.toml').open('rb') as file:
            command = tomllib.load(file)['roles']['entry']['run'].split()
        variables = {
            name: os.environ[name]
            for name in _KEPT_VARIABLES
            if name in os.environ
        }
        variables['PYTHONPATH'] = str(ROOT / 'target/deps')
        variables['WALNUTPOINT_NODE_FILE'] = node.settings_path
        log_path = self._folder / f'{node.name}.log'
        with log_path.open('ab') as log:
            node.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def log(self, node):
        """Return what a node has logged."""
        path = self._folder / f'{node.name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def scheduler(self):
        """Return the node that schedules, as the store knows it."""
        name = self.store.claimant()
        return next(node for node in self.nodes if node.name == name)

    def signal(self, node, number):
        """Send a signal to a node's process."""
        self.record(f'fault {signal.Signals(number).name} to {node.name}')
        node.process.send_signal(number)

    async def restart(self, node):
        """Start a node again once its process has ended."""
        while node.process.poll() is None:
            await asyncio.sleep(0.05)
        self.record(f'fault {node.name} starts again')
        self._launch(node)

    async def submit(self, node, job_id, steps):
        """Submit a job, repeat it as clients do, and return the status."""
        status = 0
        for attempt in range(5):
            target = self.nodes[(node.number + attempt) % len(self.nodes)]
            status, _ = await self._call(
                target, 'POST', job_id, {'spec': f's-{job_id}', 'steps': steps}
            )
            self.record(f'send  POST {job_id} to {target.name}: {status}')
            if status == 200:
                self.accepted[job_id] = steps
            if status not in (0, 502, 504):
                break
        return status

    async def state(self, node, job_id):
        """Return a job's state, or the status of an error as text."""
        status, body = await self._call(node, 'GET', job_id)
        return body['state'] if status == 200 else str(status)

    async def cancel(self, node, job_id):
        """Cancel a job and return the status."""
        status, _ = await self._call(node, 'DELETE', job_id)
        self.record(f'send  DELETE {job_id} to {node.name}: {status}')
        return status

    async def _call(self, node, method, job_id, content=None):
        headers = (('Host', ROUTE_HOST), ('Deadline-Ms', '3000'))
        return await stub_http.call(
            node.front, method, PREFIX + job_id, content, headers, 3.2
        )

    def close(self):
        """End all processes that were started."""
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        self._record_file.close()
        if 'KEEP' not in os.environ:
            shutil.rmtree(self._folder)


def _free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def has_trouble():
    """Return whether to bring about the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(play):
    """Run a case and exit with 1 if a rule was broken, 0 if none was."""
    try:
        broken = asyncio.run(asyncio.wait_for(play(), 115.0))
    except Exception:
        # Also a fault of the stand-ins: it says nothing about the rule.
        traceback.print_exc()
        print('the case could not run')
        sys.exit(EXIT_NOT_RUN)
    for text in broken:
        print(f'broken: {text}')
    print(f'{len(broken)} times broken' if broken else 'the rule held')
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
