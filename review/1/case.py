"""All relays but one are lost for good. The one that is left has to finish the accepted jobs, also those
that it accepts itself afterwards."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from standin import TROUBLE, main, whole_text

# The smaller installation of the users' pages has 10 entry machines.
RELAYS = 10
SURVIVORS = 1
ITEMS, EVENTS = 3, 60
# FinishS of the sheets is 18 s. The jobs get three times that.
WAIT_S = 54.0


async def case(harness):
    await harness.start(relays=RELAYS)
    # Calm time, more than ContactMs, in which all relays learn of each other.
    await asyncio.sleep(6.0)
    lost, left = harness.relays[: RELAYS - SURVIVORS], harness.relays[RELAYS - SURVIVORS :]
    jobs = [f"7c41e09b52d6a3{number:02x}" for number in range(len(lost))]
    statuses = await asyncio.gather(
        *(harness.submit(relay, job, ITEMS, EVENTS) for relay, job in zip(lost, jobs))
    )
    if statuses != [202] * len(jobs):
        raise RuntimeError("a job was not accepted")
    if TROUBLE:
        await asyncio.gather(*(relay.kill() for relay in lost))
    # More than ContactMs later, the relay that is left accepts another job.
    await asyncio.sleep(5.0)
    late = "7c41e09b52d6a3ff"
    if await harness.submit(left[0], late, ITEMS, EVENTS) != 202:
        raise RuntimeError("the last job was not accepted")
    jobs.append(late)
    until = time.monotonic() + WAIT_S
    open_jobs, pages = set(jobs), {}
    while open_jobs and time.monotonic() < until:
        await asyncio.sleep(1.0)
        for job in sorted(open_jobs):
            status, page = await harness.results(left[0], job)
            pages[job] = page if status == 200 else pages.get(job)
            if pages[job] and len(pages[job]["Results"]) == ITEMS:
                open_jobs.discard(job)
    for job, page in pages.items():
        for result in page["Results"] if page else []:
            if result["State"] == "completed" and result["Text"] != whole_text(result["Id"], EVENTS):
                harness.record("item", result["Id"], "has another text")
                return False
    running = sum(runner.running for runner in harness.runners)
    harness.record(f"{len(jobs) - len(open_jobs)} of {len(jobs)} jobs have all results;", running, "requests at runners")
    return not open_jobs


main(FOLDER, case)
