"""Batch jobs while one answer of a runner is spoiled, and the rule LOST about items that are never listed."""
import asyncio, os, time

from world import request, uuid

JOBS, ITEMS, GAP_S = 26, 10, 1.9  # about 0.5 batch jobs a second, as the sheet has them
EVENTS, EVENT_BYTES = 194, 60  # mean of the sheet of himal-labels
FINISH_S = 18
FAILED_S = 20  # items that failed at a runner in this time don't count
SPOILED_ANSWER = 12  # number of the spoiled answer among those of the faulty runner
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def play(world, spoil):
    """`spoil(runner, request)` spoils the answer of a runner to one request."""
    text = lambda name, number: (f"{name}-{number}-" + "t" * EVENT_BYTES)[:EVENT_BYTES]
    await world.begin(relays=3, runners=4, plain=2, runner={"events": EVENTS, "pause": 0.005, "text": text})
    faulty = world.runners[0]
    spoiled = []
    plain_headers = faulty.headers

    def headers(name):
        if TROUBLE and faulty.answers == SPOILED_ANSWER and name in items_of:
            spoiled.append(name)
            world.record("SPOILED", faulty.name, name)
            return spoil(faulty, name) or plain_headers(name)
        return plain_headers(name)

    faulty.headers = headers
    jobs, items_of = {}, {}
    for index in range(JOBS):
        name, items = world.job(ITEMS, b"x" * 15000)
        items_of.update({item["Id"]: name for item in items})
        status = await world.submit(world.relays[index % 3], name, items)
        if status != 202:
            raise RuntimeError(f"a job was answered {status}")
        jobs[name] = items
        await asyncio.sleep(GAP_S)
    end = time.monotonic() + 30
    while len(world.finished) < JOBS * ITEMS and time.monotonic() < end:
        await asyncio.sleep(0.2)
    world.record("ALL RUN", len(world.finished), "of", JOBS * ITEMS, "items finished at a runner")
    finished = time.monotonic()
    await asyncio.sleep(max(FINISH_S, FAILED_S) + 4)
    missing = await world.unlisted(jobs)
    # The rule counts only what no runner has had for 5 s, while no item was finished.
    late = [run for name in sum(missing.values(), []) for run in world.runs.get(name, []) if run[0] > finished + 1]
    busy = [runner.name for runner in world.runners if runner.running]
    answers = {runner.name: runner.answers for runner in world.runners if runner.service == "llm"}
    status = (await request(world.relays[0].front, "POST", "/plain/1", {"Request-Id": uuid.uuid4().hex[:16], "Deadline-Ms": 1500}, b"x"))[0]
    world.record("CHECK", "spoiled", spoiled, "answers", answers, "missing", missing, "busy", busy, "late runs", len(late),
                 "refused transactions", len(world.store.refused), "plain request", status)
    print(f"spoiled answers: {len(spoiled)} of {answers[faulty.name]}; unlisted: {sum(map(len, missing.values()))} of {JOBS * ITEMS} items "
          f"in {len(missing)} of {JOBS} jobs, {time.monotonic() - finished:.0f} s after the last run ended; transactions refused by the store: {len(world.store.refused)}")
    if TROUBLE and not spoiled:
        raise RuntimeError("no answer was spoiled")
    return not missing or bool(busy) or bool(late)
