"""Stand-in of a group of targets: a log each, replication, promotion, the wire of PROTOCOL.md."""
import asyncio
import json
import secrets
import time

SLOTS = 3
QUEUE = 24
HANDSHAKE_S = 0.012
REPLICATION_INTERVAL_S = 0.002
HEARTBEAT_S = 1.2
# Time after which an old primary that reaches the new one becomes its replica.
STEP_DOWN_S = 1.0
STATEMENT_S = 0.008
STATUS_S = 0.008


class Commit:
    """A commit in a log: its position, its writes, the id of its statement and when it was made."""

    def __init__(self, position, writes, statement_id):
        self.position, self.writes, self.id = position, writes, statement_id
        self.at = time.monotonic()


class Target:
    """One target: listener, log and directory entry."""

    def __init__(self, group, name, address, domain, role):
        self.group, self.name, self.address, self.domain = group, name, address, domain
        self.role, self.term, self.log = role, 1, []
        self.lag_s = group.lag_s
        self.paused_below = 0
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.draining = self.crashed = False
        # Whether heartbeats reach the store.
        self.reaches_store = True
        self.slots = asyncio.Semaphore(SLOTS)
        self.queued = 0
        self.writers = set()
        self.server = None

    @property
    def position(self):
        number = self.log[-1].position[1] if self.log else 0
        return (self.term, number)

    def read(self, item):
        for commit in reversed(self.log):
            for name, data in reversed(commit.writes):
                if name == item:
                    return data
        return "-"

    def has(self, statement_id):
        return any(commit.id == statement_id for commit in self.log)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)
        asyncio.create_task(self._heartbeat())

    async def _heartbeat(self):
        while not self.crashed:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        if self.crashed or not self.reaches_store:
            return
        self.sequence += 1
        entry = {"service": self.group.service, "address": "%s:%d" % self.address,
                 "zone": self.domain, "version": "v1", "slots": SLOTS,
                 "state": "draining" if self.draining else "ready", "coldRemainingMs": 0,
                 "dbRole": self.role, "seq": self.sequence, "born": self.born}
        self.group.store.put("servers", self.name, json.dumps(entry).encode())

    async def cut_from_store(self):
        """Cuts the target from the store, which removes its entry after three heartbeats."""
        self.reaches_store = False
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.group.store.put("servers", self.name, None)

    def crash(self):
        """Ends the process: closes the listener and all connections."""
        self.crashed = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await Session(self, reader, writer).run()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def occupy(self, seconds):
        """Occupies a slot for a time; False if too many statements wait."""
        if self.queued >= QUEUE + SLOTS:
            return False
        self.queued += 1
        try:
            async with self.slots:
                await asyncio.sleep(seconds)
        finally:
            self.queued -= 1
        return True


class Group:
    """A primary and its replicas."""

    def __init__(self, store, record, service, lag_s=0.008, promote_s=0.3, sync_replicas=0):
        self.store, self.record, self.service = store, record, service
        self.lag_s, self.promote_s, self.sync_replicas = lag_s, promote_s, sync_replicas
        self.targets = []
        # Time that a statement works, by its text.
        self.work = lambda text: STATEMENT_S
        # Promotion calls that were accepted: (time, target). Promotions that took effect: (time,
        # target, ids of the commits in its log).
        self.calls = []
        self.promotions = []
        # All commits, with the target that made them, also those that were rolled back later.
        self.commits = []
        # Statements of callers that arrived, and those that ran: (id, text, target, account, time).
        self.arrivals = []
        self.runs = []

    def add(self, name, address, domain, role):
        self.targets.append(Target(self, name, address, domain, role))
        return self.targets[-1]

    async def start(self):
        for target in self.targets:
            await target.start()
        asyncio.create_task(self._replicate())

    @property
    def leader(self):
        leading = [t for t in self.targets if t.role == "primary"]
        return max(leading, key=lambda t: t.term) if leading else None

    def promote(self, service, name, headers):
        """The platform's promotion call."""
        target = next((t for t in self.targets if t.name == name), None)
        if service != self.service or target is None or target.crashed:
            return 409
        holder, fence = headers.get("lease-holder"), headers.get("fencing-token")
        self.record(f"platform: promote {name} by {holder} with fence {fence}")
        if target is not self.leader:
            self.calls.append((time.monotonic(), target))
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, target)
        return 200

    def _lead(self, target):
        if target is self.leader or target.crashed:
            return
        old = self.leader
        target.term = max(t.term for t in self.targets) + 1
        target.role = "primary"
        for other in self.targets:
            other.paused_below = 0
        self.promotions.append((time.monotonic(), target, {commit.id for commit in target.log}))
        self.record(f"platform: {target.name} leads term {target.term}, position {target.position}")
        target.register()
        if old:
            asyncio.get_running_loop().call_later(STEP_DOWN_S, self.step_down, old)

    def step_down(self, target):
        if target.role == "primary" and target is not self.leader and not target.crashed:
            target.role = "replica"
            self.record(f"target {target.name}: becomes a replica")
            target.register()

    async def _replicate(self):
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            leader = self.leader
            if leader is None or leader.crashed:
                continue
            now = time.monotonic()
            for replica in self.targets:
                is_receiving = replica.role == "replica" and leader.term >= replica.paused_below
                if replica is leader or replica.crashed or not is_receiving:
                    continue
                due = [c for c in leader.log if now - c.at >= replica.lag_s]
                common = 0
                while (common < min(len(due), len(replica.log))
                       and due[common] is replica.log[common]):
                    common += 1
                is_fork = any(c not in leader.log for c in replica.log[common:])
                if is_fork or len(due) > common:
                    keep = common if is_fork else max(common, len(replica.log))
                    replica.log = replica.log[:keep] + due[keep:]
                replica.term = leader.term

    def is_received(self, commit):
        holders = [t for t in self.targets if t is not self.leader and commit in t.log]
        return len(holders) >= self.sync_replicas


