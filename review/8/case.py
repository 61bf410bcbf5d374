"""Six of eleven machines lose power at once: the largest of a zone, which are next in turn to read the store."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import (  # noqa: E402
    BOUNDS, TROUBLE, Client, Site, Worker, play, route, service, tenant)

LARGE, SMALL = 512, 260
# Six large and two small machines in one zone, three small ones in another.
MACHINES = [("hanko", LARGE)] * 6 + [("hanko", SMALL)] * 2 + [("porkkala", SMALL)] * 3
KILLED = 6
DARK_S = 6
# How long the worker goes on after `drainMs` before it exits.
LONGER_S = 0.5


async def case(record, holder):
    site = Site(["hanko", "porkkala"], record)
    holder["sites"] = [site]
    await site.start_platform()
    routes = [route("slot-lookup", "/lookup/", "safe", "booking-app"),
              route("booking-confirm", "/confirm/", "unsafe", "booking-app")]
    services = [service("booking-app")]
    site.write_config(routes, services, [tenant("club", "k1"), tenant("guests", "k2")])
    workers = []
    for number in range(4):
        zone = ["hanko", "porkkala"][number % 2]
        worker = await Worker(site.store, record, "booking-app", zone, work_s=0.03).start()
        worker.register()
        workers.append(worker)
    site.workers = workers
    await site.start_daemons(MACHINES)
    await asyncio.sleep(5)

    stop = asyncio.Event()
    asked = []

    async def ask_always(daemon, key, path):
        client = Client(daemon.front, record, key)
        while not stop.is_set():
            if path == "/lookup/a":
                result = await client.ask("GET", path)
            else:
                result = await client.ask("POST", path, b'{"board":1}')
            asked.append((daemon, key, *result[:3]))  # the id, when it was sent, and the status
            await asyncio.sleep(random.uniform(0.01, 0.04))
        client.close()

    survivors = site.daemons[KILLED:]
    clients = [asyncio.ensure_future(ask_always(daemon, key, path))
               for daemon in survivors for key in ("k1", "k2")
               for path in ["/lookup/a"] + ["/confirm/a"] * (6 if daemon.zone == "hanko" else 1)]
    await asyncio.sleep(4)

    # The disruption, and right after it the operator's changes; the store is sound and acknowledges them at once.
    if TROUBLE:
        for daemon in site.daemons[:KILLED]:
            daemon.signal(signal.SIGKILL)
        record.add("%d machines lose power" % KILLED)
    await asyncio.sleep(0.02)
    leaving = workers[0]
    leaving.drain()
    drained = record.now()
    record.add("the store acknowledges that worker %s is draining" % leaving.id)
    site.write_config(routes, services, [tenant("club", "k1")])
    applied = record.now()
    record.add("the store acknowledges a configuration without the tenant of key k2")

    drain_s, apply_s = BOUNDS["drainMs"] / 1000, BOUNDS["configApplyMs"] / 1000
    # The worker serves on for `drainMs` and a little longer, and exits.
    await asyncio.sleep(drained + drain_s + LONGER_S - record.now())
    leaving.exit()
    record.add("worker %s exits" % leaving.id)
    await asyncio.sleep(DARK_S - drain_s)
    stop.set()
    await asyncio.gather(*clients)

    late = [run for run in leaving.ran if run["at"] > drained + drain_s]
    known = {row[2]: row for row in asked}
    last = max([run["at"] - drained for run in leaving.ran], default=0)
    late_ids = {run["id"] for run in late if run["method"] == "POST"}
    lost = [row for row in asked if row[2] in late_ids and row[4] != 200]
    ran = {run["id"] for worker in workers for run in worker.ran}
    stale = [row for row in asked if row[1] == "k2" and row[3] > applied + apply_s and row[2] in ran]
    last_stale = max([row[3] - applied for row in asked if row[1] == "k2" and row[2] in ran], default=0)
    where = sorted({known[run["id"]][0].name for run in late if run["id"] in known})
    summary = [
        "requests that clients sent to the machines that were never in trouble: %d" % len(asked),
        "DRAIN: requests that reach the worker over %d ms after its draining was acknowledged: %d, through %s; "
        "the last one after %d ms" % (BOUNDS["drainMs"], len(late), ", ".join(where) or "none", last * 1000),
        "of these, bookings that the worker ran until it exited, and that got no answer of it: %d" % len(lost),
        "besides, CONFIG: requests sent over %d ms after the configuration that drops their key was acknowledged, and run: %d; "
        "the last one after %d ms" % (BOUNDS["configApplyMs"], len(stale), last_stale * 1000),
    ]
    return not late, summary


play(HERE, case)
