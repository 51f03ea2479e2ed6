"""A planned stop of a daemon, with requests on kept connections later than 3 s after SIGTERM."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import lab as stand_ins

TOKENS = 140
CLIENTS = 10
BACKGROUND = 50
AFTER_SIGTERM_S = 3.3


async def one(lab, connection, tokens):
    own = "%08x:760" % random.getrandbits(32)
    fields = [("X-Model", "m0"), ("X-Token-Counts", "800,%d" % tokens), ("X-Prompt-Prefix", "aaaa:40," + own)]
    return await connection.request("POST", "/draft/x", fields, b"x" * 800)


async def background(lab, daemon, results):
    """Sends stream requests one after the other through the daemon that isn't stopped."""
    connection = await lab.connect(daemon)
    while True:
        results.append(await one(lab, connection, TOKENS))
        if results[-1].end != "complete":
            connection.close()
            connection = await lab.connect(daemon)
        await asyncio.sleep(0.2)


async def case(lab):
    await lab.start_store()
    lab.add_engine_service("draftmodel")
    lab.add_route("/draft/", "stream", "draftmodel", 20000, 500, 2, sticky=True, resumable=True, gap_aim_ms=200)
    engine = await lab.add_server(stand_ins.Engine(lab, "draftmodel", "zone-a", "l4"))
    lab.put_config()
    await lab.start_daemons(2)
    while engine.layers != (0, 80):
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)
    daemon, other = lab.daemons
    results = []
    for _ in range(BACKGROUND):
        lab.spawn(background(lab, other, results))
        await asyncio.sleep(0.1)
    connections = [await lab.connect(daemon) for _ in range(CLIENTS)]
    warm = await asyncio.gather(*(one(lab, c, 20) for c in connections))
    assert all(o.end == "complete" and o.status == 200 for o in warm)
    await asyncio.sleep(3)
    busy = asyncio.create_task(one(lab, await lab.connect(daemon), TOKENS))
    await asyncio.sleep(0.3)
    if lab.trouble:
        daemon.signal(signal.SIGTERM)
    await asyncio.sleep(AFTER_SIGTERM_S)
    first = len(engine.passes_s)
    outcomes = await asyncio.gather(*(one(lab, c, TOKENS) for c in connections))
    cut = 0
    for o in [await busy, *outcomes]:
        if o.end != "complete" and lab.runs.get(o.rid):
            cut += 1
            lab.record.write("LOST: %s was passed on, and its connection ended without a complete answer" % o.rid)
    passes = engine.passes_s[first:]
    lab.record.write("the engine's passes, of 2 tokens each, took %.0f ms on average, %.0f ms at most"
                     % (1000 * sum(passes) / max(1, len(passes)), 1000 * max(passes, default=0)))
    lab.record.write("%d of %d requests were cut; %d of %d streams through the other daemon were complete"
                     % (cut, CLIENTS + 1, sum(o.end == "complete" and o.status == 200 for o in results), len(results)))
    return cut == 0


stand_ins.main(case)
