"""Stand-ins for the platform's store, for servers and for clients, and a launcher for daemons. Loopback only."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; this says nothing of the rule."""


def now():
    return time.monotonic()


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def metrics_port():
    """Gets the port of the metrics page, which the command of the deploy file names."""
    return int(re.search(r"--metrics-port=(\d+)", deploy_command()).group(1))


def deploy_command():
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["router"]["run"]


def free_hosts(count):
    """Chooses loopback addresses on which the port of the metrics page is free."""
    port, hosts = metrics_port(), []
    while len(hosts) < count:
        host = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        hosts.append(host)
    return hosts


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def line(self, *words):
        self.file.write(f"{now() - self.start:8.3f} " + " ".join(str(w) for w in words) + "\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads a request or response head; returns the first line and the fields, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def encode(status, fields, body):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(writer):
    """Closes a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.close()


class Listener:
    """Common part of the HTTP stand-ins."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await self.handle(method, target, head[1], body, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends the stand-in like a process that exits: the listener and all connections close."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


class Store(Listener):
    """The platform's store, as PROTOCOL.md describes it: items, transactions, watches and leases."""

    def __init__(self, host):
        super().__init__(host)
        self.items = {}
        self.history = []
        self.leases = {}
        self.revision = 10
        self.next_lease = 100
        self.changed = asyncio.Condition()
        self.waiting = {}
        self.calls = 0

    async def start(self):
        await super().start()
        self.expiry = asyncio.create_task(self._expire())
        return self

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [n for n, (until, _) in self.leases.items() if until <= now()]:
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        await self.change({}, [k for k, item in self.items.items() if item["lease"] == lease])

    async def change(self, put, remove):
        """Applies one transaction; returns its revision."""
        remove = [key for key in remove if key in self.items]
        if put or remove:
            self.revision += 1
            for key, (value, lease) in put.items():
                created = self.items[key]["create_rev"] if key in self.items else self.revision
                self.items[key] = {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "revision": self.revision,
                    "create_rev": created,
                    "lease": lease,
                }
                self.history.append(dict(self.items[key]))
            for key in remove:
                del self.items[key]
                self.history.append({"key": key, "revision": self.revision, "tombstone": True})
            async with self.changed:
                self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        return await self.change({key: (json.dumps(value).encode(), 0)}, [])

    async def remove(self, key):
        return await self.change({}, [key])

    def cut_watches(self):
        """Cuts the watches that are waiting."""
        cut = len(self.waiting)
        for writer in list(self.waiting):
            reset(writer)
        return cut

    async def handle(self, method, target, fields, body, writer):
        self.calls += 1
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        status, answer = await self._answer(method, url.path, query, body, writer)
        if status is None:
            return False
        writer.write(encode(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
        return True

    async def _answer(self, method, path, query, body, writer):
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, {"store_revision": self.revision}) if item is None else (
                200, {**item, "store_revision": self.revision})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "more_pages": len(keys) > 500, "store_revision": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query, writer)
        if path == "/v1/kv-txn":
            return await self._commit(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = max(1000, int(json.loads(body)["ttl_ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            self.leases[lease] = (now() + self.leases[lease][1] / 1000, self.leases[lease][1])
        else:
            await self._end_lease(lease)
        return 200, {}

    async def _watch(self, query, writer):
        after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        self.waiting[writer] = True
        try:
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(query["prefix"])]
                if events or now() >= until:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
                if writer.is_closing():
                    return None, None
        finally:
            self.waiting.pop(writer, None)

    async def _commit(self, call):
        for row in call.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in call["expected"] if r["key"] in self.items]}
        put = {p["key"]: (base64.b64decode(p["value"]), p.get("lease", 0)) for p in call.get("put", [])}
        if any(lease and lease not in self.leases for _, lease in put.values()):
            return 404, {}
        return 200, {"revision": await self.change(put, call.get("remove", []))}


class Server(Listener):
    """A sound server of a service: runs a request for its work time, unless the request is for another instance."""

    def __init__(self, host, store, record, service, zone, identity, slots=6, work_ms=20):
        super().__init__(host)
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.identity, self.slots, self.work_ms = identity, slots, work_ms
        self.born = int(time.time() * 1000)
        self.running = 0
        self.arrivals = []
        self.beats = 0

    def entry(self, state):
        self.beats += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "1",
                "slots": self.slots, "state": state, "cold_left_ms": 0, "sequence": self.beats, "born": self.born}

    async def register(self, state="ready"):
        return await self.store.put(f"servers/{self.identity}", self.entry(state))

    async def handle(self, method, target, fields, body, writer):
        load = {"X-Server-Load": f"{self.running},0,{self.slots}"}
        if target == "/health":
            writer.write(encode(200, {"X-Instance-Id": self.identity, **load}, b""))
            return True
        if target == "/v1/report":
            report = {"phase": "colocated", "models": [], "busy": False, "sequence": 0, "waiting": 0,
                      "running": self.running, "kv_used": 0, "kv_total": 0, "handles": 0, "born": self.born}
            writer.write(encode(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))
            return True
        request = fields.get("x-request-id", "")
        echo = {"X-Request-Id": request, **load}
        if fields.get("x-expect-instance", self.identity) != self.identity:
            writer.write(encode(421, {**echo, "X-Not-Executed": "1"}, b""))
            return True
        self.arrivals.append((now(), request))
        self.record.line("server", self.identity, "runs", request, method, target)
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        if writer.is_closing():
            self.record.line("server", self.identity, "could not answer", request)
            return False
        writer.write(encode(200, {**echo, "X-Response-Seal": f"seal.{request}"}, f"answer to {request}".encode()))
        return True


def configuration(version, routes, services, tenants=None):
    value = {"version": version, "routes": routes, "services": services,
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                        "idle_timeout_ms": 15000}}
    if tenants is not None:
        value["tenants"] = tenants
    return value


