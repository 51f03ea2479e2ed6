"""Stand-ins for the platform's store, servers and clients, and control of the daemons under test.

Everything listens on loopback addresses that are drawn for each run. The store, the servers and the clients run in this
process; each daemon is a process of its own, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONFIG_KEY = "op/config"
# Exit codes of a case; run.sh turns them into 0, 1 and 2, so that a failure of Python itself never counts as a result.
HELD = 0
BROKEN = 3
NOT_RUN = 2
PIECE_BYTES = 65536


def free_host():
    """Draws a loopback address on which the port that the deploy file fixes for metrics is free."""
    while True:
        host = "127.%d.%d.%d" % (random.randint(10, 250), random.randint(1, 250), random.randint(2, 250))
        with socket.socket() as probe:
            try:
                probe.bind((host, 9464))
                return host
            except OSError:
                continue


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write("%9.3f  %s\n" % (self.seconds(), text))
        self.file.flush()


class Message:
    """A request or the head of a response: first line, header fields, body."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def uri(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Reads a first line and header fields; None when the connection ended before the first byte."""
    line = await reader.readline()
    if not line:
        return None
    if not line.endswith(b"\n"):
        raise ConnectionError("connection ended within a first line")
    fields = []
    while True:
        field = await reader.readline()
        if not field.endswith(b"\n"):
            raise ConnectionError("connection ended within a header section")
        text = field.decode("latin-1").strip("\r\n")
        if not text:
            return Message(line.decode("latin-1").strip("\r\n"), fields)
        name, _, value = text.partition(":")
        fields.append((name.strip(), value.strip()))


async def read_chunk(reader):
    """Reads a chunk of a chunked body; empty for the last one."""
    size = int((await reader.readline()).split(b";")[0].strip() or b"x", 16)
    if size == 0:
        while (await reader.readline()).strip():
            pass
        return b""
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, head):
    if "chunked" in head.get("Transfer-Encoding").lower():
        body = b""
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                return body
            body += chunk
    return await reader.readexactly(int(head.get("Content-Length", "0")))


def encode(first, fields, body=b""):
    lines = [first] + ["%s: %s" % field for field in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status, fields=(), body=b"", reason="X"):
    return encode("HTTP/1.1 %d %s" % (status, reason), list(fields) + [("Content-Length", str(len(body)))], body)


