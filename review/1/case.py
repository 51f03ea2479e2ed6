"""A planned stop of a daemon, with requests on kept connections later than 3 s after SIGTERM."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import lab as stand_ins

TOKEN_S = 0.035
TOKENS = 150
CLIENTS = 10


async def one(lab, connection, tokens):
    fields = [("X-Model", "m0"), ("X-Token-Counts", "800,%d" % tokens), ("X-Prompt-Prefix", "aa%x:40,bb%x:760" % (tokens, tokens))]
    return await connection.request("POST", "/draft/x", fields, b"x" * 800)


async def case(lab):
    await lab.start_store()
    lab.add_engine_service("draftmodel", step_ms=0.85, pace=16.0)
    lab.add_route("/draft/", "stream", "draftmodel", 20000, 500, 2, sticky=True, resumable=True, gap_aim_ms=200)
    for _ in range(3):
        await lab.add_server(stand_ins.Engine(lab, "draftmodel", "zone-a", "big", TOKEN_S))
    lab.put_config()
    await lab.start_daemons(2)
    while not any(e.layers == (0, 80) for e in lab.servers):
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)
    daemon = lab.daemons[0]
    connections = [await lab.connect(daemon) for _ in range(CLIENTS)]
    warm = await asyncio.gather(*(one(lab, c, 20) for c in connections))
    assert all(o.end == "complete" and o.status == 200 for o in warm)
    await asyncio.sleep(3)
    busy = asyncio.create_task(one(lab, await lab.connect(daemon), TOKENS))
    await asyncio.sleep(0.3)
    if lab.trouble:
        daemon.signal(signal.SIGTERM)
    await asyncio.sleep(3.15)
    outcomes = await asyncio.gather(*(one(lab, c, TOKENS) for c in connections))
    cut = 0
    for o in [await busy, *outcomes]:
        if o.end != "complete" and lab.runs.get(o.rid):
            cut += 1
            lab.record.write("LOST: %s was passed on, and its connection ended without a complete answer" % o.rid)
    lab.record.write("%d of %d requests were cut" % (cut, CLIENTS))
    return cut == 0


stand_ins.main(case)
