"""The daemon that reports usage is stopped and started in turn, around a drill of the store."""

import asyncio
import os
import signal
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
from standins import *  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["brno", "olomouc", "praha"]
TENANTS = ["hule930", "fida11"]
# Bookings a second at each daemon.
RATE = 20
# After a usage report: the daemon gets SIGTERM, and the store goes away.
TERM_S, DRILL_S = 0.1, 2.2
# Pause between the end of a process and its next start, and its grace.
RESTART_S, GRACE_S = 0.5, 8.0
# How long the store is away, and how old the copy is from which it comes back.
AWAY_S, COPY_S = 1.2, 7.0


async def ask(daemon, record, tenant):
    request, client = new_id(), Client(daemon.front)
    try:
        await client.connect()
        client.send("POST", "/booking/new", request, b"{}",
                    [("Poplarvale-Deadline-Ms", "1500"), ("Authorization", f"Bearer {tenant}-key")])
        got = await asyncio.wait_for(client.receive(), 2)
        record(f"client: {request} of {tenant} to {daemon.name}: {got and got[0]}")
        client.close()
    except (OSError, asyncio.TimeoutError) as error:
        record(f"client: {request} of {tenant} to {daemon.name}: {error!r}")


async def traffic(daemons, record):
    asked = set()
    while True:
        for daemon in daemons:
            task = asyncio.create_task(ask(daemon, record, TENANTS[len(asked) % 2]))
            asked.add(task)
        await asyncio.sleep(1 / RATE)


def reports(cloud):
    """Counts of each window that were reported, different ones only."""
    found = {}
    for call in cloud.calls:
        if call["path"] == "/usage":
            counts = found.setdefault(call["body"]["windowSeq"], [])
            if call["body"]["counts"] not in counts:
                counts.append(call["body"]["counts"])
    return found


async def start_again(daemon, record):
    """Waits until a process has ended, for its grace at most, and starts it again."""
    until = time.monotonic() + GRACE_S
    while daemon.process.poll() is None and time.monotonic() < until:
        await asyncio.sleep(0.02)
    daemon.kill()
    record(f"daemon {daemon.name}: has ended")
    await asyncio.sleep(RESTART_S)
    daemon.start()


async def main(where):
    record = Record(HERE)
    record(f"disruption: {'a drill of the store' if TROUBLE else 'none'}")
    store, cloud = await Store(record).listen(), await Cloud(record).listen()
    tasks = [asyncio.create_task(store.expire()), asyncio.create_task(store.copy())]
    for number, zone in enumerate(ZONES):
        worker = await Worker(record, f"i-{number}7f3a91c").listen()
        tasks.append(asyncio.create_task(worker.beat(store, zone)))
    await store.put("op/config", config(tenants=TENANTS))
    daemons = daemons_of(44, ROOT, where, record, store, cloud, ZONES)
    try:
        for daemon in daemons:
            daemon.start()
        if not all(await asyncio.gather(*[daemon.until_ready() for daemon in daemons])):
            print("the daemons did not get ready")
            return 2
        tasks.append(asyncio.create_task(traffic(daemons, record)))
        until = time.monotonic() + 40
        while len(reports(cloud)) < 4 and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if len(reports(cloud)) < 4:
            print("no usage was reported")
            return 2
        reported = time.monotonic()
        holder = next(one for one in daemons if one.name == cloud.calls[-1]["holder"])
        await asyncio.sleep(reported + TERM_S - time.monotonic())
        holder.send(signal.SIGTERM)
        restart = asyncio.create_task(start_again(holder, record))
        await asyncio.sleep(reported + DRILL_S - time.monotonic())
        drill = asyncio.create_task(store.drill(AWAY_S, COPY_S)) if TROUBLE else None
        await restart
        if drill:
            await drill
        await asyncio.sleep(12)
        different = {window: counts for window, counts in reports(cloud).items() if len(counts) > 1}
        for window, counts in different.items():
            record(f"rule: window {window} was reported as {counts}")
        print(f"windows reported {len(reports(cloud))}, with different counts {different}")
        return 1 if different else 0
    finally:
        for task in tasks:
            task.cancel()
        for daemon in daemons:
            daemon.kill()


if __name__ == "__main__":
    play(main)
