"""BUDGET: what the daemons know of a request that crashes its servers is gone when they are killed and start again."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lab2"))
sys.dont_write_bytecode = True
from standins import BOUNDS, TROUBLE, Client, Daemon, Server, Store, configuration, free_hosts, now, pace, route, run  # noqa: E402

CONTACT_S = BOUNDS["contact_ms"] / 1000
BACK_AFTER_S = 3
DOWN_S = 1.9
PERIOD_S = 11
FIRST_REQUEST_AT_S = 4
FIRST_KILL_AT_S = 9
KILLS = 4
LENGTH_S = 53
CRASHING = "/lookup/crashing"


class CrashingServer(Server):
    """Crashes when it begins to run one request: its connections close, and it is back after some seconds."""

    crashes = []

    async def handle(self, method, target, fields, body, writer):
        if target != CRASHING or fields.get("x-expect-instance", self.identity) != self.identity:
            return await super().handle(method, target, fields, body, writer)
        CrashingServer.crashes.append((now(), fields["x-request-id"]))
        self.record.line("server", self.identity, "begins to run", fields["x-request-id"], "and crashes")
        self.stop()
        asyncio.get_running_loop().call_later(BACK_AFTER_S, lambda: asyncio.create_task(self.start_again()))
        return False

    async def start_again(self):
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
    # Times from which the daemons have run without a break.
    runs_since = {daemon.name: start - CONTACT_S for daemon in daemons}
    sent_by = {}
    up = [True]

    async def kill():
        for number in range(KILLS):
            await asyncio.sleep(start + FIRST_KILL_AT_S + number * PERIOD_S - now())
            record.line("all daemons are killed")
            up[0] = False
            for daemon in daemons:
                daemon.end()
            await asyncio.sleep(DOWN_S)
            for daemon in daemons:
                daemon.start()
                runs_since[daemon.name] = now()
            for daemon in daemons:
                await daemon.ready()
            up[0] = True
            record.line("all daemons are ready")

    async def crashing():
        for number in range(KILLS + 1):
            await asyncio.sleep(start + FIRST_REQUEST_AT_S + number * PERIOD_S - now())
            daemon = daemons[number % 4]
            in_touch = now() - runs_since[daemon.name] >= CONTACT_S
            request, _ = await client.request(daemon, "GET", CRASHING)
            sent_by[request] = in_touch

    async def lookup():
        if up[0]:
            await client.request(daemons[client.count % 4], "GET", f"/lookup/{client.count}")

    await asyncio.gather(pace(20, start + LENGTH_S, lookup), crashing(), *([kill()] if TROUBLE else []))
    crashes = CrashingServer.crashes
    third = crashes[2][0] if len(crashes) > 2 else None
    late = [at for at, request in crashes if third is not None and at > third + CONTACT_S and sent_by[request]]
    text = (f"{len(crashes)} servers crashed by one request, {len(late)} of them by sends of machines in touch later than "
            f"{CONTACT_S} s after the third")
    print(text)
    record.line(text)
    return len(late) > 3


run(case, HERE)
