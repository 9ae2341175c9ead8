"""The key of a caller and the route of its database are withdrawn while its transaction is open."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import fleet
from fleet import Caller, Closed
from small import ACCOUNTS, Small

ROUTES = [{"host": "bolts", "kind": "primary", "timeoutMs": 1000},
          {"host": "stock", "kind": "primary", "timeoutMs": 1000}]
CONFIG_APPLY_S = 3.0
STATEMENT_PAUSE_S = 0.7
# Statements after the change, with the commit; a transaction has at most 12.
STATEMENTS = 10


async def case(record, scratch, hosts):
    small = Small(record, scratch, hosts)
    await small.start()
    small.configure(ROUTES)
    await small.start_hosts(1)
    caller = await Caller(record, hosts[0], "bolts", "key-mill").open()
    await caller.query("BEGIN")
    await caller.query("WRITE bolt-0 40")
    accounts = {**ACCOUNTS, "mill": ([], 200, 200)}
    if fleet.has_trouble():
        small.configure(ROUTES[1:], accounts)
        record("operator: version 2, without mill's key and the route bolts, is acknowledged")
    else:
        # The key alone: the host refuses the next statement.
        small.configure(ROUTES, accounts)
        record("operator: version 2, without mill's key, is acknowledged")
    acknowledged = time.monotonic()
    late = 0
    for number in range(1, STATEMENTS + 1):
        await asyncio.sleep(STATEMENT_PAUSE_S)
        sent = time.monotonic() - acknowledged
        text = "COMMIT" if number == STATEMENTS else f"WRITE bolt-{number} 40"
        try:
            statement_id, end, state = await caller.query(text)
        except Closed:
            break
        run = next((run for run in small.group.runs if run[0] == statement_id), None)
        if run and sent > CONFIG_APPLY_S:
            late += 1
            record(f"CONFIG: {statement_id} {text}, sent {sent:.2f} s after the acknowledgement, "
                   f"ran at {run[2]} for {run[3]}: {end}")
        if state != "T":
            break
    kept = small.group.leader.read(f"bolt-{STATEMENTS - 1}")
    record(f"{late} statements ran later than {CONFIG_APPLY_S} s with the withdrawn key; "
           f"bolt-{STATEMENTS - 1} at the primary: {kept}")
    return fleet.BROKEN if late else fleet.HELD


fleet.run(pathlib.Path(__file__).resolve().parent, case)
