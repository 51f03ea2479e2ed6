"""DRAIN: a server that has left goes on getting requests while the store cuts waiting watches."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lab2"))
sys.dont_write_bytecode = True
from standins import BOUNDS, TROUBLE, Client, Daemon, Server, Store, configuration, free_hosts, now, pace, route, run  # noqa: E402

DRAIN_S = BOUNDS["drain_ms"] / 1000
CUTS_AT_S = (4, 6, 8)
LEAVES_AT_S = 4.7
# Time for which the server goes on serving after its entry was removed: drain_ms and a little longer.
SERVES_ON_S = DRAIN_S + 2.5


async def case(record, scratch, daemons):
    store = await Store("127.0.0.1").start()
    servers = [
        await Server("127.0.0.1", store, record, "jobdesk", f"z{i}", f"i-jobdesk-{i}", work_ms=85).start()
        for i in (1, 2, 3)
    ]
    await store.put("op/config", configuration(
        5,
        [route("lookup", "/lookup/", "safe", "jobdesk", max_attempts=2), route("file", "/file/", "unsafe", "jobdesk")],
        [{"name": "jobdesk", "health_path": "/health", "max_conns": 96}]))
    for server in servers:
        await server.register()
    for i, host in enumerate(free_hosts(2), 1):
        daemons.append(Daemon(scratch, f"front-{i}", host, store.address, f"z{i}"))
        daemons[-1].start()
    for daemon in daemons:
        await daemon.ready()

    client = Client(record)
    start = now()
    left = {}

    async def cut():
        for at in CUTS_AT_S:
            await asyncio.sleep(start + at - now())
            record.line("store cuts", store.cut_watches(), "waiting watches")

    async def leave():
        await asyncio.sleep(LEAVES_AT_S)
        await store.remove(f"servers/{servers[2].identity}")
        left["at"] = now()
        record.line("store removed the entry of", servers[2].identity)
        await asyncio.sleep(SERVES_ON_S)
        record.line("server", servers[2].identity, "ends")
        servers[2].stop()

    async def lookups():
        await pace(20, start + 14, lambda: client.request(daemons[client.count % 2], "GET", "/lookup/a"))

    async def files():
        await pace(60, start + 14, lambda: client.request(daemons[client.count % 2], "POST", "/file/a", body=b"job"))

    await asyncio.gather(lookups(), files(), leave(), *([cut()] if TROUBLE else []))
    late = [at - left["at"] for at, _ in servers[2].arrivals if at > left["at"] + DRAIN_S]
    lost = [r for at, r in servers[2].arrivals if client.sent[r][1] == "POST" and client.answers[r].status != 200]
    served = sum(1 for a in client.answers.values() if a.status == 200)
    text = (f"{len(client.sent)} requests, {served} answered with 200; requests that reached the server later than "
            f"{BOUNDS['drain_ms']} ms after its entry was removed: {len(late)}, the last after "
            f"{round(max(late, default=0) * 1000)} ms; unsafe requests that ran there and got no answer of it: {len(lost)}")
    print(text)
    record.line(text)
    return len(late) > 0


run(case, HERE)
