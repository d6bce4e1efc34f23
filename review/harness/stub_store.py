"""Stand-in of the platform's metadata store."""

import asyncio
import base64

import stub_http

_PAGE_ITEMS = 500
_CLAIM_KEY = 'walnutpoint/control/scheduler'


class Store:
    """Keys with revisions in memory; each node calls it at its own port."""

    def __init__(self, latency_s=0.004):
        self.latency_s = latency_s
        self.revision = 1
        # Value as base64 text, revision and creation, by key.
        self.items = {}
        # Revision, key and whether it was removed.
        self.events = []
        self._changed = asyncio.Event()
        # The node that took the scheduler's key, by revision.
        self.claims = {}
        # Events up to this revision are discarded.
        self._floor = 0
        # Watches that began before this count was raised are cut.
        self._cuts = 0
        self._is_mute = False

    async def open_port(self, node):
        """Return a port for one node."""
        server = stub_http.Server(lambda request: self._answer(node, request))
        await server.start()
        return server.port

    def put(self, key, value):
        """Write a key as the operator or a worker does."""
        self._apply([(key, base64.b64encode(value).decode())], [])

    def remove(self, key):
        """Remove a key as the platform does."""
        if key in self.items:
            self._apply([], [key])

    def value(self, key):
        """Return the bytes under a key, or None."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item[0])

    async def compact(self, mute_s):
        """Tell watches nothing for a while, then drop history and cut them."""
        self._is_mute = True
        await asyncio.sleep(mute_s)
        self._is_mute = False
        self._floor = self.revision
        self.events.clear()
        self._cuts += 1
        self._wake_watches()

    def _wake_watches(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _apply(self, puts, removed):
        self.revision += 1
        for key, text in puts:
            created = self.items[key][2] if key in self.items else None
            self.items[key] = (text, self.revision, created or self.revision)
            self.events.append((self.revision, key, False))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, True))
        self._wake_watches()

    async def _answer(self, node, request):
        await asyncio.sleep(self.latency_s)
        query = request.query
        if request.path == '/api/kv-key':
            if query['key'] not in self.items:
                return 404, {'currentRev': self.revision}
            item = self._item(query['key'])
            return 200, item | {'currentRev': self.revision}
        if request.path == '/api/kv-range':
            return self._range(query['prefix'], query.get('after', ''))
        if request.path == '/api/kv-watch':
            return await self._watch(
                query['prefix'], int(query['after']), int(query['waitMs'])
            )
        if request.path == '/api/kv-txn':
            return self._commit(node, request.json())
        return 404, None

    def _item(self, key):
        text, revision, created = self.items[key]
        return {
            'key': key,
            'value': text,
            'rev': revision,
            'created': created,
            'lease': 0,
        }

    def _range(self, prefix, after):
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [self._item(key) for key in keys[:_PAGE_ITEMS]],
            'truncated': len(keys) > _PAGE_ITEMS,
            'currentRev': self.revision,
        }

    async def _watch(self, prefix, after, wait_ms):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000
        cuts = self._cuts
        while True:
            if cuts != self._cuts:
                return stub_http.RESET
            if after < self._floor:
                return 410, None
            events = []
            if not self._is_mute:
                events = self._events_after(prefix, after)
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                # A mute watch must not skip the changes that it withheld.
                upto = after if self._is_mute else self.revision
                return 200, {'events': events, 'currentRev': upto}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _events_after(self, prefix, after):
        newest = {}
        for revision, key, removed in reversed(self.events):
            if revision <= after:
                break
            if key.startswith(prefix) and key not in newest:
                newest[key] = (revision, removed)
        rows = []
        for key, (revision, removed) in newest.items():
            if removed:
                rows.append({'key': key, 'rev': revision, 'deleted': True})
            else:
                rows.append(self._item(key))
        return sorted(rows, key=lambda row: row['rev'])

    def _commit(self, node, body):
        conditions = body.get('precondition', [])
        puts = [(row['key'], row['value']) for row in body.get('puts', [])]
        removed = body.get('remove', [])
        held = [
            self.items[row['key']][1] if row['key'] in self.items else 0
            for row in conditions
        ]
        if any(
            row['rev'] != revision
            for row, revision in zip(conditions, held, strict=True)
        ):
            current = [
                self._item(row['key'])
                for row in conditions
                if row['key'] in self.items
            ]
            return 412, {'items': current}
        self._apply(puts, removed)
        if any(key == _CLAIM_KEY for key, _ in puts):
            self.claims[self.revision] = node
        return 200, {'rev': self.revision}

    def claimant(self):
        """Return the node that took the scheduler's key last, or None."""
        return self.claims[max(self.claims)] if self.claims else None
