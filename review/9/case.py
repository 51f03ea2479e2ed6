"""BUDGET: a request that crashes its servers is sent to more and more of them if they fall silent when they crash."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lab2"))
sys.dont_write_bytecode = True
from standins import BOUNDS, TROUBLE, Client, Daemon, Server, Store, configuration, free_hosts, now, pace, route, run  # noqa: E402

CONTACT_S = BOUNDS["contact_ms"] / 1000
# Largest for_s of srv_crash with "dark" in the site file.
BACK_AFTER_S = 4
REPEAT_EVERY_S = 5
LENGTH_S = 33
CRASHING = "/lookup/crashing"


class CrashingServer(Server):
    """Crashes when it begins to run one request: it is silent from then on, and is back after some seconds."""

    crashes = []
    silent = False

    async def handle(self, method, target, fields, body, writer):
        sound = target != CRASHING or not TROUBLE or fields.get("x-expect-instance", self.identity) != self.identity
        if sound and not self.silent:
            return await super().handle(method, target, fields, body, writer)
        if not self.silent:
            self.silent = True
            CrashingServer.crashes.append(now())
            self.record.line("server", self.identity, "begins to run", fields["x-request-id"], "and crashes")
            asyncio.get_running_loop().call_later(BACK_AFTER_S, lambda: asyncio.create_task(self.start_again()))
        await asyncio.sleep(BACK_AFTER_S + 1)
        return False

    async def start_again(self):
        self.stop()
        self.silent = False
        self.running = 0
        self.born = int(time.time() * 1000)
        await self.start()
        await self.register()
        self.record.line("server", self.identity, "is back as a new lifetime")


async def case(record, scratch, daemons):
    store = await Store("127.0.0.1").start()
    servers = [
        await CrashingServer("127.0.0.1", store, record, "jobdesk", f"z{i}", f"i-jobdesk-{i}", work_ms=40).start()
        for i in (1, 2, 3)
    ]
    await store.put("op/config", configuration(
        5, [route("lookup", "/lookup/", "safe", "jobdesk", max_attempts=2)],
        [{"name": "jobdesk", "health_path": "/health", "max_conns": 96}]))
    for server in servers:
        await server.register()
    for i, host in enumerate(free_hosts(4), 1):
        daemons.append(Daemon(scratch, f"front-{i}", host, store.address, f"z{(i - 1) % 3 + 1}"))
        daemons[-1].start()
    for daemon in daemons:
        await daemon.ready()
    client = Client(record)
    start = now()

    async def crashing():
        await asyncio.sleep(2)
        for number in range(int((LENGTH_S - 2) / REPEAT_EVERY_S)):
            await asyncio.sleep(max(0, start + 2 + number * REPEAT_EVERY_S - now()))
            await client.request(daemons[number % 4], "GET", CRASHING)

    async def lookup():
        await client.request(daemons[client.count % 4], "GET", f"/lookup/{client.count}")

    await asyncio.gather(pace(20, start + LENGTH_S, lookup), crashing())
    crashes = CrashingServer.crashes
    third = crashes[2] if len(crashes) > 2 else None
    late = [at for at in crashes if third is not None and at > third + CONTACT_S]
    others = [r for r, sent in client.sent.items() if sent[2] != CRASHING]
    failed = sum(1 for r in others if client.answers[r].status != 200)
    text = (f"{len(crashes)} servers crashed by one request, {len(late)} of them by sends later than {CONTACT_S} s after "
            f"the third; of {len(others)} other requests {failed} got no 200")
    print(text)
    record.line(text)
    return len(late) > 3


run(case, HERE)
