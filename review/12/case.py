"""The relay that owns the quota of a tenant freezes for four seconds, as `node_freeze` does, and wakes again."""

import asyncio
import os
import signal
import sys
import time
from collections import Counter

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib3"))
from world import HOST, World, call, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TENANT, KEY = "huka270", "ftimaj3nr26tta828m82"
RATE, BURST = 100, 100  # equal, as in the pages' example of a manifest (`fleetbench wire`)
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
CALM, HOT = 30.0, 450.0  # requests a second of the tenant; hot_tenant brings up to 7.5 times the usual 62
FREEZE_S = 4.0  # largest `for_s` of node_freeze in the site files


class Case:
    def __init__(self):
        self.world = World(f"{HERE}/record.txt", bounds={"StrictRevoke": True, "RevokeMs": 5000})
        self.sent, self.answers, self.tasks = {}, {}, []
        self.in_rotation = {relay.name: True for relay in self.world.relays}

    async def balance(self):
        """Takes relays out of rotation after two misses of the readiness check, once a second."""
        misses = Counter()
        while True:
            for relay in self.world.relays:
                try:
                    is_ready = (await call(relay.ready, "GET", "/-/readyz", {}, limit_s=0.5, connect_s=0.5))[0] == 200
                except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    is_ready = False
                misses[relay.name] = 0 if is_ready else misses[relay.name] + 1
                before, now = self.in_rotation[relay.name], misses[relay.name] < 2
                if now != before:
                    self.world.note("in rotation" if now else "out of rotation", name=relay.name)
                    self.in_rotation[relay.name] = now
            await asyncio.sleep(1.0)

    async def request(self, relay, request):
        """Sends one request on a new channel. An attempt without an answer in the time limit is given up."""
        headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "5000", "Authorization": f"Token {KEY}"}
        self.sent[request] = time.monotonic()
        try:
            status = (await call(relay.front, "POST", "/basket/1", headers, b"body", limit_s=5.0))[0]
        except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        self.answers[request] = (relay.name, status)

    async def load(self, rate, seconds):
        begin, count = time.monotonic(), 0
        while time.monotonic() - begin < seconds:
            while count < (time.monotonic() - begin) * rate:
                relays = [relay for relay in self.world.relays if self.in_rotation[relay.name]]
                relay = relays[count % len(relays)]
                self.tasks.append(asyncio.create_task(self.request(relay, f"{len(self.tasks) + 1:016x}")))
                count += 1
            await asyncio.sleep(0.004)

    async def run(self):
        world = self.world
        await world.await_store()
        world.start_runners("shop-api", [(f"i-{n}", {"slots": 64, "work_ms": 2}) for n in range(4)])
        tenant = {"Name": TENANT, "ApiKeys": [KEY], "Priority": 1, "RatePerS": RATE, "Burst": BURST}
        await world.configure([route("basket", "unsafe", "shop-api")], [service("shop-api")], [tenant])
        for relay in world.relays:
            world.start_relay(relay)
        await world.await_ready()
        balancer = asyncio.create_task(self.balance())
        await asyncio.sleep(2.0)
        await self.load(CALM, 3.0)
        victim = next(r for r in world.relays if r.name == os.environ.get("VICTIM", "front-1"))
        if TROUBLE:
            world.signal(victim, signal.SIGSTOP)
        frozen = time.monotonic()
        await self.load(5.0, 0.6)
        world.note("the tenant sends 4.5 times its quota")
        hot = asyncio.create_task(self.load(HOT, 5.5))
        await asyncio.sleep(frozen + FREEZE_S - time.monotonic())
        if TROUBLE:
            world.signal(victim, signal.SIGCONT)
        await hot
        await asyncio.wait(self.tasks, timeout=7.0)
        balancer.cancel()
        return self.judge(victim)

    def judge(self, victim):
        world = self.world
        runs = [(self.sent[run["id"]], run["t"], run["id"]) for run in world.runs() if run["what"] == "run"]
        for sent, ran, request in sorted(runs):
            relay, status = self.answers.get(request, ("", "none"))
            world.record_file.write(f"{sent - world.start:9.3f} sent {request} to {relay}, "
                                    f"run at {ran - world.start:.3f}, answered {status}\n")
        counts = sorted(Counter(self.answers.values()).items(), key=str)
        world.note("answers", **{f"{relay}/{status}": count for (relay, status), count in counts})
        most, begin = 0, 0.0
        for first, _, _ in runs:
            count = sum(1 for sent, ran, _ in runs if sent >= first and ran <= first + WINDOW_S)
            if count > most:
                most, begin = count, first - world.start
        allowed = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
        world.note("verdict", most_in_5s=most, window_begin=f"{begin:.3f}", allowed=round(allowed),
                   broken=most > allowed)
        print(f"most in {WINDOW_S} s: {most}, allowed: {allowed:.0f}")
        return 1 if most > allowed else 0


async def main():
    case = Case()
    try:
        return await case.run()
    finally:
        case.world.close()


try:
    code = asyncio.run(main())
except Exception as error:  # the case could not run
    print(f"could not run: {error!r}")
    code = 2
sys.exit(code)
