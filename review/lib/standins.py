"""Stand-ins of the platform for the review's scripts: the store, the cloud API, workers and clients.

They speak what the users' pages describe, on loopback addresses and the real clock, and behave like
sound ones unless a case tells them otherwise. Daemons are started as processes of their own.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

START = time.monotonic()
# Limits of one page of the store.
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")


def free_port(ips):
    """A port that is free on all these addresses, for TCP and UDP."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no free port")


async def read_head(reader):
    """Start line and fields of a message, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Body of a request."""
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return b""


def answer(status, body=b"", fields=()):
    """An encoded response."""
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
    return (head + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n").encode() + body


def as_json(status, value):
    return answer(status, json.dumps(value).encode(), [("Content-Type", "application/json")])


def reset(writer):
    """Closes a connection by a reset."""
    one = writer.get_extra_info("socket")
    if one is not None:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.close()


class Service:
    """A service on one address; `handle(ip, line, fields, body)` returns the bytes to send, or None
    for no answer."""

    async def listen(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, limit=1 << 20, backlog=1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await read_body(reader, fields)
                out = await self.handle(peer, line, fields, body)
                if out is None:
                    await reader.read()
                    break
                writer.write(out)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Service):
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items, self.leases, self.log = {}, {}, []
        self.revision, self.next_lease = 100, 500
        self.changed = asyncio.Condition()
        # Called with (ip, method, path) before each call; "drop": it gets no answer and is not done.
        self.fault = lambda ip, method, path: None
        self.on_txn = lambda ip, call, status: None
        self.era, self.away, self.copies = 1, False, []

    async def copy(self):
        """Keeps copies of itself, five a second, until cancelled."""
        while True:
            state = (dict(self.items), list(self.log), self.revision)
            self.copies = self.copies[-99:] + [(time.monotonic(), state)]
            await asyncio.sleep(0.2)

    async def drill(self, away_s, age_s):
        """Is away for a moment and comes back from a copy of this age, without its leases."""
        now = time.monotonic()
        taken, (items, log, revision) = [row for row in self.copies if row[0] <= now - age_s][-1]
        self.record(f"store: away for {away_s} s")
        self.away = True
        await asyncio.sleep(away_s)
        self.items, self.log, self.revision, self.leases = dict(items), list(log), revision, {}
        self.copies = []
        leased = [key for key, item in self.items.items() if item["lease"]]
        if leased:
            self.revision += 1
            for key in leased:
                self._remove(key)
        self.era, self.away = self.era + 1, False
        self.record(f"store: back from a copy of {now - taken:.1f} s before, era {self.era}")

    def _put(self, key, value, lease=0):
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self.log.append(dict(item))

    def _remove(self, key):
        if self.items.pop(key, None):
            self.log.append({"key": key, "revision": self.revision, "deleted": True})

    async def put(self, key, value):
        """Writes a key as the operator or a worker does."""
        await self.put_bytes(key, json.dumps(value).encode())

    async def put_bytes(self, key, value):
        self.revision += 1
        self._put(key, base64.b64encode(value).decode())
        await self._notify()

    async def remove(self, key):
        self.revision += 1
        self._remove(key)
        await self._notify()

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        """Ends leases whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease in [one for one, (until, _) in self.leases.items() if now >= until]:
                await self._end(lease)

    async def _end(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.record(f"store: lease {lease} ended, key {key} removed")
                self._remove(key)
            await self._notify()

    async def handle(self, ip, line, fields, body):
        if line.count(" ") != 2:
            return as_json(400, {})
        method, target, _ = line.split(" ")
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if self.away or self.fault(ip, method, path) == "drop":
            return None
        era, out = self.era, await self._answer(method, path, query, body, ip)
        if self.away or self.era != era:
            return None
        return out.replace(b"\r\n", f"\r\nStore-Era: {era}\r\n".encode(), 1)

    async def _answer(self, method, path, query, body, ip):
        await asyncio.sleep(0.004)
        name = path.removeprefix("/poplarvale/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            if not item:
                return as_json(404, {"currentRev": self.revision})
            return as_json(200, {**item, "currentRev": self.revision})
        if name == "kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items, size = [], 0
            while len(items) < min(len(keys), PAGE_ITEMS) and size < PAGE_BYTES:
                items.append(self.items[keys[len(items)]])
                size += len(items[-1]["value"]) * 3 // 4
            return as_json(200, {"items": items, "hasMore": len(keys) > len(items),
                                 "currentRev": self.revision})
        if name == "kv-watch":
            prefix, after = query.get("pathPrefix", ""), int(query["after"])
            until = time.monotonic() + int(query["waitMs"]) / 1000
            if after > self.revision:
                return as_json(410, {})

            def events():
                return [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]

            while not events() and time.monotonic() < until:
                async with self.changed:
                    try:
                        left = max(until - time.monotonic(), 0.001)
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            return as_json(200, {"events": events(), "currentRev": self.revision})
        if name == "kv-txn":
            return await self._txn(ip, json.loads(body))
        if name == "kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return as_json(200, {"lease": self.next_lease, "ttlMs": ttl})
        if name.startswith("kv-keep/") or name.startswith("kv-lease-end/"):
            lease = int(name.rpartition("/")[2])
            if lease not in self.leases:
                return as_json(404, {})
            if method == "DELETE":
                await self._end(lease)
                return as_json(200, {})
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return as_json(200, {"ttlMs": ttl})
        return as_json(404, {})

    async def _txn(self, ip, call):
        def revision(key):
            return self.items[key]["revision"] if key in self.items else 0

        expected = call.get("expectedRev", [])
        puts, removed = call.get("putItems", []), call.get("remove", [])
        if any(revision(row["key"]) != row["revision"] for row in expected):
            self.on_txn(ip, call, 412)
            return as_json(412, {"items": [self.items[row["key"]] for row in expected
                                           if row["key"] in self.items]})
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return as_json(404, {})
        if any(row["key"].startswith(("op/", "servers/")) for row in puts):
            return as_json(403, {})
        self.revision += 1
        for row in puts:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in removed:
            self._remove(key)
        await self._notify()
        self.on_txn(ip, call, 200)
        return as_json(200, {"revision": self.revision})


class Cloud(Service):
    """The platform's API."""

    def __init__(self, record):
        self.record = record
        self.calls = []
        self.on_call = lambda call: None

    async def handle(self, ip, line, fields, body):
        call = {"at": time.monotonic(), "ip": ip, "path": line.split(" ")[1],
                "holder": fields.get("poplarvale-duty-holder"),
                "fence": int(fields.get("poplarvale-fence-token", "0")), "body": json.loads(body)}
        self.calls.append(call)
        self.record(f"cloud: {call['path']} by {call['holder']} fence {call['fence']} {call['body']}")
        self.on_call(call)
        await asyncio.sleep(0.01)
        return as_json(200, {})


class Daemon:
    """A daemon as a process of its own."""

    def __init__(self, root, name, ip, zone, ports, folder, record, **settings):
        self.name, self.ip, self.record = name, ip, record
        front, ready, control, internal = ports
        self.front, self.ready = (ip, front), (ip, ready)
        self.settings = {
            "node": name, "role": "entry", "machineClass": "front", "serves": ["front", "control"],
            "ip": ip, "zone": zone, "region": "cechy-morava",
            "zones": {one: "cechy-morava" for one in ("brno", "olomouc", "praha", "ondrejov")},
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                       "control": f"{ip}:{control}"},
            "internalPorts": [internal, internal + 15], "bootstrap": True, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4,
                       "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
                       "rollbackSlackMs": 250, "stretchMaxMs": 5000, "strictRevoke": False,
                       "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                       "retrySlack": 58, "quotaWindowS": 8, "quotaExcess": 0.1,
                       "quotaSlack": 140000, "requireFencing": False, "leaseMs": 3000,
                       "thawMs": 300, "windowS": 5, "usageOff": 0.05, "usageLateS": 10,
                       "exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000, "recoverS": 12,
                       "passMs": 120, "reuseWindowS": 10},
            **settings,
        }
        self.path = os.path.join(folder, f"{name}.json")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.root, self.process = root, None

    def start(self):
        with open(self.path, "w") as file:
            json.dump(self.settings, file)
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
               "POPLARVALE_CONFIG": self.path}
        self.process = subprocess.Popen(["target/release/poplarvaled"], cwd=self.root, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record(f"daemon {self.name}: started at {self.ip}")

    def send(self, number):
        self.record(f"daemon {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Memory that it holds; 0 once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def until_ready(self, limit=8):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /poplarvale/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0]:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Worker(Service):
    """A sound worker of a plain service: it runs each request for a while and answers it whole."""

    def __init__(self, record, name, work=0.02):
        self.record, self.name, self.work = record, name, work
        self.arrived, self.ran = [], []
        self.born, self.count = int(time.time() * 1000), 0

    def entry(self, zone="brno", state="ready", slots=6):
        """Its entry in the store."""
        self.count += 1
        return {"service": "app", "address": self.address, "zone": zone, "version": "v1",
                "slots": slots, "state": state, "coldLeftMs": 0, "seq": self.count,
                "born": self.born}

    async def beat(self, store, zone="brno"):
        """Writes its entry again and again, until cancelled."""
        while True:
            if not store.away:
                await store.put(f"servers/{self.name}", self.entry(zone))
            await asyncio.sleep(1.2)

    async def handle(self, ip, line, fields, body):
        if line.startswith("GET /health"):
            return answer(200, b"", [("Poplarvale-Instance-Id", self.name)])
        request = fields["poplarvale-request-id"]
        self.arrived.append((time.monotonic(), request))
        if fields.get("poplarvale-target-instance", self.name) != self.name:
            return answer(421, b"", [("Poplarvale-Request-Id", request),
                                     ("Poplarvale-Instance-Id", self.name)])
        self.ran.append(request)
        self.record(f"worker {self.name}: runs {request} ({len(body)} bytes) sent by {ip}")
        await asyncio.sleep(self.work)
        return answer(200, b"x" * 800, [("Poplarvale-Request-Id", request),
                                        ("Poplarvale-Response-Seal", f"seal-{self.name}")])


def config(timeout_ms=1500, tenants=()):
    """A configuration with one route of a plain service whose requests may not be repeated. Without
    tenants the route is public; the key of a tenant is its name with `-key`."""
    return {"version": 1, "routes": [
        {"name": "booking", "host": "app.example", "pathPrefix": "/booking/", "kind": "unsafe",
         "timeoutMs": timeout_ms, "targetLatencyMs": 100, "priority": 2, "service": "app",
         "maxAttempts": 1, "public": not tenants}],
        "tenants": [{"name": name, "apiKeys": [f"{name}-key"]} for name in tenants],
        "services": [{"name": "app", "healthPath": "/health", "maxConns": 370}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


class Platform:
    """Starts daemons again that end, and kills those that exceed their memory."""

    def __init__(self, daemons, record, restarts=True):
        self.daemons, self.record, self.restarts = daemons, record, restarts
        self.kills, self.peak = 0, 0

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            for daemon in self.daemons:
                used, most = daemon.memory_mb(), daemon.settings["limits"]["memoryMb"]
                self.peak = max(self.peak, used)
                if used > most:
                    self.kills += 1
                    self.record(f"platform: {daemon.name} holds {used:.0f} MB, over {most}")
                    daemon.send(signal.SIGKILL)
                if self.restarts and daemon.process.poll() is not None:
                    self.record(f"platform: {daemon.name} has ended and is started again")
                    await asyncio.sleep(0.5)
                    daemon.start()


class Client:
    """A connection of a client."""

    def __init__(self, address):
        self.address = address

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address, limit=1 << 20), 1)
        return self

    def send(self, method, path, request, body=b"", fields=()):
        """Sends the whole request; `request` is its id."""
        self.writer.write(encode(method, path, request, body, fields))

    async def receive(self):
        """Status, fields and body of the answer; None if the connection ended before its end."""
        head = await read_head(self.reader)
        if head is None:
            return None
        status = int(head[0].split(" ")[1])
        try:
            return status, head[1], await read_body(self.reader, head[1])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return None

    def close(self):
        self.writer.close()


def encode(method, path, request, body=b"", fields=(), length=None):
    """A request of a client."""
    length = len(body) if length is None else length
    head = f"{method} {path} HTTP/1.1\r\nHost: app.example\r\nPoplarvale-Request-Id: {request}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if length or method == "POST":
        head += f"Content-Length: {length}\r\n"
    return head.encode() + b"\r\n" + body


def new_id():
    return f"{random.getrandbits(64):016x}"


def daemons_of(number, root, where, record, store, cloud, zones):
    """Daemons of these zones on addresses 127.0.NUMBER.1 and up, which are not started yet."""
    ips = [f"127.0.{number}.{at + 1}" for at in range(len(zones))]
    ports = [free_port(ips) for _ in range(4)]
    seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
    platform = {"address": store.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}
    duties = {"address": cloud.address, "ratePerS": 50.0, "duties": ["usage", "scaling"],
              "dutyPerS": 50.0}
    return [Daemon(root, f"front-{zone}-{at + 1}", ip, zone, ports, where, record, seeds=seeds,
                   platform=platform, cloud=duties) for at, (ip, zone) in enumerate(zip(ips, zones))]


def play(case):
    """Runs `case(where)` with a temporary folder, and exits with its code."""
    async def run(where):
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await case(where)

    where = tempfile.mkdtemp(prefix="review-")
    try:
        code = asyncio.run(run(where))
    except asyncio.CancelledError:
        code = 2
    except Exception as error:  # The case could not run; an exit with 1 says that a rule was broken.
        print(f"the case could not run: {error!r}")
        code = 2
    finally:
        if os.environ.get("KEEP"):
            print(where)
        else:
            shutil.rmtree(where, ignore_errors=True)
    raise SystemExit(code)