class Session:
    """One connection to a target."""

    def __init__(self, target, reader, writer):
        self.target, self.group = target, target.group
        self.reader, self.writer = reader, writer
        self.values, self.prepared, self.transaction = {}, {}, None
        self.account = None

    def _send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def _ready(self):
        state = "I"
        if self.transaction is not None:
            state = "E" if self.transaction["failed"] else "T"
        return "READY %s %d.%d" % (state, *self.target.position)

    def _error(self, code, detail="-"):
        if self.transaction is not None and code != "BUSY":
            self.transaction["failed"] = True
        self._send(f"ERROR {code} {detail}", self._ready())

    def _done(self, statement_id, *rows, signed=True):
        signature = f"{self.target.name}.{statement_id}.{secrets.token_hex(6)}" if signed else "-"
        self._send(*(f"ROW {row}" for row in rows), f"DONE {signature}", self._ready())

    async def _line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def run(self):
        word, _, rest = (await self._line()).partition(" ")
        fields = rest.split(" ")
        if word != "CONNECT" or fields[0] != self.group.service or fields[2:3] not in (
                [], [self.target.name]):
            self._send(f"ERROR MISROUTED {self.target.name}")
            return
        self.account = fields[1]
        await self.target.occupy(HANDSHAKE_S)
        self._send(self._ready())
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word != "QUERY":
                return
            statement_id, _, text = rest.partition(" ")
            if statement_id != "-":
                self.group.arrivals.append(self._entry(statement_id, text))
            await self._query(statement_id, text)
            await self.writer.drain()

    async def _query(self, statement_id, text):
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            floor, _, text = rest.partition(" ")
            if self.target.position < tuple(int(part) for part in floor.split(".")):
                return self._error("LAGGING")
            word, _, rest = text.partition(" ")
        if self.transaction and self.transaction["failed"] and word not in ("COMMIT", "ROLLBACK"):
            return self._error("MALFORMED")
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in self.prepared:
                return self._error("NOSTMT", name)
            word = self.prepared[name].split(" ")[0]
            rest = arguments
        action = getattr(self, "_" + word.lower(), None)
        if action is None:
            return self._error("MALFORMED")
        await action(statement_id, rest)

    def _entry(self, statement_id, text):
        return (statement_id, text, self.target.name, self.account, time.monotonic())

    async def _work(self, statement_id, text):
        if not await self.target.occupy(self.group.work(text)):
            self._error("BUSY")
            return False
        if statement_id != "-":
            self.group.runs.append(self._entry(statement_id, text))
        return True

    async def _set(self, _, rest):
        name, _, value = rest.partition(" ")
        self.values[name] = value
        self._done("-", signed=False)

    async def _prepare(self, _, rest):
        name, _, shape = rest.partition(" ")
        self.prepared[name] = shape
        self._done("-", signed=False)

    async def _reset(self, *_):
        self.values, self.prepared = {}, {}
        self._done("-", signed=False)

    async def _begin(self, _, rest):
        read_only = rest == "READ"
        if not read_only and self.target.role != "primary":
            return self._error("READONLY", self.target.name)
        self.transaction = {"read_only": read_only, "writes": [], "failed": False}
        self._done("-", signed=False)

    async def _rollback(self, *_):
        self.transaction = None
        self._done("-", signed=False)

    async def _read(self, statement_id, item):
        if await self._work(statement_id, f"READ {item}"):
            self._done(statement_id, self.target.read(item))

    async def _write(self, statement_id, rest):
        if not await self._work(statement_id, f"WRITE {rest}"):
            return
        if self.target.role != "primary":
            return self._error("READONLY", self.target.name)
        item, _, data = rest.partition(" ")
        if self.transaction is not None:
            self.transaction["writes"].append((item, data))
            return self._done(statement_id)
        await self._commit_writes(statement_id, [(item, data)])

    async def _commit(self, statement_id, _):
        if self.transaction is None:
            return self._error("MALFORMED")
        if not await self._work(statement_id, "COMMIT"):
            return
        transaction, self.transaction = self.transaction, None
        if transaction["failed"]:
            return self._error("ABORTED")
        if not transaction["writes"]:
            return self._done(statement_id)
        if self.target.role != "primary":
            return self._error("READONLY", self.target.name)
        await self._commit_writes(statement_id, transaction["writes"])

    async def _commit_writes(self, statement_id, writes):
        term, number = self.target.position
        commit = Commit((term, number + 1), writes, statement_id)
        self.target.log.append(commit)
        self.group.commits.append((commit, self.target))
        while self.group.sync_replicas and not self.group.is_received(commit):
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            if commit not in self.target.log or self.target.crashed:
                return self.writer.transport.abort()
        self._done(statement_id)

    def _status_row(self):
        target = self.target
        return "%s %d %d.%d %d %d %d %d" % (target.role, target.term, *target.position,
                                            target.paused_below, int(target.lag_s * 1000),
                                            target.queued, len(target.writers))

    async def _status(self, *_):
        if not await self.target.occupy(STATUS_S):
            return self._error("BUSY")
        self._done("-", self._status_row(), signed=False)

    async def _pause(self, _, rest):
        if self.target.role == "replica" and int(rest) > self.target.term:
            self.target.paused_below = int(rest)
        await self._status()

    async def _resume(self, *_):
        self.target.paused_below = 0
        await self._status()

    async def _demote(self, _, rest):
        if self.target.role == "primary" and self.target.term < int(rest):
            self.target.role = "replica"
            self.group.record(f"target {self.target.name}: demoted")
            self.target.register()
        await self._status()
