"""A synchronous replica is cut from the store and unlisted; then the primary crashes."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import fleet
from fleet import Caller, Closed
from small import Small

ROUTES = [{"host": "bolts", "kind": "primary", "timeoutMs": 1000}]
WRITERS = 4
# Replication lag of the two replicas; both within what the sites state (mean 20, at most 120 ms).
LAGS_S = (0.06, 0.01)
# Time from the removal of the replica's entry to the crash of the primary.
UNLISTED_S = 1.0
RECOVERY_S = 8.0


async def write(record, host, number, acknowledged):
    caller = await Caller(record, host, "bolts", "key-mill").open()
    count = 0
    try:
        while True:
            count += 1
            text = f"WRITE bolt-{number}-{count} 40"
            statement_id, end, _ = await caller.query(text, silent=True)
            if end == "DONE":
                acknowledged[statement_id] = text
            else:
                await asyncio.sleep(0.2)
    except (Closed, asyncio.CancelledError):
        caller.close()


async def case(record, scratch, hosts):
    small = Small(record, scratch, hosts, sync_replicas=1)
    await small.start()
    primary, *replicas = small.group.targets
    for replica, lag_s in zip(replicas, LAGS_S):
        replica.lag_s = lag_s
    small.configure(ROUTES)
    await small.start_hosts(2)
    acknowledged = {}
    writers = [asyncio.create_task(write(record, hosts[n % 2], n, acknowledged))
               for n in range(WRITERS)]
    await asyncio.sleep(1)
    if fleet.has_trouble():
        # TROUBLE=crash leaves the replica listed, for comparison.
        if os.environ.get("TROUBLE") != "crash":
            record(f"target {replicas[1].name}: is cut from the store, not from targets and hosts")
            await replicas[1].cut_from_store()
            record(f"store: removes the entry of {replicas[1].name}")
        await asyncio.sleep(UNLISTED_S)
        record(f"target {primary.name}: crashes, position {primary.position}; "
               + ", ".join(f"{r.name} has received {r.position}" for r in replicas))
        primary.crash()
    await asyncio.sleep(RECOVERY_S)
    for writer in writers:
        writer.cancel()
    lost = []
    for at, target, kept in small.group.promotions:
        made = [c for c, _ in small.group.commits if c.id in acknowledged and c.at < at]
        lost += [c for c in made if c.id not in kept]
        record(f"{target.name} was promoted with {len(kept)} commits; {len(made)} were acknowledged")
    for commit in lost:
        record(f"LOST: {commit.id} {acknowledged[commit.id]} at {commit.position} was acknowledged")
    record(f"{len(acknowledged)} commits acknowledged, {len(lost)} of them lost")
    return fleet.BROKEN if lost else fleet.HELD


fleet.run(pathlib.Path(__file__).resolve().parent, case)
