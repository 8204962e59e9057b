"""A manifest takes a key away, and adds a tenant whose name is not ASCII. Requests with the key go on."""
import asyncio, os, sys, time, uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from world import main, request

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_MS, CONFIG_APPLY_MS, AFTER_S = 5000, 3000, 20
VARIANT = os.environ.get("VARIANT", "name")
NAME = "Café Inverness" if TROUBLE and VARIANT == "name" else "Cafe Inverness"


def tenant(name, *keys):
    return {"Name": name, "ApiKeys": list(keys), "Priority": 1, "RatePerS": 230, "Burst": 230}


async def case(world):
    first = [tenant("sofas", "key-1", "key-2"), tenant("rooms", "key-3")]
    second = [tenant("sofas", "key-2"), tenant("rooms", "key-3"), tenant(NAME, "key-4")]
    await world.begin(relays=3, runners=2, plain=3, tenants=first, relay={"extra": {"accounts": {"revoke_ms": REVOKE_MS}}})
    sent, answers = {}, {}

    async def call(relay, key):
        name = uuid.uuid4().hex[:16]
        sent[name] = (time.monotonic(), key, relay.name)
        headers = {"Request-Id": name, "Deadline-Ms": 1500, "Authorization": f"Token {key}"}
        try:
            status = (await request(relay.front, "POST", "/plain/q", headers, b"basket", 3))[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        answers[name] = status
        world.record("REQUEST", name, relay.name, key, status)

    async def traffic(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.gather(*(call(relay, key) for relay in world.relays for key in ("key-1", "key-3", "key-4")))
            await asyncio.sleep(0.25)

    await traffic(3)
    before = [answers[name] for name, (_, key, _) in sent.items() if key == "key-1"]
    if set(before) != {200}:
        raise RuntimeError(f"the key does not work before the change: {set(before)}")
    routes = world.routes()
    if VARIANT == "route":
        # A second batch route, with the fields that the page lists for such a route.
        added = {**next(route for route in routes if route["Kind"] == "batch"), "Name": "batch-2", "PathPrefix": "/batch-2/"}
        if TROUBLE:
            del added["TimeoutMs"]
        routes.append(added)
    world.put_manifest(routes, tenants=second)
    acknowledged = time.monotonic()
    await traffic(AFTER_S)
    late = [name for name, (at, key, _) in sent.items() if key == "key-1" and at > acknowledged + REVOKE_MS / 1000]
    ran = [name for name in late if name in world.runs]
    relays = sorted({sent[name][2] for name in ran})
    new = [name for name, (at, key, _) in sent.items() if key == "key-4" and at > acknowledged + CONFIG_APPLY_MS / 1000]
    refused = [name for name in new if answers[name] in (401, 403, 404)]
    ready = [await relay.is_ready() for relay in world.relays]
    latest = max((sent[name][0] - acknowledged for name in ran), default=0)
    text = (f"requests with the revoked key, sent later than RevokeMs after the acknowledgement: {len(late)}, of them run: {len(ran)} at {relays}, "
            f"the last one sent {latest:.1f} s after it; requests with the new key, later than ConfigApplyMs: {len(new)}, refused: {len(refused)}; relays ready: {ready}")
    world.record("CHECK", text)
    print(text)
    return not ran and not refused


main(case, os.path.join(HERE, "record.txt"))