def route(name, prefix, kind, service, timeout_ms=5000, max_attempts=1, slo_ms=500, **more):
    return {"name": name, "host": "jobs.example", "prefix": prefix, "route_kind": kind, "service": service,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 1, "max_attempts": max_attempts, **more}


# Bounds of the small deployment in the users' sheet.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
          "grace_s": 8, "lost_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "outer_ms": 5000,
          "strict_revoke": "true", "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 196,
          "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "stall_ms": 3000, "require_fence": "false",
          "ttl_max_s": 5}


class Daemon:
    """A daemon in a process of its own, started with the command of the deploy file."""

    def __init__(self, folder, name, host, store_address, zone="z1"):
        self.name, self.host = name, host
        self.ports = {kind: free_port(host) for kind in ("front", "ready", "control", "directory")}
        self.settings = os.path.join(folder, name + ".conf")
        self.log = os.path.join(folder, name + ".log")
        lines = {"node_name": name, "role": "router", "machine_class": "front", "serves": "front,directory",
                 "ip": host, "zone": zone, "region": "r", "zones.z1": "r", "zones.z2": "r", "zones.z3": "r",
                 **{f"listen.{kind}": f"{host}:{port}" for kind, port in self.ports.items()},
                 "port_range": "7340,7355", "bootstrap": "true", "fault_counted": "false", "limits.cores": 1,
                 "limits.memory_mb": 430, "limits.max_fds": 4200, "limits.link_mbps": 1000, "discovery": "platform",
                 "entry": "directory", "beat_interval_ms": 1200, "tolerate.machines": 2,
                 **{f"bounds.{k}": v for k, v in BOUNDS.items()},
                 "platform.address": store_address, "platform.form": "kv", "platform.writes_per_s": 400,
                 "platform.reads_per_s": 2000, "platform.history_s": 20, "platform.value_bytes": 1048576,
                 "platform.ttl_min_ms": 1000}
        with open(self.settings, "w", encoding="utf-8") as file:
            file.writelines(f"{k}={v}\n" for k, v in lines.items())
        self.process = None

    @property
    def front(self):
        return self.host, self.ports["front"]

    def start(self):
        command = deploy_command().split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        environment["SISKINLEAD_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def ready(self, limit_s=20):
        until = now() + limit_s
        while now() < until:
            if await ask(self.host, self.ports["ready"], "/v1/ready") == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} was not ready within {limit_s} s")


async def ask(host, port, path):
    """Gets a page; returns its status, or None without an answer within a second."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return int(head[0].split()[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None


class Answer:
    def __init__(self, status, fields, body, complete):
        self.status, self.fields, self.body, self.complete = status, fields, body, complete


class Client:
    """Sends requests, each on a connection of its own."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.sent = {}
        self.answers = {}

    async def request(self, daemon, method, path, deadline_ms=1500, key=None, body=b"", more=None):
        self.count += 1
        request = f"{random.getrandbits(32):08x}{self.count:08x}"
        self.sent[request] = (now(), method, path, daemon.name)
        fields = {"Host": "jobs.example", "X-Request-Id": request, "X-Deadline-Ms": deadline_ms,
                  "Content-Length": len(body), **(more or {})}
        if key is not None:
            fields["Authorization"] = f"Token {key}"
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"
        self.record.line("client sends", request, method, path, "to", daemon.name)
        answer = Answer(None, {}, b"", False)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*daemon.front), 1)
            writer.write(head.encode() + body)
            received = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 0.5)
            if received is not None:
                status = int(received[0].split()[1])
                answer = Answer(status, received[1], b"", False)
                answer.body = await asyncio.wait_for(read_body(reader, received[1]), deadline_ms / 1000 + 0.5)
                answer.complete = True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as failure:
            self.record.line("client failed", request, type(failure).__name__)
        finally:
            if writer is not None:
                writer.close()
        self.answers[request] = answer
        self.record.line("client got", request, answer.status, answer.body[:60].decode("latin-1").replace("\n", " "))
        return request, answer


async def pace(per_s, until, send):
    """Starts requests at a steady rate until a time; returns when all have ended."""
    tasks = []
    at = now()
    while now() < until:
        tasks.append(asyncio.create_task(send()))
        at += 1 / per_s
        await asyncio.sleep(max(0, at - now()))
    await asyncio.gather(*tasks)


def run(case, folder):
    """Runs a case; exits with 1 if it says that the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(folder)
    daemons = []
    code = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, scratch, daemons), 110))
            code = 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as failure:
            print("could not run:", failure or type(failure).__name__)
        finally:
            for daemon in daemons:
                daemon.end()
            if os.environ.get("KEEP_LOGS"):
                for daemon in daemons:
                    subprocess.run(["cp", daemon.log, os.environ["KEEP_LOGS"]], check=False)
    record.line("result", code)
    record.close()
    sys.exit(code)
