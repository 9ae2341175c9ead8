"""A host is stopped by SIGTERM while callers go on using the sessions that it has not closed yet."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import fleet
from fleet import Caller, Closed
from small import Small

ROUTES = [{"host": "bolts", "kind": "primary", "timeoutMs": 2000}]
IDLE_SESSIONS = 28
ACTIVE_SESSIONS = 2
# Work of a large write at the primary; below the route's timeout of 2 s.
LARGE_WORK_S = 1.85
PAUSE_S = 0.04
# When the active sessions send their large writes, counted from SIGTERM.
LARGE_SENT_S = (3.3, 3.4)
GRACE_S = 6.0
EXCUSED_SENT_S = 3.0
LOSS_SLACK_S = 0.2


async def use_session(record, small, stopped_at, lost, number):
    """Sends short reads on one session, and a large write once it has its turn."""
    caller = await Caller(record, small.hosts[0], "bolts", "key-mill").open()
    while True:
        is_large = time.monotonic() >= stopped_at() + LARGE_SENT_S[number]
        text = f"WRITE bolt-{number} 40" if is_large else f"READ bolt-{number}"
        sent = time.monotonic()
        try:
            await caller.query(text, silent=not is_large)
        except Closed:
            after_stop, held = sent - stopped_at(), time.monotonic() - sent
            arrived = [entry for entry in small.group.arrivals if entry[1] == text]
            if is_large and arrived and after_stop > EXCUSED_SENT_S and held > LOSS_SLACK_S:
                lost.append(text)
                record(f"LOST: {text}, sent {after_stop:.2f} s after SIGTERM, was passed on to "
                       f"{arrived[0][2]} and cut off after {held:.2f} s")
            return
        if is_large:
            return
        await asyncio.sleep(PAUSE_S)


async def case(record, scratch, hosts):
    small = Small(record, scratch, hosts)
    small.group.work = lambda text: LARGE_WORK_S if text.startswith("WRITE") else 0.008
    await small.start()
    small.configure(ROUTES)
    await small.start_hosts(1)
    idle = [await Caller(record, hosts[0], "bolts", "key-desk").open()
            for _ in range(IDLE_SESSIONS)]
    lost, stopped = [], [float("inf")]
    callers = [asyncio.create_task(use_session(record, small, lambda: stopped[0], lost, number))
               for number in range(ACTIVE_SESSIONS)]
    await asyncio.sleep(2)
    stopped[0] = time.monotonic()
    if fleet.has_trouble():
        record("platform: SIGTERM to host-1")
        hosts[0].send(signal.SIGTERM)
    await asyncio.gather(*callers)
    await asyncio.sleep(0.3)
    code = hosts[0].process.poll()
    record(f"{len(lost)} writes lost; host-1 is {'running' if code is None else 'gone'}")
    for caller in idle:
        caller.close()
    return fleet.BROKEN if lost else fleet.HELD


fleet.run(pathlib.Path(__file__).resolve().parent, case)
