"""Runners are restarted in place, one after the other, while the store refuses some relays. The new starts of
the runners have to be used; an accepted job has to be finished."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from standin import TROUBLE, Runner, call, main

RELAYS, CUT_OFF, RUNNERS, ROUNDS = 6, 1, 2, 5
# The pause after each round is longer than ContactMs.
CUT_S, CALM_S, DRAIN_S = 4.5, 5.0, 2.0
CALLERS = 12
JOB, ITEMS, EVENTS = "a90be64f51d07ac3", 10, 60
# FinishS of the sheets is 18 s.
WAIT_S = 30.0


class Prefilling(Runner):
    """Needs some time for the prompt before it answers, as engines do."""

    async def work(self, request, writer, run):
        await asyncio.sleep(0.15)
        return await super().work(request, writer, run)


async def case(harness):
    refused = set()
    await harness.start(relays=0, models=0, plains=0)
    for number in range(RUNNERS):
        await harness.add_runner(f"m-{number}", "model", kind=Prefilling)
    for number in range(RELAYS):
        store = await harness.store.serve_machine(
            f"{harness.net}.250", lambda number=number: number in refused
        )
        await harness.add_relay(store=store)
    await harness.await_ready(harness.relays)
    await asyncio.sleep(4.0)
    stop = asyncio.Event()
    callers = [
        asyncio.ensure_future(keep_calling(harness, relay, f"{relay.number:02x}{caller:02x}", stop))
        for relay in harness.relays[:CUT_OFF]
        for caller in range(CALLERS)
    ]
    await asyncio.sleep(3.0)
    for _ in range(ROUNDS):
        # A release of one of the runners that serve.
        serving = [
            number for number, runner in enumerate(harness.runners)
            if any(run["at"] > time.monotonic() - 2.0 for run in runner.runs)
        ]
        if not serving:
            break
        healed = time.monotonic() + CUT_S
        if TROUBLE:
            refused.update(range(CUT_OFF))
            harness.record("the store refuses", CUT_OFF, "of", RELAYS, "relays")
        await asyncio.sleep(0.5)
        await restart(harness, serving[0])
        await asyncio.sleep(healed - time.monotonic())
        refused.clear()
        harness.record("the store serves all relays")
        await asyncio.sleep(CALM_S)
    stop.set()
    await asyncio.gather(*callers)
    leaving = {key: row for (part, key), row in harness.store.table("fleet").items() if part == "leaving"}
    for runner in harness.runners:
        harness.record("runner", runner.id, "is ready, born", runner.born, "- stored as leaving:", leaving.get(runner.id))
    since = time.monotonic()
    if await harness.submit(harness.relays[-1], JOB, ITEMS, EVENTS) != 202:
        raise RuntimeError("the job was not accepted")
    listed = 0
    while listed < ITEMS and time.monotonic() < since + WAIT_S:
        await asyncio.sleep(1.0)
        status, page = await harness.results(harness.relays[-2], JOB)
        listed = len(page["Results"]) if status == 200 else listed
    runs = {runner.id: sum(run["at"] > since for run in runner.runs) for runner in harness.runners}
    harness.record(f"{listed} of {ITEMS} items are listed; runs since the submission:", runs)
    return listed == ITEMS


async def keep_calling(harness, relay, name, stop):
    number, statuses = 0, {}
    while not stop.is_set():
        number += 1
        headers = [("Request-Id", f"{name}{number:012x}"), ("Deadline-Ms", "5000"), ("Token-Counts", "10,5")]
        try:
            status = (await call(relay.front, "POST", f"/stream/{number}", headers, b"x", timeout=6.0)).status
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status = type(error).__name__
        statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(0.05)
    harness.record("caller", name, "at", relay.name, "got", statuses)


async def restart(harness, number):
    """Restarts a runner as planned: it reports `draining`, says so in its answers, serves on, and exits. Its
    next start has the same id and address and another `born`."""
    old = harness.runners[number]
    harness.record("runner", old.id, "drains")
    old.leaving, old.state = True, "draining"
    await old.list()
    await asyncio.sleep(DRAIN_S + 0.3)
    ip, port = old.address.rsplit(":", 1)
    await old.stop()
    await harness.store.remove("servers", old.id)
    await asyncio.sleep(0.3)
    new = Prefilling(harness.record, harness.store, old.id, old.service)
    harness.runners[number] = new
    await new.start(ip, int(port))
    harness.record("runner", new.id, "starts again, born", new.born)


main(FOLDER, case)
