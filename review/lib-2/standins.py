"""Stand-ins of the platform's store and API, of workers, links and clients, and a small deployment of daemons.

They speak what PROTOCOL.md says, over loopback addresses, in one event loop. A case starts the daemons as processes
with the command of the deploy file, runs its clients, and writes what was sent, answered and run to `record.txt`.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 58, "quotaWindowS": 8,
    "quotaExcess": 0.1, "quotaSlack": 140000, "requireFencing": False, "leaseMs": 3000, "thawMs": 300, "windowS": 5,
    "usageOff": 0.05, "usageLateS": 10, "exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000, "recoverS": 12,
    "passMs": 120, "reuseWindowS": 10,
}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Lines with the time since the start, kept and written to a file."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lines = []
        self.path = path

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.lines.append((self.now(), text))

    def write(self, summary):
        with open(self.path, "w") as file:
            for line in summary:
                file.write(line + "\n")
            file.write("\n")
            for at, text in self.lines:
                file.write("%9.3f %s\n" % (at, text))


async def read_message(reader):
    """Reads a message: first line, fields (names in lower case), body. None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return lines[0], fields, body


def answer(status, body=b"", fields=()):
    reason = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 503: "Service Unavailable"}.get(status, "Status")
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Server:
    """An HTTP/1.1 server whose connections can be told apart and closed."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.address = None

    async def listen(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.accept, ip, port, backlog=1024)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def accept(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class Store(Server):
    """The platform's store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()

    def log(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
        else:
            data, lease = value
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
            self.events.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, data, lease=0):
        """A write of the operator or a worker; returns when it is acknowledged."""
        self.log(key, (data if isinstance(data, bytes) else json.dumps(data).encode(), lease))

    def remove(self, key):
        if key in self.items:
            self.log(key, None)

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, row in self.leases.items() if row[1] < now]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.log(key, None)

    async def expire_always(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            line, _, body = message
            method, target, _ = line.split(" ")
            path, _, query = target.partition("?")
            values = self.values(query)
            await asyncio.sleep(0.004)
            status, reply = await self.call(method, path.rsplit("/poplarvale/", 1)[-1], values, body)
            writer.write(answer(status, json.dumps(reply).encode(), [("Content-Type", "application/json")]))
            await writer.drain()

    def values(self, query):
        fields = urllib.parse.parse_qs(query, keep_blank_values=True)
        return {name: value[0] for name, value in fields.items()}

    async def call(self, method, name, values, body):
        self.expire()
        if name == "kv-key":
            item = self.items.get(values["key"])
            return (200, item) if item else (404, {})
        if name == "kv-range":
            prefix, after = values.get("pathPrefix", ""), values.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "currentRev": self.revision}
        if name == "kv-watch":
            prefix, after = values.get("pathPrefix", ""), int(values["after"])
            until = time.monotonic() + int(values["waitMs"]) / 1000
            while True:
                events = [row for row in self.events if row["revision"] > after and row["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if name == "kv-txn":
            return self.txn(json.loads(body))
        if name == "kv-lease":
            lease, ttl = self.next_lease, json.loads(body)["ttlMs"]
            self.next_lease += 1
            self.leases[lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttlMs": ttl}
        kind, _, lease = name.partition("/")
        lease = int(lease)
        if lease not in self.leases:
            return 404, {}
        if kind == "kv-keep":
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0] / 1000
        elif kind == "kv-lease-end":
            self.leases[lease][1] = 0
            self.expire()
        return 200, {}

    def txn(self, body):
        expected = body.get("expectedRev", [])
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any((item["revision"] if item else 0) != row["revision"]
               for row, item in ((row, current[row["key"]]) for row in expected)):
            return 412, {"items": [item for item in current.values() if item]}
        puts = body.get("putItems", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        for row in puts:
            self.log(row["key"], (base64.b64decode(row["value"]), row.get("lease", 0)))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Cloud(Server):
    """The platform's API; accepts every call."""

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            writer.write(answer(200, b"{}"))
            await writer.drain()


class Worker(Server):
    """A worker: registers in the store, and answers each request by `respond`."""

    def __init__(self, store, record, service, zone, slots=6, work_s=0.015):
        super().__init__()
        self.store, self.record = store, record
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.ran = []
        self.beats = None
        self.shown_at = None

    async def start(self):
        await self.listen()
        self.shown_at = self.address
        return self

    def register(self):
        self.beat()
        self.beats = asyncio.ensure_future(self.beat_always())

    def beat(self):
        self.seq += 1
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": "%s:%d" % self.shown_at[:2], "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born})

    async def beat_always(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def drain(self):
        """Reports `draining`; returns when the store has acknowledged it."""
        self.state = "draining"
        self.beat()

    def exit(self):
        """Ends: its connections break, and its entry is removed."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.store.remove("servers/" + self.id)

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            line, fields, body = message
            method, target, _ = line.split(" ")
            request = {"id": fields.get("poplarvale-request-id"), "method": method, "target": target,
                       "fields": fields, "body": body, "at": self.record.now()}
            if request["id"] is None:
                healthy = self.state == "ready"
                writer.write(answer(200 if healthy else 503, b"", [("Poplarvale-Instance-Id", self.id)]))
                await writer.drain()
                continue
            if fields.get("poplarvale-target-instance", self.id) != self.id:
                writer.write(answer(421, b"", [("Poplarvale-Request-Id", request["id"])]))
                await writer.drain()
                continue
            self.ran.append(request)
            self.record.add("worker %s runs %s %s" % (self.id, request["id"], target))
            await asyncio.sleep(self.work_s)
            if await self.respond(request, writer) is False:
                return

    async def respond(self, request, writer):
        writer.write(self.whole(request, reply_body(request["id"])))
        await writer.drain()

    def whole(self, request, body, framed=True):
        head = ("HTTP/1.1 200 OK\r\nPoplarvale-Request-Id: %s\r\nPoplarvale-Instance-Id: %s\r\n"
                "Poplarvale-Response-Seal: %s\r\nPoplarvale-Server-Load: 1,0,%d\r\nContent-Type: %s\r\n" % (
                    request["id"], self.id, seal(request["id"]), self.slots,
                    "application/json" if framed else "text/event-stream"))
        head += "Content-Length: %d\r\nKeep-Alive: timeout=5\r\n" % len(body) if framed else "Connection: close\r\n"
        return head.encode() + b"\r\n" + body


def seal(request_id):
    return "s.%s.%x" % (request_id, sum(request_id.encode()))


def reply_body(request_id):
    """The body that every worker gives this request, of 400 to 1,200 bytes."""
    random_of = random.Random(request_id)
    size = random_of.randrange(400, 1200)
    text = '{"request":"%s","confirmed":"' % request_id
    text += "".join(random_of.choice("0123456789abcdef") for _ in range(size)) + '"}'
    return text.encode()


def reset(writer):
    """Closes a connection by a reset."""
    no_linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class Link(Server):
    """A slow link: passes on what a worker sends in packets of a fixed size, each after a short delay."""

    def __init__(self, target, packet, delay_s):
        super().__init__()
        self.target, self.packet, self.delay_s = target, packet, delay_s

    async def serve(self, reader, writer):
        back, forth = await asyncio.open_connection(*self.target[:2])
        forth.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        first = asyncio.ensure_future(self.pass_on(reader, forth, 65536, 0))
        second = asyncio.ensure_future(self.pass_on(back, writer, self.packet, self.delay_s))
        await asyncio.wait([first, second], return_when=asyncio.FIRST_COMPLETED)
        for task in (first, second):
            task.cancel()
        forth.close()

    async def pass_on(self, reader, writer, packet, delay_s):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                while data:
                    size = min(len(data), packet)
                    writer.write(data[:size])
                    await writer.drain()
                    data = data[size:]
                    if delay_s:
                        await asyncio.sleep(delay_s)
        except (ConnectionError, OSError):
            # A reset is passed on as one.
            reset(writer)


def free_ports(ips, count):
    """Ports that are free at all these addresses, for TCP and UDP."""
    found = []
    for _ in range(2000):
        port = random.randrange(20000, 32000)
        if port in found or not all(is_free(ip, port) for ip in ips):
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as test:
            try:
                test.bind((ip, port))
            except OSError:
                return False
    return True


def deploy_command():
    """The command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        run = re.search(r'^run\s*=\s*"([^"]+)"', file.read(), re.M)
    command = run.group(1).split(" ")
    command[0] = os.path.join(ROOT, command[0])
    if not os.path.exists(command[0]):
        raise CannotRun("the build of the deploy file was not made")
    return command


class Daemon:
    def __init__(self, site, number, zone, memory_mb):
        self.site, self.zone, self.memory_mb = site, zone, memory_mb
        self.ip = "127.%d.%d.%d" % (site.net[0], site.net[1], number)
        self.name = "front-%s-%d" % (zone, number)
        self.process = None
        self.log = None

    @property
    def front(self):
        return self.ip, self.site.ports[0]

    @property
    def ready(self):
        return self.ip, self.site.ports[1]

    def settings(self):
        site, ports = self.site, self.site.ports
        address = lambda port: "%s:%d" % (self.ip, port)
        return {
            "node": self.name, "role": "entry", "machineClass": "front", "serves": ["front", "control"],
            "ip": self.ip, "zone": self.zone, "region": "fi-south",
            "zones": {zone: "fi-south" for zone in site.zones},
            "listen": {"front": address(ports[0]), "ready": address(ports[1]), "control": address(ports[2])},
            "internalPorts": [ports[3], ports[3] + 15],
            "seeds": ["%s:%d" % (daemon.ip, ports[2]) for daemon in site.daemons[:3]],
            "bootstrap": True, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": self.memory_mb, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "quota", "leader", "rollout", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % site.store.address[:2], "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
            "cloud": {"address": "%s:%d" % site.cloud.address[:2], "ratePerS": 50.0, "duties": ["usage"],
                      "dutyPerS": 50.0},
        }

    def start(self):
        path = os.path.join(self.site.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        self.log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["POPLARVALE_CONFIG"] = path
        self.process = subprocess.Popen(deploy_command(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()
            self.log.close()


class Site:
    """A small deployment: the platform's store and API, workers, and daemons as processes."""

    def __init__(self, zones, record):
        self.zones, self.record = zones, record
        self.net = random.randrange(10, 250), random.randrange(1, 250)
        self.daemons = []
        self.ports = []
        self.version = 0
        self.holder = tempfile.TemporaryDirectory()
        self.folder = self.holder.name
        self.workers = []

    async def start_platform(self, store=Store):
        self.store = await store(self.record).listen()
        self.cloud = await Cloud().listen()
        self.expiry = asyncio.ensure_future(self.store.expire_always())

    async def start_daemons(self, machines):
        """`machines`: zone and memory of each."""
        for number, (zone, memory_mb) in enumerate(machines, 1):
            self.daemons.append(Daemon(self, number, zone, memory_mb))
        self.ports = free_ports([daemon.ip for daemon in self.daemons], 4)
        for daemon in self.daemons:
            daemon.start()
        until = time.monotonic() + 15
        while not all([await is_ready(daemon) for daemon in self.daemons]):
            if time.monotonic() > until:
                raise CannotRun("the daemons do not become ready")
            await asyncio.sleep(0.1)

    def write_config(self, routes, services, tenants):
        """Writes a configuration; returns when the store has acknowledged it."""
        self.version += 3
        self.store.put("op/config", {
            "version": self.version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        for worker in self.workers:
            if worker.beats:
                worker.beats.cancel()
        self.holder.cleanup()


async def is_ready(daemon):
    try:
        reader, writer = await asyncio.open_connection(*daemon.ready)
    except OSError:
        return False
    try:
        writer.write(b"GET /poplarvale/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        return b" 200 " in line
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()


def route(name, prefix, kind, service, **more):
    row = {"name": name, "host": "ficu95.example", "pathPrefix": prefix, "kind": kind, "service": service,
           "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2 if kind != "unsafe" else 1,
           "public": False, "resumable": False}
    row.update(more)
    return row


def service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 360}


def tenant(name, *keys):
    return {"name": name, "apiKeys": list(keys), "unit": "tokens", "plainTokens": 500, "ratePerS": 0, "burst": 0}


class Client:
    """Sends requests on a kept connection and reads the answers."""

    def __init__(self, address, record, key):
        self.address, self.record, self.key = address, record, key
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 1)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, method, path, body=b"", deadline_ms=1500, fields=()):
        """Sends one client attempt. Returns its id, the status and fields, the body and whether that is whole;
        the status is None if the connection ended first."""
        request_id = "%016x" % random.getrandbits(64)
        head = "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nPoplarvale-Request-Id: %s\r\n" % (method, path, request_id)
        head += "Poplarvale-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n" % (deadline_ms, self.key)
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        if method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        result = None, {}, b"", False
        sent = self.record.now()
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(head.encode() + b"\r\n" + body)
            result = await asyncio.wait_for(self.read(), deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        status, answered, data, whole = result
        self.record.add("client %s %s %s sent at %.3f, got %s %d %s" % (
            request_id, self.address[0], path, sent, status, len(data), "whole" if whole else "broken"))
        if not whole or answered.get("connection", "").lower() == "close":
            self.close()
        return request_id, sent, status, answered, data, whole

    async def read(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name:
                fields[name.lower()] = value.strip()
        status, data, whole = int(head[0].split(" ")[1]), b"", True
        if fields.get("transfer-encoding", "").lower() == "chunked":
            try:
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    data += (await self.reader.readexactly(size + 2))[:-2]
                    if size == 0:
                        break
            except (asyncio.IncompleteReadError, OSError):
                whole = False
        else:
            try:
                data = await self.reader.readexactly(int(fields.get("content-length", 0)))
            except (asyncio.IncompleteReadError, OSError) as error:
                data, whole = getattr(error, "partial", b""), False
        return status, fields, data, whole


def play(folder, case):
    """Runs a case, a coroutine that gets the record and a site holder and returns whether the rule held and lines of
    a summary; writes the record and exits as the review asks."""
    record = Record(os.path.join(folder, "record.txt"))
    holder = {}

    async def limited():
        # Tasks that the end of the case cancels are no failures.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return await asyncio.wait_for(case(record, holder), 110)

    code, summary = 2, ["could not run"]
    try:
        held, summary = asyncio.run(limited())
        code = 0 if held else 1
    except (CannotRun, asyncio.TimeoutError) as error:
        summary = ["could not run: %s" % (error or "it took too long")]
    finally:
        for site in holder.get("sites", []):
            site.end()
    summary.insert(0, "TROUBLE=%d, result %d" % (TROUBLE, code))
    record.write(summary)
    print("\n".join(summary))
    sys.exit(code)
