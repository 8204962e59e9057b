"""A tenant sends beyond its quota while the machines are stopped and started in turn."""
import asyncio, os, random, signal, sys, time, uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from world import main, request

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RELAYS, RATE, BURST = 4, 40.0, 40.0
QUOTA_X, HOT_X, HOT_S = 1.6, 7.5, 6.5  # quota to usual load, hot tenant
GAP_S = 1.3  # of the rolling restart, one machine at a time
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
LIMIT = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
CALM_S, ROLL_AT_S, HOT_AT_S = 8.0, 8.0, 9.0


async def case(world):
    tenants = [{"Name": "tenant-a", "ApiKeys": ["key-a"], "Priority": 1, "RatePerS": RATE, "Burst": BURST}]
    await world.begin(relays=RELAYS, runners=2, plain=8, tenants=tenants, relay={"extra": {"accounts": {"revoke_ms": 5000}}})
    in_rotation = {relay.name: True for relay in world.relays}
    sent, answers, at = {}, {}, {}
    limit = asyncio.Semaphore(150)

    async def probe(relay):
        misses = 0
        while True:
            misses = 0 if await relay.is_ready() else misses + 1
            in_rotation[relay.name] = misses < 2
            await asyncio.sleep(1)

    async def call(relay):
        async with limit:
            name = uuid.uuid4().hex[:16]
            sent[name], at[name] = time.monotonic(), relay.name
            headers = {"Request-Id": name, "Deadline-Ms": 4000, "Authorization": "Token key-a"}
            try:
                status = (await request(relay.front, "POST", "/plain/q", headers, b"basket", 5))[0]
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status = type(error).__name__
            answers[name] = status
            world.record("REQUEST", name, relay.name, status)

    async def stop_and_start(relay):
        relay.signal(signal.SIGTERM)
        end = time.monotonic() + 8
        while relay.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        relay.kill()
        await asyncio.sleep(0.2)
        relay.start()

    async def roll():
        await asyncio.sleep(ROLL_AT_S)
        restarts = []
        for relay in world.relays:
            restarts.append(asyncio.create_task(stop_and_start(relay)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)

    probes = [asyncio.create_task(probe(relay)) for relay in world.relays]
    rolling = asyncio.create_task(roll()) if TROUBLE else None
    calls, start = [], time.monotonic()
    while (elapsed := time.monotonic() - start) < HOT_AT_S + HOT_S + 3:
        targets = [relay for relay in world.relays if in_rotation[relay.name]] or world.relays
        calls.append(asyncio.create_task(call(random.choice(targets))))
        is_hot = HOT_AT_S <= elapsed < HOT_AT_S + HOT_S
        await asyncio.sleep(1 / (RATE / QUOTA_X * (HOT_X if is_hot else 1)))
    await asyncio.gather(*calls)
    if rolling:
        await rolling
    for task in probes:
        task.cancel()
    ran = sorted((sent[name], runs[0][0], name) for name, runs in world.runs.items() if name in sent)
    most, begin = max((sum(1 for a, b, _ in ran if a >= first and b <= first + WINDOW_S), first) for first, _, _ in ran)
    by_relay = {}
    for a, b, name in ran:
        if a >= begin and b <= begin + WINDOW_S:
            by_relay[at[name]] = by_relay.get(at[name], 0) + 1
    kinds = {}
    for status in answers.values():
        kinds[status] = kinds.get(status, 0) + 1
    text = (f"most requests of the tenant run in {WINDOW_S:.0f} s: {most}, allowed: {LIMIT:.0f}; the window begins {begin - start:.1f} s "
            f"after the start, by relay: {dict(sorted(by_relay.items()))}; answers: {kinds}")
    world.record("CHECK", text)
    print(text)
    return most <= LIMIT


main(case, os.path.join(HERE, "record.txt"))
