"""Starts a small deployment on loopback addresses: a store, runners, and relays by the commands of the deploy
file. All processes that it starts are ended by `close`."""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, HERE)
from http_client import call  # noqa: E402

HOST = "calls.example"
RELAY_PORTS = (8144, 8140, 7660, 9464)


def free_host():
    """Returns a prefix of loopback addresses that no other process uses."""
    for number in range(1, 250):
        prefix = f"127.{60 + (os.getpid() + number) % 150}.{(os.getpid() // 7 + number) % 250}"
        try:
            for last in (1, 10, 11, 12):
                for port in RELAY_PORTS:
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{last}", port))
            return prefix
        except OSError:
            continue
    raise OSError("no free loopback addresses")


def render(template, fields):
    """Fills the deploy file's template of the settings in, as DEPLOY.md says."""

    def find(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if value else None
        return value

    def section(match):
        return match.group(2) if find(match.group(1)) else ""

    def value(match):
        found = find(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)(\|json)?}}", value, text)


def end_on_signal(*_):
    raise SystemExit(2)


class Relay:
    def __init__(self, name, ip, settings):
        self.name, self.ip, self.settings = name, ip, settings
        self.front, self.ready, self.process, self.starts = f"{ip}:8144", f"{ip}:8140", None, 0


class World:
    def __init__(self, record, relays=3, bounds=None, memory_mb=290, cpu_share=0.5, zones=("a",)):
        signal.signal(signal.SIGTERM, end_on_signal)  # `close` still ends what was started
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.prefix, self.record_file, self.start = free_host(), open(record, "w"), time.monotonic()
        self.processes, self.relays = [], []
        self.version = 4
        ports = [str(18000 + number) for number in range(relays + 1)]
        self.store = f"{self.prefix}.1:{ports[-1]}"
        self.spawn("store", [sys.executable, f"{HERE}/store.py", f"{self.prefix}.1", *ports])
        self.run_log = f"{self.folder}/runs.jsonl"
        bounds = {"ConfigApplyMs": 2000, "StatusS": 120, "GraceS": 8, **(bounds or {})}
        template = open(f"{ROOT}/deploy/relay.jsonc").read()
        for number in range(relays):
            ip = f"{self.prefix}.{10 + number}"
            fields = {
                "NodeName": f"front-{number + 1}", "Zone": zones[number % len(zones)], "Ip": ip,
                "Listen": {"Front": f"{ip}:8144", "Ready": f"{ip}:8140"}, "PortRange": [7660, 7675],
                "Platform": {"Address": f"{self.prefix}.1:{ports[number]}", "RowBytes": 65536},
                "Bounds": bounds, "Limits": {"CpuShare": cpu_share, "MemoryMb": memory_mb},
            }
            path = f"{self.folder}/relay-{number + 1}.jsonc"
            with open(path, "w") as file:
                file.write(render(template, fields))
            self.relays.append(Relay(fields["NodeName"], ip, path))

    def note(self, what, **more):
        """Writes a line to the record."""
        text = " ".join(f"{name}={value}" for name, value in more.items())
        self.record_file.write(f"{time.monotonic() - self.start:9.3f} {what} {text}\n".rstrip() + "\n")
        self.record_file.flush()

    def spawn(self, name, command):
        log = open(f"{self.folder}/{name}.log", "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT)
        self.processes.append(process)
        return process

    def start_runners(self, service, runners, **more):
        """Starts the runners of a service in one process. Each one is a pair of an id and its behaviour."""
        entries = []
        for number, (runner, behaviour) in enumerate(runners):
            port = 19000 + 100 * len(self.processes) + number
            entries.append({"id": runner, "address": f"{self.prefix}.2:{port}", **behaviour})
        settings = {"store": self.store, "service": service, "log": self.run_log, "runners": entries, **more}
        path = f"{self.folder}/{service}-{len(self.processes)}.json"
        with open(path, "w") as file:
            json.dump(settings, file)
        process = self.spawn(f"runners-{service}", [sys.executable, f"{HERE}/runner.py", path])
        process.settings_path = path
        return process

    def restart_runners(self, process, **more):
        """Starts the runners of a process that has ended once more, under their ids and at their addresses."""
        with open(process.settings_path) as file:
            settings = {**json.load(file), **more}
        with open(process.settings_path, "w") as file:
            json.dump(settings, file)
        started = self.spawn("runners-again", [sys.executable, f"{HERE}/runner.py", process.settings_path])
        started.settings_path = process.settings_path
        return started

    def start_relay(self, relay):
        relay.starts += 1
        command = [f"{ROOT}/target/release/cyclamengrade", "relay", relay.settings]
        relay.process = self.spawn(relay.name, command)
        self.note("relay started", name=relay.name)

    def signal(self, relay, number):
        self.note("signal", name=relay.name, signal=signal.Signals(number).name)
        relay.process.send_signal(number)

    async def write(self, table, key, value):
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        body = {"Put": [{"Table": table, "part": "", "Key": key, "Value": encoded}]}
        answer = await call(self.store, "POST", "/-/rows-tx", {"x-writer": "operator"}, json.dumps(body).encode())
        assert answer[0] == 200, answer

    async def set_faults(self, **faults):
        self.note("store", **faults)
        await call(self.store, "POST", "/admin/faults", {"x-writer": "case"}, json.dumps(faults).encode())

    async def configure(self, routes, services, tenants=None):
        self.version += 3
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
        manifest = {"Version": self.version, "Routes": routes, "Services": services, "Limits": limits}
        if tenants is not None:
            manifest["Tenants"] = tenants
        await self.write("op", "config", manifest)
        self.note("manifest", version=self.version)

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                if await condition():
                    return
            except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise TimeoutError(what)

    async def is_ready(self, relay):
        return (await call(relay.ready, "GET", "/-/readyz", {}, limit_s=0.5, connect_s=0.5))[0] == 200

    async def await_store(self):
        async def answers():
            return (await call(self.store, "GET", "/-/rows-parts?Table=op", {}, limit_s=1.0))[0] == 200
        await self.until(answers, 10.0, "the store answers")

    async def await_ready(self, relays=None):
        for relay in relays or self.relays:
            await self.until(lambda relay=relay: self.is_ready(relay), 15.0, f"{relay.name} is ready")

    def runs(self):
        """Returns what the runners wrote, in the order of time."""
        try:
            lines = open(self.run_log).read().splitlines()
        except FileNotFoundError:
            return []
        return sorted((json.loads(line) for line in lines if line), key=lambda line: line["t"])

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **more):
    return {
        "Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 5000,
        "TargetLatencyMs": 500, "Priority": 0, "MaxAttempts": 2, "Service": service, **more,
    }


def service(name, connections=500):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": connections, "Protocol": "h1", "Tls": False}
