"""Stand-in of the platform: table service and promotion call, as PROTOCOL.md states them."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

ERA_HEADER = "Store-Era: 0"
# Time that a transaction takes, `txLatencyMs` of the settings.
TRANSACTION_S = 0.008


class Store:
    """Rows with one version counter, conditional transactions and a feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.started = time.monotonic()
        self.changed = asyncio.Event()
        # Called with the body of each transaction of a host. Returns the time in seconds after
        # which it is executed without an answer, or None if it is executed and answered.
        self.lost_write = lambda body: None
        # Whether all calls are refused with 503.
        self.is_down = False
        # Called with service and target of a promotion call; returns the HTTP status.
        self.promote = lambda service, target, headers: 409

    def put(self, table, key, value):
        """Writes a row unconditionally, as the operator and targets do; None removes it."""
        self.version += 1
        self._store(table, key, value)
        self._wake()
        return self.version

    def set_down(self, is_down):
        """Begins or ends an outage; polls that wait are refused too."""
        self.is_down = is_down
        self._wake()

    def _store(self, table, key, value):
        self.history.append((self.version, table, key, value))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, body):
        """Applies a transaction or none of it; returns whether its conditions held."""
        for row in body.get("expectedRev", []):
            known = self.rows.get((row["table"], row["key"]), (None, 0))[1]
            if known != row["ver"]:
                return False
        self.version += 1
        for row in body.get("writes", []):
            self._store(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", []):
            self._store(row["table"], row["key"], None)
        self._wake()
        return True

    def _reply(self, rows):
        now = int((time.monotonic() - self.started) * 1000) + 3_600_000
        return {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": now}

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def read(self, table, start):
        chosen = sorted((k, v) for (t, k), v in self.rows.items() if t == table and k >= start)
        return self._reply([self._row(table, key, value, ver) for key, (value, ver) in chosen])

    async def feed(self, table, after, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            if self.is_down:
                return None
            rows = [self._row(t, k, v, ver) for ver, t, k, v in self.history
                    if t == table and ver > after]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return self._reply(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, address):
        return await asyncio.start_server(self._serve_stream, *address)

    async def _serve_stream(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n", 1)[0].split(" ")
                headers = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                reply = await self._respond(method, urlsplit(target), headers, body)
                if reply is None:
                    # A connection on which an answer is lost delivers nothing further.
                    await asyncio.sleep(30)
                    return
                status, value = reply
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"{ERA_HEADER}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _respond(self, method, url, headers, body):
        if self.is_down:
            return 503, {}
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-get":
            return 200, self.read(query["table"], query.get("from", ""))
        if url.path == "/v1/rows-feed":
            wait_s = int(query.get("waitMs", 0)) / 1000
            reply = await self.feed(query["table"], int(query["after"]), wait_s)
            return (503, {}) if reply is None else (200, reply)
        if url.path == "/v1/rows-tx":
            change = json.loads(body)
            delay = self.lost_write(change)
            if delay is not None:
                asyncio.get_running_loop().call_later(delay, self._transact_late, change)
                return None
            await asyncio.sleep(TRANSACTION_S)
            done = self.transact(change)
            return (200, self._reply([])) if done else (412, self._reply([]))
        if url.path == "/promote":
            call = json.loads(body)
            return self.promote(call["service"], call["id"], headers), {}
        return 404, {}

    def _transact_late(self, change):
        done = self.transact(change)
        keys = [row["key"] for row in change.get("writes", []) + change.get("remove", [])]
        self.record(f"store: executes an unanswered write of {keys} late: {'done' if done else 'conflict'}")


def configuration(version, routes, services, accounts, idle_ms=3000):
    """The operator's configuration. `accounts` maps names to (keys, rate, burst)."""
    return json.dumps({
        "version": version,
        "routes": [{"name": f"r-{r['host']}", "prefix": "/", "priority": 1, "maxAttempts": 2,
                    "public": False, "latencyTargetMs": 600, **r} for r in routes],
        "services": [{"name": name, "healthPath": "/health", "protocol": "h1", "tls": False, **s}
                     for name, s in services.items()],
        "limits": {"txIdleMs": idle_ms},
        "tenants": [{"name": name, "apiKeys": keys, "ratePerS": rate, "burst": burst}
                    for name, (keys, rate, burst) in accounts.items()],
    }).encode()
