"""A manifest removes the batch route of an accepted job. Its items have to be listed all the same."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from standin import TROUBLE, main

RELAYS = 3
JOB, ITEMS, EVENTS = "51d07ac39be64f28", 40, 100
# FinishS of the sheets is 18 s; the items that run when the route ends take 2 s.
WAIT_S = 30.0


async def case(harness):
    await harness.start(relays=RELAYS)
    await asyncio.sleep(4.0)
    if await harness.submit(harness.relays[0], JOB, ITEMS, EVENTS) != 202:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1.0)
    if TROUBLE:
        routes = [route for route in harness.routes() if route["Name"] != "batch"]
        await harness.configure(routes)
        harness.record("manifest", harness.version, "is acknowledged; it has no batch route any more")
    until = time.monotonic() + WAIT_S
    listed = 0
    while time.monotonic() < until:
        await asyncio.sleep(1.0)
        status, page = await harness.results(harness.relays[1], JOB)
        if status == 200:
            listed = len(page["Results"])
            if listed == ITEMS:
                break
    harness.record(f"{listed} of {ITEMS} items are listed")
    return listed == ITEMS


main(FOLDER, case)
