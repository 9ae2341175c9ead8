"""Runs session hosts as processes, with the command of deploy/system.toml, and callers of them."""
import asyncio
import os
import pathlib
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/bergamotvale/local.toml"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 20


def has_trouble():
    """Whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Recorder:
    """Writes lines with their time to the case's record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, line):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {line}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as listener:
        listener.bind((ip, 0))
        return listener.getsockname()[1]


def free_udp_port(ip):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind((ip, 0))
        return bound.getsockname()[1]


class Host:
    """One session host, a process of its own."""

    def __init__(self, folder, name, domain, ip, store, bounds):
        self.name, self.ip, self.folder = name, ip, pathlib.Path(folder)
        self.callers, self.readiness = (ip, free_port(ip)), (ip, free_port(ip))
        self.settings = self.folder / f"{name}.yaml"
        self.settings.write_text(
            f'name: "{name}"\ndomain: "{domain}"\nlisten:\n'
            f'  callers: "{ip}:{self.callers[1]}"\n  readiness: "{ip}:{self.readiness[1]}"\n'
            f'  peers: "{ip}:{free_udp_port(ip)}"\n  metrics: "{ip}:{free_port(ip)}"\n'
            f'store: "{store[0]}:{store[1]}"\npromotion: "{store[0]}:{store[1]}"\n'
            f"times:\n  drain: {bounds['drainMs']}\n  grace: {bounds['graceS']}\n"
            f"rates:\n  window: {bounds['quotaWindowS']}\n  overage: {bounds['quotaOverage']}\n"
            f"  slack: {bounds['quotaSlack']}\ndescriptors: 6300\n", encoding="utf-8")
        self.process = None

    def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)[1]
        command = command.replace(SETTINGS_PATH, str(self.settings))
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command.split(" "), cwd=ROOT, stdout=log, stderr=log)

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        """The balancer's question."""
        try:
            reader, writer = await asyncio.open_connection(*self.readiness)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: host\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout_s=READY_TIMEOUT_S):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def log_lines(self, *words):
        text = (self.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if all(word in line for word in words)]


class Closed(Exception):
    """The host closed the connection."""


class Caller:
    """One caller's session."""

    def __init__(self, record, host, database, key):
        self.record, self.host, self.database, self.key = record, host, database, key

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.host.callers)
        self.writer.write(f"CONNECT {self.database} {self.key}\r\n".encode())
        line = await asyncio.wait_for(self._line(), 2)
        if not line.startswith("READY"):
            raise Closed(line)
        return self

    async def _line(self):
        try:
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Closed(str(error)) from error

    async def query(self, text, silent=False):
        """Sends a statement; returns its id, its end ("DONE" or the error code) and its state."""
        statement_id = secrets.token_hex(8)
        sent = time.monotonic()
        if not silent:
            self.record(f"caller: sends {statement_id} {text} to {self.host.name}")
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        rows, end = [], None
        while True:
            try:
                line = await self._line()
            except Closed:
                self.record(f"caller: connection closed, no answer to {statement_id} {text} "
                            f"after {time.monotonic() - sent:.3f} s")
                raise
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "DONE":
                end = "DONE"
                if rest == "-" and text.split(" ")[0] in ("READ", "WRITE", "COMMIT", "EXECUTE"):
                    end = "UNSIGNED"
            elif word == "ERROR":
                end = rest.split(" ")[0]
                detail = rest
            else:
                break
        if not silent:
            shown = end if end == "DONE" else detail
            self.record(f"caller: {statement_id} is answered {shown}, state {rest.split(' ')[0]}")
        self.rows = rows
        return statement_id, end, rest.split(" ")[0]

    def close(self):
        self.writer.close()


def run(folder, case, timeout_s=115):
    """Runs `case(record, scratch, hosts)`, ends all hosts, and exits with its result."""
    record = Recorder(folder)
    scratch = tempfile.mkdtemp(prefix="bergamotvale-review-")
    hosts = []

    async def bounded():
        return await asyncio.wait_for(case(record, scratch, hosts), timeout_s)

    # A signal from outside ends the hosts too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result = NOT_RUN
    try:
        result = asyncio.run(bounded())
    except Exception as error:  # pylint: disable=broad-except
        record(f"the case could not run: {type(error).__name__}: {error}")
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        for host in hosts:
            host.kill()
        if os.environ.get("KEEP_LOGS"):
            print(scratch, file=sys.stderr)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}
    record(f"result: {words[result]}")
    print(words[result])
    sys.exit(result)