class Store:
    """The platform's key-value store, as the pages describe it: linearizable, with watches, conditions and leases."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.port = 0
        self.items = {}
        self.history = []
        self.leases = {}
        self.revision = 1
        self.last_lease = 1000
        self.changed = asyncio.Event()
        self.era = None
        self.history_s = 20
        self.lost_before = 0
        self.available = True
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self._expire_leases())

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "create_rev": created,
            "lease": lease,
        }
        self.items[key] = item
        self._notify(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify({"key": key, "revision": self.revision, "tombstone": True})

    def copy(self):
        """Takes the copy from which the store may come back."""
        return dict(self.items), list(self.history), dict(self.leases), self.revision, self.last_lease

    async def go_away(self):
        """Stops answering: closes all connections and refuses new ones."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def come_back(self, copy):
        """Comes back from a copy, in a new era; what was written since the copy is gone."""
        items, history, leases, self.revision, self.last_lease = copy
        self.items, self.history, self.leases = dict(items), list(history), dict(leases)
        self.era += 1
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def _notify(self, event):
        now = time.monotonic()
        self.history.append((now, event))
        while self.history[0][0] < now - self.history_s:
            self.lost_before = self.history.pop(0)[1]["revision"]
        event_set, self.changed = self.changed, asyncio.Event()
        event_set.set()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (_, ends) in self.leases.items() if ends <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                head.body = await read_body(reader, head)
                status, body = await self._answer(head)
                fields = [("Content-Type", "application/json")]
                if self.era is not None:
                    fields.append(("Store-Era", str(self.era)))
                writer.write(response(status, fields, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request):
        if not self.available:
            return 503, {}
        url = urllib.parse.urlsplit(request.uri)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, dict(item, store_revision=self.revision))
        if url.path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "more_pages": len(keys) > 500, "store_revision": self.revision}
        if url.path == "/v1/kv-watch":
            return await self._watch(query)
        if url.path == "/v1/kv-txn":
            return self._commit(json.loads(request.body))
        if url.path == "/v1/kv-lease":
            ttl = json.loads(request.body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if url.path.startswith("/v1/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        else:
            self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            if after < self.lost_before or after > self.revision or era != self.era:
                return 410, {}
            events = [e for _, e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(asyncio.shield(self._wait_for_change()), left)
            except asyncio.TimeoutError:
                pass

    async def _wait_for_change(self):
        await self.changed.wait()

    def _commit(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                current = [self.items[r["key"]] for r in body["expected"] if r["key"] in self.items]
                return 412, {"items": current}
        for row in body.get("put", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("put", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """A server of a service, registered in the store. Subclasses and callbacks say how it answers requests."""

    def __init__(self, lab, service, zone, slots=6):
        self.lab = lab
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.beats = 0
        self.ran = {}

    async def start(self):
        self.host = self.lab.server_host
        self.server = await asyncio.start_server(self._serve, self.host, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.host, self.port)
        asyncio.get_running_loop().create_task(self._beat())

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.beats,
            "born": self.born,
        }

    def register(self):
        self.lab.store.put("servers/" + self.id, self.entry())

    async def _beat(self):
        while True:
            self.beats += 1
            self.register()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                head.body = await read_body(reader, head)
                if not await self.handle(head, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, request, reader, writer):
        """Answers a request; returns whether the connection stays open."""
        path = request.uri.split("?")[0]
        if path == "/health":
            writer.write(response(200, [("X-Instance-Id", self.id)]))
            return True
        if path.startswith("/v1/"):
            return await self.handle_control(path, request, writer)
        expected = request.get("X-Expect-Instance")
        if expected and expected != self.id:
            writer.write(response(421, [("X-Instance-Id", self.id), ("X-Request-Id", request.get("X-Request-Id"))]))
            return True
        return await self.run(request, reader, writer)

    async def handle_control(self, path, request, writer):
        writer.write(response(404))
        return True

    def note_run(self, request):
        rid = request.get("X-Request-Id")
        self.ran[rid] = self.ran.get(rid, 0) + 1
        self.lab.runs[rid] = self.lab.runs.get(rid, 0) + 1
        self.lab.record.write("server %s runs %s %s %s" % (self.id, rid, request.method, request.uri))

    def sealed(self, request):
        return [
            ("X-Request-Id", request.get("X-Request-Id")),
            ("X-Response-Seal", "seal-" + request.get("X-Request-Id")),
            ("X-Server-Load", "1,0,%d" % self.slots),
        ]

    async def run(self, request, reader, writer):
        self.note_run(request)
        await asyncio.sleep(self.lab.work_s)
        body = b"done " + request.get("X-Request-Id").encode()
        writer.write(response(200, self.sealed(request), body))
        await writer.drain()
        return True


class Engine(Server):
    """A model server that can hold all layers, answers with streams, and follows `place` orders.

    It works in passes, as the pages say: each takes `stride` steps of all requests that write, and reads waiting prompts in
    between, at the speeds of the `engine` of its service times those of its kind.
    """

    def __init__(self, lab, service, zone, kind):
        super().__init__(lab, service, zone, slots=134)
        self.kind = kind
        self.layers = None
        self.orders = 0
        self.streams = []
        self.passes_s = []

    async def start(self):
        await super().start()
        spec = next(s for s in self.lab.services if s["name"] == self.service)["engine"]
        kind = next(k for k in spec["kinds"] if k["name"] == self.kind)
        asyncio.get_running_loop().create_task(self._work(spec, kind))

    async def _work(self, spec, kind):
        free_at = time.monotonic()
        while True:
            if not self.streams:
                await asyncio.sleep(0.002)
                free_at = time.monotonic()
                continue
            unread = spec["chunk"] * spec["stride"]
            read = 0
            writing = [s for s in self.streams if s.unread == 0]
            for stream in self.streams:
                tokens = min(stream.unread, unread - read)
                stream.unread -= tokens
                read += tokens
            step_ms = spec["step_ms"] + sum(
                spec["per_seq_ms"] + spec["context_per_k"] * (s.prompt + 2 * s.event) / 1000 for s in writing)
            pass_ms = (spec["stride"] * step_ms * kind["pace"] if writing else 0)
            pass_ms += read * 1000 * kind["read_factor"] / spec["read_per_s"]
            self.passes_s.append(pass_ms / 1000)
            free_at += pass_ms / 1000
            await asyncio.sleep(max(0, free_at - time.monotonic()))
            for stream in writing:
                stream.write_event()

    def models(self):
        return [{"name": "m0", "version": 1, "adapters": []}] if self.layers else []

    def entry(self):
        entry = super().entry()
        entry.update(phase="colocated", models=self.models(), route_kind=self.kind)
        if self.layers:
            entry["layers"] = {"from": self.layers[0], "target": self.layers[1], "version": 1}
        return entry

    async def handle_control(self, path, request, writer):
        if path == "/v1/report":
            report = {
                "phase": "colocated",
                "models": self.models(),
                "busy": False,
                "sequence": self.orders,
                "waiting": 0,
                "running": len(self.streams),
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
                "pace": 1,
                "born": self.born,
                "stalled": [],
            }
            if self.layers:
                report["layers"] = {"from": self.layers[0], "target": self.layers[1], "version": 1}
            writer.write(response(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            return True
        order = json.loads(request.body)
        if order.get("expected", self.orders) != self.orders:
            writer.write(response(409))
            return True
        self.orders += 1
        self.layers = (order["from"], order["target"])
        self.lab.record.write("engine %s takes layers %d-%d" % (self.id, *self.layers))
        writer.write(response(202))
        self.register()
        return True

    async def run(self, request, reader, writer):
        self.note_run(request)
        rid = request.get("X-Request-Id")
        fields = self.sealed(request) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(encode("HTTP/1.1 200 OK", fields))
        stream = Stream(request, writer)
        self.streams.append(stream)
        gone = asyncio.get_running_loop().create_task(reader.read(1))
        done = asyncio.get_running_loop().create_task(stream.done.wait())
        try:
            await asyncio.wait([gone, done], return_when=asyncio.FIRST_COMPLETED)
            if not stream.done.is_set():
                self.lab.record.write("server %s: the connection of %s closed after event %d" % (self.id, rid, stream.event))
                return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.lab.record.write("server %s has written all of %s" % (self.id, rid))
            return False
        finally:
            gone.cancel()
            done.cancel()
            self.streams.remove(stream)


class Stream:
    """A request in the batch of an engine; each event holds two tokens."""

    def __init__(self, request, writer):
        prompt, answer = request.get("X-Token-Counts").split(",")
        self.rid = request.get("X-Request-Id")
        self.writer = writer
        self.prompt = int(prompt)
        self.unread = self.prompt
        self.event = int(request.get("Last-Event-Id") or 0)
        self.last = int(answer) // 2
        self.done = asyncio.Event()

    def write_event(self):
        if self.done.is_set():
            return
        self.event += 1
        data = b"id: %d\ndata: %s-%d\n\n" % (self.event, self.rid.encode(), self.event)
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        if self.event >= self.last:
            self.done.set()


class Daemon:
    """A daemon, started with the command of the deploy file; a process that exits is started again."""

    def __init__(self, lab, name, zone, store_address):
        self.lab = lab
        self.name = name
        self.zone = zone
        self.host = free_host()
        self.store_address = store_address
        self.front = free_port(self.host)
        self.ready = free_port(self.host)
        self.directory = free_port(self.host)
        self.control = free_port(self.host)
        self.process = None
        self.stopping = False
        self.exits = []

    def settings(self):
        lines = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": "front,directory",
            "ip": self.host,
            "zone": self.zone,
            "region": "region",
            "listen.front": "%s:%d" % (self.host, self.front),
            "listen.ready": "%s:%d" % (self.host, self.ready),
            "listen.control": "%s:%d" % (self.host, self.control),
            "listen.directory": "%s:%d" % (self.host, self.directory),
            "limits.cores": 2,
            "limits.memory_mb": 560,
            "discovery": "platform",
            "entry": "directory",
            "beat_interval_ms": 1200,
            "platform.address": self.store_address,
            "platform.form": "kv",
            "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000,
        }
        bounds = {
            "contact_ms": 3000,
            "drain_ms": 2000,
            "grace_s": 8,
            "lost_ms": 200,
            "config_apply_ms": 2000,
            "strict_revoke": "true",
            "revoke_ms": 5000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 196,
            "stall_ms": 3000,
            "ttl_max_s": 5,
        }
        lines.update(("bounds." + name, value) for name, value in bounds.items())
        return "".join("%s=%s\n" % line for line in lines.items())

    def start(self):
        text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        command = re.search(r'^run = "(.*)"$', text, re.M).group(1).split(" ")
        path = self.lab.folder / (self.name + ".conf")
        path.write_text(self.settings(), encoding="utf-8")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        env["SISKINLEAD_BOOT"] = str(path)
        self.log = open(self.lab.folder / (self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=subprocess.STDOUT
        )
        self.lab.record.write("daemon %s starts at %s, process %d" % (self.name, self.host, self.process.pid))

    async def supervise(self):
        """Starts the process again when it ends, after a short delay, as the platform does."""
        while not self.stopping:
            code = self.process.poll()
            if code is not None:
                self.exits.append(code)
                self.lab.record.write("daemon %s ended with code %d" % (self.name, code))
                await asyncio.sleep(0.5)
                if not self.stopping:
                    self.start()
            await asyncio.sleep(0.02)

    def signal(self, number):
        self.lab.record.write("daemon %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        self.stopping = True
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.ready), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(encode("GET /v1/ready HTTP/1.1", [("Host", self.host)]))
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and head.status == 200
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


class Connection:
    """A client's connection to a daemon, kept for many requests."""

    def __init__(self, lab, daemon):
        self.lab = lab
        self.daemon = daemon
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.daemon.host, self.daemon.front, limit=1 << 20), 1
        )
        return self

    def close(self):
        if self.writer:
            self.writer.close()

    async def request(self, method, path, fields=(), body=b"", budget_ms=20000, key=None, rid=None, bytes_per_s=0):
        """Sends a request, its body at a rate if one is given, and reads its answer; the outcome says how it ended."""
        rid = rid or "%016x" % random.getrandbits(64)
        head = [("Host", self.lab.hostname), ("X-Request-Id", rid), ("X-Deadline-Ms", str(budget_ms))]
        head.append(("Authorization", "Token " + (key or self.lab.key)))
        head += list(fields)
        if body or method != "GET":
            head.append(("Content-Length", str(len(body))))
        self.lab.record.write("client sends %s %s %s, %d bytes, to %s" % (rid, method, path, len(body), self.daemon.name))
        outcome = Outcome(rid, self.lab.record.seconds())
        try:
            self.writer.write(encode("%s %s HTTP/1.1" % (method, path), head, b"" if bytes_per_s else body))
            await asyncio.wait_for(self._exchange(outcome, body if bytes_per_s else b"", bytes_per_s), budget_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, ValueError) as e:
            outcome.end = "connection ended: " + (str(e) or type(e).__name__)
        except asyncio.TimeoutError:
            outcome.end = "gave up"
            self.close()
        outcome.took = self.lab.record.seconds() - outcome.at
        self.lab.record.write("client got  %s: %s" % (rid, outcome))
        return outcome

    async def _exchange(self, outcome, body, bytes_per_s):
        for start in range(0, len(body), PIECE_BYTES):
            self.writer.write(body[start : start + PIECE_BYTES])
            await self.writer.drain()
            await asyncio.sleep(PIECE_BYTES / bytes_per_s)
        await self.writer.drain()
        await self._read(outcome)

    async def _read(self, outcome):
        head = await read_head(self.reader)
        if head is None:
            outcome.end = "connection ended: no answer"
            return
        outcome.head = head
        outcome.status = head.status
        if "chunked" not in head.get("Transfer-Encoding").lower():
            outcome.body = await read_body(self.reader, head)
        else:
            while True:
                chunk = await read_chunk(self.reader)
                if not chunk:
                    break
                outcome.body += chunk
        outcome.end = "complete"


class Outcome:
    def __init__(self, rid, at):
        self.rid = rid
        self.at = at
        self.took = 0.0
        self.status = 0
        self.head = None
        self.body = b""
        self.end = "no answer"

    def __str__(self):
        events = self.body.count(b"id: ")
        return "%s, status %d, %d bytes%s, after %.3f s" % (
            self.end, self.status, len(self.body), ", %d events" % events if events else "", self.took)


class Lab:
    """One run of a case: record, store, servers, daemons and clients, all ended at the end."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temp.name)
        self.hostname = "h%d.example" % random.randint(100, 999)
        self.key = "%020x" % random.getrandbits(80)
        self.tenants = [{"name": "tenant-a", "api_keys": [self.key], "priority": 1}]
        self.limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        self.routes = []
        self.services = []
        self.version = 7
        self.runs = {}
        self.work_s = 0.06
        self.daemons = []
        self.servers = []
        self.connections = []
        self.tasks = []
        self.server_host = free_host()
        self.record.write("the disruption is %s" % ("on" if self.trouble else "off"))

    async def start_store(self):
        self.store = Store(self.record, free_host())
        await self.store.start()

    def add_plain_service(self, name):
        self.services.append({"name": name, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": False})

    def add_engine_service(self, name):
        """Adds a service of engines with the speeds of the sheet; a card of its kind holds all layers and 69,791 tokens."""
        self.services.append({
            "name": name, "health_path": "/health", "max_conns": 968, "protocol": "h1", "tls": False,
            "engine": {
                "slots": 134, "kv_cache_tokens": 69791, "token_kv_bytes": 845373, "link_mbps": 480000.0, "stride": 2,
                "models": [{"name": "m0", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}],
                "step_ms": 0.85, "per_seq_ms": 0.00547, "context_per_k": 0.00734, "read_per_s": 196000.0,
                "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6,
                "delays": [], "usual": {"prompt": 772, "answer": 167}, "layers": 80, "layer_mb": 1750.0,
                "activation_bytes": 42268, "pipe_mbps": 13000.0,
                "kinds": [{"name": "l4", "mb": 199000.0, "pace": 16.0, "read_factor": 8.2}],
            },
        })

    def add_route(self, prefix, kind, service, timeout_ms, slo_ms, max_attempts, **more):
        route = {
            "name": "r-%06x" % random.getrandbits(24), "host": self.hostname, "prefix": prefix, "route_kind": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 1, "service": service,
            "max_attempts": max_attempts, "public": False,
        }
        route.update(more)
        self.routes.append(route)

    def put_config(self, again=False):
        """Writes the configuration, with a higher version unless it is the same one again."""
        self.version += 0 if again else random.randint(1, 5)
        self.record.write("the operator writes configuration %d, limits %s" % (self.version, self.limits))
        self.store.put(CONFIG_KEY, {
            "version": self.version, "routes": self.routes, "services": self.services, "limits": self.limits,
            "tenants": self.tenants,
        })

    async def add_server(self, server):
        self.servers.append(server)
        await server.start()
        return server

    async def start_daemons(self, count, store_address=None):
        for i in range(count):
            address = store_address or "%s:%d" % (self.store.host, self.store.port)
            daemon = Daemon(self, "front-%d" % (i + 1), "zone-a", address)
            self.daemons.append(daemon)
            daemon.start()
            asyncio.get_running_loop().create_task(daemon.supervise())
        await self.wait_until_ready()

    def spawn(self, coroutine):
        """Starts a task that is ended before the daemons are."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def wait_until_ready(self, timeout_s=30):
        ends = time.monotonic() + timeout_s
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > ends:
                    raise TimeoutError("%s is not ready" % daemon.name)
                await asyncio.sleep(0.05)
        self.record.write("all daemons are ready")

    async def connect(self, daemon):
        connection = await Connection(self, daemon).open()
        self.connections.append(connection)
        return connection

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        if os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                pathlib.Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
        self.temp.cleanup()


async def run(case, lab):
    try:
        return await case(lab)
    finally:
        for task in lab.tasks:
            task.cancel()
        for daemon in lab.daemons:
            daemon.end()
        for connection in lab.connections:
            connection.close()
        await asyncio.sleep(0.2)


def main(case, limit_s=110):
    """Runs a case, which returns whether the rule held, and exits with its code."""
    lab = Lab(pathlib.Path(sys.argv[0]).resolve().parent)
    code = NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(run(case, lab), limit_s))
        code = HELD if held else BROKEN
    except BaseException as e:
        lab.record.write("the case could not run: %r" % e)
    finally:
        lab.end()
        lab.record.write("result: %s" % {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "could not run"))
    sys.exit(code)
