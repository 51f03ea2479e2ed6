"""Stand-ins for the cases 11 to 15: the platform's store, plain servers, clients, and daemons as processes.

Everything listens on loopback addresses and free ports. The stand-ins follow PROTOCOL.md; where it is silent they
behave like a sound store, server or client.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
T0 = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - T0


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


# HTTP


class Head:
    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=""):
        for field, value in self.fields:
            if field.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Reads a first line and the header fields; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Head(lines[0], fields)


async def read_body(reader, head):
    if head.get("Transfer-Encoding").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(head.get("Content-Length", "0") or 0))


def answer(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# The store


class Store:
    """The platform's store: linearizable, loses nothing that it has acknowledged."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Condition()
        self.port = 0
        self.answers = True

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.expire_leases())

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def put(self, key, value, lease=0):
        """Writes a key like the operator or a server does; returns when the store has confirmed it."""
        async with self.changed:
            self._put(key, value if isinstance(value, bytes) else json.dumps(value).encode(), lease, self._next())
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if key in self.items:
                self._remove(key, self._next())
                self.changed.notify_all()

    def _next(self):
        self.revision += 1
        return self.revision

    def _put(self, key, value, lease, revision):
        create = self.items[key]["create_rev"] if key in self.items else revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "create_rev": create,
            "lease": lease,
        }
        self.history.append((revision, key, dict(self.items[key])))

    def _remove(self, key, revision):
        del self.items[key]
        self.history.append((revision, key, {"key": key, "revision": revision, "tombstone": True}))

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            ended = [lease for lease, (until, _) in self.leases.items() if until <= time.monotonic()]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        async with self.changed:
            if self.leases.pop(lease, None) is None:
                return False
            keys = [key for key, item in self.items.items() if item["lease"] == lease]
            if keys:
                revision = self._next()
                for key in keys:
                    self._remove(key, revision)
                self.changed.notify_all()
            return True

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ")
                status, reply = await self.call(method, target, body)
                if not self.answers:
                    return
                data = json.dumps(reply).encode()
                writer.write(answer(status, [("Content-Type", "application/json")], data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, dict(item, store_revision=self.revision)
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "more_pages": len(keys) > 500, "store_revision": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/v1/kv-txn":
            return await self.commit(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            return (200 if await self.end_lease(int(path.rsplit("/", 1)[1])) else 404), {}
        return 400, {}

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            events = [event for revision, key, event in self.history if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, call):
        async with self.changed:
            for row in call.get("expected", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [i for r in call["expected"] if (i := self.items.get(r["key"]))]}
            if any(p.get("lease", 0) and p["lease"] not in self.leases for p in call.get("put", [])):
                return 404, {}
            revision = self._next()
            for p in call.get("put", []):
                self._put(p["key"], base64.b64decode(p["value"]), p.get("lease", 0), revision)
            for key in call.get("remove", []):
                if key in self.items:
                    self._remove(key, revision)
            self.changed.notify_all()
            return 200, {"revision": revision}


# Servers


class Run:
    def __init__(self, request, server, at, head, body):
        self.request = request
        self.server = server
        self.at = at
        self.head = head
        self.body = body


class Server:
    """A plain server: runs `slots` requests at once, queues a few more, and refuses the rest as not run."""

    def __init__(self, lab, service, sid, slots=6, queue=24, work_s=0.02):
        self.lab = lab
        self.service = service
        self.sid = sid
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.running = asyncio.Semaphore(slots)
        self.inside = 0
        self.born = int(time.time() * 1000)
        self.seals = 0
        self.beats = 0
        self.fail = None
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        self.listening = server
        self.beating = asyncio.ensure_future(self.beat())

    def entry(self, state="ready"):
        self.beats += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "za",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "born": self.born,
            "sequence": self.beats,
        }

    async def beat(self):
        while True:
            await self.lab.store.put("servers/" + self.sid, self.entry())
            await asyncio.sleep(1.2)

    def seal(self):
        self.seals += 1
        return f"{self.sid}.{self.seals}"

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if not await self.handle(head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, head, body, reader, writer):
        request = head.get("X-Request-Id")
        load = f"{min(self.inside, self.slots)},{max(0, self.inside - self.slots)},{self.slots}"
        if not request:
            status = 200 if head.first.startswith("GET /health") else 400
            writer.write(answer(status, [("X-Instance-Id", self.sid), ("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        self.lab.arrivals.append((now(), self.service, self.sid, request))
        echo = [("X-Request-Id", request), ("X-Server-Load", load)]
        expected = head.get("X-Expect-Instance")
        if expected and expected != self.sid:
            writer.write(answer(421, echo + [("X-Instance-Id", self.sid), ("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        if self.inside >= self.slots + self.queue or (self.fail and self.fail(head)):
            writer.write(answer(503, echo + [("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        self.inside += 1
        try:
            async with self.running:
                self.lab.runs.append(Run(request, self.sid, now(), head, body))
                await asyncio.sleep(self.work_s)
                text = f"{self.sid} answers {request}\n".encode() * 4
                seal = self.seal()
                self.lab.answers[seal] = (request, text)
                writer.write(answer(200, echo + [("X-Response-Seal", seal)], text))
                await writer.drain()
        finally:
            self.inside -= 1
        return True


# Daemons


def deploy_command():
    """The command of the role in deploy/system.toml."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
    return run.split()


class Daemon:
    def __init__(self, lab, number, bounds=None, limits=None):
        self.lab = lab
        self.name = f"front-za-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.front, self.ready, self.control, self.directory, self.metrics = (free_port(self.ip) for _ in range(5))
        self.bounds = dict(
            {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "contact_ms": 3000,
                "ack_ms": 4000,
                "drain_ms": 2000,
                "grace_s": 8,
                "lost_ms": 200,
                "config_apply_ms": 2000,
                "downgrade_ms": 250,
                "strict_revoke": "true",
                "revoke_ms": 5000,
                "budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 196,
                "recover_s": 12,
                "ttl_max_s": 5,
            },
            **(bounds or {}),
        )
        self.limits = dict({"cores": 1, "memory_mb": 430, "max_fds": 4200}, **(limits or {}))
        self.process = None
        self.starts = 0

    def settings(self):
        values = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": "front,directory",
            "ip": self.ip,
            "zone": "za",
            "region": "r",
            "zones.za": "r",
            "listen.front": f"{self.ip}:{self.front}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "listen.control": f"{self.ip}:{self.control}",
            "listen.directory": f"{self.ip}:{self.directory}",
            "port_range": "7340,7355",
            "seeds": "",
            "bootstrap": "true" if self.starts == 0 else "false",
            "discovery": "platform",
            "entry": "directory",
            "beat_interval_ms": 1200,
            "platform.address": self.lab.store.address,
            "platform.form": "kv",
            "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000,
            "platform.history_s": 20,
            "platform.value_bytes": 1048576,
            "platform.ttl_min_ms": 1000,
        }
        values.update({f"bounds.{k}": v for k, v in self.bounds.items()})
        values.update({f"limits.{k}": v for k, v in self.limits.items()})
        return "".join(f"{k}={v}\n" for k, v in values.items())

    def start(self):
        path = os.path.join(self.lab.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        command = [re.sub(r"^--metrics-port=\d+$", f"--metrics-port={self.metrics}", w) for w in deploy_command()]
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        environment["SISKINLEAD_BOOT"] = path
        log = open(os.path.join(self.lab.folder, f"{self.name}-{self.starts}.log"), "wb")
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT)
        self.starts += 1
        self.lab.record(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.lab.record(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        status, _, _ = await call(self.ip, self.ready, "GET", "/v1/ready", [], timeout=1)
        return status == 200

    async def until_ready(self, timeout=30):
        until = now() + timeout
        while now() < until:
            if await self.is_ready():
                self.lab.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")


class CannotRun(Exception):
    pass


async def call(ip, port, method, target, fields, body=b"", timeout=20.0):
    """Makes a call on a new connection; the status is 0 when there is no whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), min(1.0, timeout))
        head = await asyncio.wait_for(send(reader, writer, method, target, fields, body), timeout)
        if head is None:
            return 0, None, b""
        data = await asyncio.wait_for(read_body(reader, head), timeout)
        return int(head.first.split()[1]), head, data
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None, b""
    finally:
        if writer is not None:
            writer.close()


async def send(reader, writer, method, target, fields, body):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    return await read_head(reader)


class Lab:
    def __init__(self, folder):
        self.case = folder
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.record = Record(folder)
        self.store = Store()
        self.daemons = []
        self.arrivals = []
        self.runs = []
        self.answers = {}
        self.sent = 0

    def next_id(self):
        self.sent += 1
        return f"{self.sent:08x}{os.getpid():08x}"

    async def start_daemons(self, count, **options):
        self.daemons = [Daemon(self, i, **options) for i in range(count)]
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await daemon.until_ready()

    def stop(self):
        for daemon in self.daemons:
            daemon.kill()
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self.temporary.cleanup()


def config(version, routes, services, tenants=None, limits=None):
    value = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": dict(
            {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            **(limits or {}),
        ),
    }
    if tenants is not None:
        value["tenants"] = tenants
    return value


def route(name, prefix, kind, service, **more):
    value = {
        "name": name,
        "host": "review.example",
        "prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 20000 if kind == "stream" else 1500,
        "slo_ms": 500 if kind == "stream" else 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    if kind == "stream":
        value.update({"sticky": False, "resumable": True, "gap_aim_ms": 200})
    value.update(more)
    return value


def service(name, max_conns=96):
    return {"name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1", "tls": False}


def main(case, file, limit_s=115):
    """Runs a case; exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    lab = Lab(os.path.dirname(os.path.abspath(file)))
    result = 2
    try:
        async def bounded():
            return await asyncio.wait_for(case(lab), limit_s)

        result = asyncio.run(bounded())
    except CannotRun as e:
        lab.record(f"cannot run: {e}")
    except asyncio.TimeoutError:
        lab.record("cannot run: time is up")
    finally:
        lab.stop()
        lab.record(f"exit {result}")
    print({0: "held", 1: "BROKEN", 2: "could not run"}[result])
    sys.stdout.flush()
    os._exit(result)
