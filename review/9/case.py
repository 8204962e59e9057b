"""A runner that fails a part of its requests after it has run them answers 503, without saying that they did not run."""
import asyncio, os, sys, time, uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from world import head_bytes, main, request

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 7  # one of seven is a share of 0.143
SHARE_OF_REQUESTS = 0.4
TROUBLE_S = 5
PROMISES = {408, 421, 429, 503}


async def case(world):
    await world.begin(relays=3, runners=RUNNERS, plain=2, runner={"events": 28, "pause": 0.02})
    grey, state = world.runners[0], {"on": False, "seen": 0, "failed": 0}
    sound = grey.run

    async def run(path, headers, name, body, reader, writer):
        state["seen"] += state["on"]
        if not state["on"] or state["failed"] + 1 > SHARE_OF_REQUESTS * state["seen"]:
            return await sound(path, headers, name, body, reader, writer)
        state["failed"] += 1
        await asyncio.sleep(0.1)  # it works on the request, and fails
        world.record("FAILS", grey.name, name, 503)
        writer.write(head_bytes(503, [("Request-Id", name), ("Server-Stamp", f"stamp.{grey.name}.{name}"), ("Content-Length", 0)]))
        await writer.drain()
        return True

    grey.run = run
    attempts, orders = {}, {}  # answers by client attempt, and the attempts of each order

    async def order(number):
        """Sends a request that is not idempotent. After a promise that it has not run, it is sent once more."""
        for attempt in range(2):
            name = uuid.uuid4().hex[:16]
            orders.setdefault(number, []).append(name)
            headers = {"Request-Id": name, "Deadline-Ms": 5000, "Model": "m", "Token-Counts": "540,28", "Prompt-Prefix": "9c2e41:300,5d07b8:240"}
            try:
                status = (await request(world.relays[(number + attempt) % 3].front, "POST", "/short/order", headers, b"order %d" % number, 6))[0]
            except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status = type(error).__name__
            attempts[name] = status
            world.record("REQUEST", name, "order", number, "attempt", attempt + 1, status)
            if status not in PROMISES:
                return

    await asyncio.sleep(1)
    tasks, number, start = [], 0, time.monotonic()
    state["on"] = TROUBLE
    while time.monotonic() < start + TROUBLE_S + 3:
        state["on"] = TROUBLE and time.monotonic() < start + TROUBLE_S
        tasks.append(asyncio.create_task(order(number)))
        number += 1
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)
    broken = [name for name, status in attempts.items() if status in PROMISES and name in world.runs]
    twice = [number for number, names in orders.items() if sum(name in world.runs for name in names) > 1]
    text = (f"{len(attempts)} attempts for {number} orders; answered with a promise although they had run: {len(broken)}; "
            f"orders that ran twice: {len(twice)}; the runner failed {state['failed']} of {state['seen']} requests")
    world.record("CHECK", text)
    print(text)
    return not broken


main(case, os.path.join(HERE, "record.txt"))
