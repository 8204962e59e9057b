"""Stand-ins for the scripts of this review: the platform's store, runners, and relays as processes.

Everything listens on loopback addresses. One harness is one asyncio program; the relays are started
with the command and the template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "calls.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


class Message:
    """A request or a response."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0].strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store of PROTOCOL.md: rows, their feed, and objects."""

    READ_S = 0.004
    TX_S = 0.005

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        # Version up to which the history is forgotten.
        self.compacted = 0
        self.blobs = {}
        self.changed = asyncio.Condition()
        self.origin = time.monotonic()
        # Called with (kind, path, body) before a call; returns None or a fault, see `serve`.
        self.fault = lambda kind, path, body: None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 24)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve_machine(self, ip, is_refused):
        """Returns a further address, for one machine, at which every call is refused with 503 while
        `is_refused()` holds."""

        async def serve(reader, writer):
            await self.serve(reader, writer, is_refused)

        server = await asyncio.start_server(serve, ip, 0, limit=1 << 24)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def now_ms(self):
        return (time.monotonic() - self.origin) * 1000.0 + 50_000

    async def write(self, changes):
        """Applies [(table, part, key), value in base64 or None]."""
        async with self.changed:
            self.version += 1
            for name, value in changes:
                if value is None:
                    self.rows.pop(name, None)
                else:
                    self.rows[name] = (value, self.version)
                self.history.append((self.version, name, value))
            self.changed.notify_all()
        return self.version

    async def put_json(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.write([((table, "", key), text)])

    async def remove(self, table, key):
        await self.write([((table, "", key), None)])

    def row(self, table, part, key):
        found = self.rows.get((table, part, key))
        return None if found is None else json.loads(base64.b64decode(found[0]))

    def table(self, table):
        return {
            (part, key): json.loads(base64.b64decode(value))
            for (found, part, key), (value, _) in list(self.rows.items())
            if found == table
        }

    @staticmethod
    def row_json(name, value, version):
        row = {"Table": name[0], "part": name[1], "Key": name[2], "Ver": version}
        if value is None:
            row["Tombstone"] = True
        else:
            row["Value"] = value
        return row

    async def serve(self, reader, writer, is_refused=lambda: False):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                method, target, _ = request.first.split(" ")
                kind = method + " " + urlsplit(target).path
                fault = "refuse" if is_refused() else self.fault(kind, target, request.body)
                if fault == "refuse":
                    writer.write(response("503 Service Unavailable"))
                    await writer.drain()
                    continue
                if fault == "silent":
                    await asyncio.sleep(3600)
                if isinstance(fault, tuple) and fault[0] == "late":
                    # The call is performed later, if its condition still holds, and not answered.
                    asyncio.get_running_loop().call_later(
                        fault[1], lambda: asyncio.ensure_future(self.answer(method, target, request.body))
                    )
                    return
                answer = await self.answer(method, target, request.body)
                if is_refused():
                    # A call that waited for changes.
                    answer = response("503 Service Unavailable")
                if fault == "lost":
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        path = unquote(parts.path)
        if path == "/-/rows-feed":
            return await self.feed(query)
        await asyncio.sleep(self.TX_S if method != "GET" else self.READ_S)
        if path == "/-/rows-tx":
            return await self.commit(json.loads(body))
        if path == "/-/rows-get":
            return self.get(query)
        if path == "/-/rows-parts":
            names = sorted({part for table, part, _ in self.rows if table == query["Table"]})
            names = [name for name in names if name > query.get("After", "")] if "After" in query else names
            return self.json({"parts": names[:1000], "HasMore": len(names) > 1000})
        if path.startswith("/-/blob-put/"):
            name = path[len("/-/blob-put/"):]
            if name in self.blobs:
                return response("412 Precondition Failed")
            self.blobs[name] = body
            return response("200 OK")
        if path.startswith("/-/blob-get/"):
            found = self.blobs.get(path[len("/-/blob-get/"):])
            return response("404 Not Found") if found is None else response("200 OK", found)
        if path.startswith("/-/blob-drop/"):
            self.blobs.pop(path[len("/-/blob-drop/"):], None)
            return response("200 OK")
        return response("404 Not Found")

    def json(self, value, status="200 OK"):
        value = dict(value, Ver=self.version, NowMs=self.now_ms())
        return response(status, json.dumps(value).encode(), [("Content-Type", "application/json")])

    def get(self, query):
        table, part = query["Table"], query.get("part", "")
        start, end = query.get("From", ""), query.get("To")
        limit = min(int(query.get("Limit", "500")), 500)
        keys = sorted(
            key.encode() for found, other, key in self.rows if found == table and other == part
        )
        keys = [key for key in keys if key >= start.encode() and (end is None or key < end.encode())]
        rows = []
        for key in keys[:limit]:
            name = (table, part, key.decode())
            rows.append(self.row_json(name, *self.rows[name]))
        return self.json({"Rows": rows, "HasMore": len(keys) > limit})

    async def commit(self, body):
        def name(entry):
            return (entry["Table"], entry.get("part", ""), entry["Key"])

        expected = body.get("ExpectedRev") or []
        puts, removes = body.get("Put") or [], body.get("Remove") or []
        if any(self.rows.get(name(entry), (None, 0))[1] != entry["Ver"] for entry in expected):
            rows = []
            for entry in expected:
                value, version = self.rows.get(name(entry), (None, 0))
                rows.append(self.row_json(name(entry), value, version))
            return self.json({"Rows": rows}, "412 Precondition Failed")
        changes = [(name(entry), entry["Value"]) for entry in puts]
        changes += [(name(entry), None) for entry in removes]
        await self.write(changes)
        return self.json({})

    async def feed(self, query):
        table, after = query["Table"], int(query["After"])
        if after < self.compacted:
            return self.json({}, "410 Gone")
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000.0

        def newer():
            return [entry for entry in self.history if entry[0] > after and entry[1][0] == table]

        async with self.changed:
            while not newer():
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            last = {}
            for version, name, value in newer():
                last.pop(name, None)
                last[name] = (value, version)
            rows = [self.row_json(name, value, version) for name, (value, version) in last.items()]
            answer = self.json({"Rows": rows})
        await asyncio.sleep(self.READ_S)
        return answer


class Runner:
    """A sound runner. It serves one request at a time on a connection, and drops it with the channel."""

    HEARTBEAT_S = 1.2

    def __init__(self, record, store, ident, service, slots=8, event_s=0.02, version="v1", zone="a"):
        self.record, self.store, self.id, self.service = record, store, ident, service
        self.slots, self.event_s, self.version, self.zone = slots, event_s, version, zone
        self.running = 0
        self.runs = []
        self.calls = 0
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.state = "ready"
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.accept, ip, port, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.list()
        self.beat = asyncio.ensure_future(self.heartbeat())

    def entry(self):
        return {
            "Service": self.service, "Address": self.address, "Zone": self.zone,
            "Version": self.version, "Slots": self.slots, "State": self.state,
            "ColdLeftMs": 0, "CallSeq": self.calls, "born": self.born,
        }

    async def list(self):
        await self.store.put_json("servers", self.id, self.entry())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_S)
            await self.list()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                if not await self.handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stamp(self, request):
        headers = [("Request-Id", request.header("Request-Id")), ("Server-Stamp", f"{self.id}.{self.born}")]
        return headers + ([("Server-Leaving", "1")] if self.leaving else [])

    async def handle(self, request, reader, writer):
        ident = request.header("Request-Id")
        expected = request.header("Expect-Instance")
        if expected and expected != self.id:
            writer.write(response("421 Misdirected Request", b"", [("Request-Id", ident), ("Instance-Id", self.id)]))
            await writer.drain()
            return True
        if not ident:
            writer.write(response("400 Bad Request", b"", [("Not-Run", "1")]))
            await writer.drain()
            return True
        if self.running >= self.slots:
            writer.write(response("503 Service Unavailable", b"", [("Request-Id", ident), ("Not-Run", "1")]))
            await writer.drain()
            return True
        self.running += 1
        self.calls += 1
        last = request.header("Last-Event-Id")
        run = {"id": ident, "after": int(last) if last else 0, "at": time.monotonic(), "end": None}
        self.runs.append(run)
        self.record("run", self.id, ident, f"after={run['after']}", "begins")
        # A runner drops a request when its channel closes.
        work = asyncio.ensure_future(self.work(request, writer, run))
        watch = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                run["end"] = "dropped"
                return False
            return work.result()
        finally:
            work.cancel()
            watch.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)
            if not watch.cancelled() and watch.exception() is None and watch.result():
                # The next request has come early; `read` has taken its first byte.
                reader._buffer[:0] = watch.result()
            self.running -= 1
            run["end"] = run["end"] or "complete"
            self.record("run", self.id, ident, run["end"])

    async def work(self, request, writer, run):
        counts = request.header("Token-Counts")
        if not counts:
            body = b"answer to " + request.body
            await asyncio.sleep(self.event_s)
            writer.write(response("200 OK", body, self.stamp(request)))
            await writer.drain()
            return True
        events = int(counts.split(",")[1])
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.stamp(request)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for event in range(run["after"] + 1, events + 1):
            await asyncio.sleep(self.event_s)
            text = f"id: {event}\ndata: piece {event} of {run['id']}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def stop(self):
        """Ends without a word, like a process that is killed."""
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()


def whole_text(item, events):
    return "\n".join(f"piece {event} of {item}" for event in range(1, events + 1))


class Relay:
    """A relay in a process of its own, on a loopback address of its own."""

    PORTS = {"front": 8144, "ready": 8140, "first": 7660}

    def __init__(self, record, folder, number, ip, store, memory_mb=130, zone="a", bounds=None, cpu=0.5):
        self.record, self.number, self.ip = record, number, ip
        self.name = f"front-{zone}-{number}"
        self.front = f"{ip}:{self.PORTS['front']}"
        self.ready = f"{ip}:{self.PORTS['ready']}"
        self.settings = os.path.join(folder, f"{self.name}.jsonc")
        self.log = os.path.join(folder, f"{self.name}.log")
        self.process = None
        fields = {
            "NodeName": self.name, "Zone": zone, "Ip": ip,
            "Listen": {"Front": self.front, "Ready": self.ready},
            "PortRange": [self.PORTS["first"], self.PORTS["first"] + 15],
            "Platform": {"Address": store, "RowBytes": 65536},
            "Limits": {"CpuShare": cpu, "MemoryMb": memory_mb},
            "Bounds": dict({"ConfigApplyMs": 2000, "StatusS": 120, "GraceS": 8}, **(bounds or {})),
        }
        with open(os.path.join(ROOT, "deploy", "relay.jsonc"), encoding="utf-8") as template:
            text = template.read()

        def fill(match):
            path, _, form = match.group(1).partition("|")
            value = fields
            for name in path.split("."):
                value = value[int(name)] if isinstance(value, list) else value[name]
            return json.dumps(value) if form == "json" or not isinstance(value, str) else value

        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", fill, text))

    async def start(self):
        log = open(self.log, "ab")
        program = os.path.join(ROOT, "target", "release", "cyclamengrade")
        self.process = await asyncio.create_subprocess_exec(
            program, "relay", self.settings, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/")},
        )
        log.close()
        self.record("relay", self.name, "starts")

    def signal(self, number):
        self.record("relay", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            return (await call(self.ready, "GET", "/-/readyz", timeout=1.0)).status == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False


class Reply:
    def __init__(self, status, headers, body, complete=True):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def json(self):
        return json.loads(self.body)


async def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """Makes one call on a new channel and reads the whole answer."""
    return await asyncio.wait_for(_call(address, method, path, headers, body), timeout)


async def _call(address, method, path, headers, body):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise EOFError("the channel ended without an answer")
        first, found = head
        status = int(first.split(" ")[1])
        data, complete = b"", True
        try:
            if "chunked" in found.get("transfer-encoding", "").lower():
                while True:
                    size = int((await reader.readline()).split(b";")[0].strip() or b"x", 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    data += chunk[:-2]
            else:
                data = await reader.readexactly(int(found.get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            data += getattr(error, "partial", b"")
            complete = False
        return Reply(status, found, data, complete)
    finally:
        writer.close()


class Harness:
    """A store, runners and relays. All processes end with `close`."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(64, 250)}.{random.randint(0, 250)}"
        self.relays, self.runners = [], []
        self.version = 0

    async def start(self, relays, models=2, plains=1, **options):
        self.store = Store(self.record)
        await self.store.start(f"{self.net}.250")
        await self.configure()
        for number in range(models):
            await self.add_runner(f"m-{number}", "model", **options.get("runner", {}))
        for number in range(plains):
            await self.add_runner(f"p-{number}", "plain")
        for number in range(relays):
            await self.add_relay(**options.get("relay", {}))
        await self.await_ready(self.relays)

    async def add_runner(self, ident, service, kind=Runner, **options):
        runner = kind(self.record, self.store, ident, service, **options)
        await runner.start(f"{self.net}.{100 + len(self.runners)}")
        self.runners.append(runner)
        return runner

    async def add_relay(self, store=None, **options):
        number = len(self.relays)
        store = store or self.store.address
        relay = Relay(self.record, self.temporary, number, f"{self.net}.{number + 1}", store, **options)
        self.relays.append(relay)
        await relay.start()
        return relay

    async def await_ready(self, relays, within=20.0):
        until = time.monotonic() + within
        for relay in relays:
            while not await relay.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"{relay.name} does not become ready")
                await asyncio.sleep(0.1)

    def routes(self):
        def route(name, kind, service, **more):
            return dict(
                {
                    "Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Kind": kind,
                    "TimeoutMs": 5000, "TargetLatencyMs": 400, "Priority": 0, "MaxAttempts": 2,
                    "Service": service, "GapAimMs": 400, "CompletionTargetMs": 18000, "RetentionS": 60,
                },
                **more,
            )

        return [
            route("stream", "stream", "model", Resumable=True),
            route("once", "stream", "model"),
            route("safe", "safe", "plain"),
            route("unsafe", "unsafe", "plain"),
            route("batch", "batch", "model", MaxAttempts=3),
        ]

    async def configure(self, routes=None):
        self.version += 3
        services = [{"Name": name, "HealthPath": "/healthz", "MaxConns": 370} for name in ("model", "plain")]
        limits = {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
        }
        manifest = {
            "Version": self.version, "Routes": routes or self.routes(), "Services": services, "Limits": limits,
        }
        await self.store.put_json("op", "config", manifest)

    async def submit(self, relay, job, items, events, path="/batch"):
        entries = [
            {
                "Id": f"{job}{item:04x}", "Path": f"{path}/{item}",
                "Headers": {"Model": "m", "Token-Counts": f"10,{events}"},
                "Body": base64.b64encode(f"body of {job} {item}".encode()).decode(), "Tokens": 10 + events,
            }
            for item in range(items)
        ]
        headers = [("Request-Id", job), ("Content-Type", "application/json")]
        body = json.dumps({"Items": entries}).encode()
        try:
            reply = await call(relay.front, "POST", f"{path}/{job}", headers, body)
        except (OSError, asyncio.TimeoutError, EOFError) as error:
            self.record("submit", job, "to", relay.name, "->", type(error).__name__)
            return None
        self.record("submit", job, "to", relay.name, "->", reply.status)
        return reply.status

    async def results(self, relay, job, after=0):
        """Returns the status and, with 200, the page."""
        try:
            reply = await call(relay.front, "GET", f"/-/lots/{job}?After={after}")
        except (OSError, asyncio.TimeoutError, EOFError) as error:
            self.record("read", job, "at", relay.name, "->", type(error).__name__)
            return None, None
        page = reply.json() if reply.status == 200 else None
        shown = f"{len(page['Results'])} of {page['Total']}" if page else ""
        self.record("read", job, f"after={after}", "at", relay.name, "->", reply.status, shown)
        return reply.status, page

    async def close(self):
        for relay in self.relays:
            if relay.process is not None and relay.process.returncode is None:
                try:
                    relay.process.send_signal(signal.SIGCONT)
                    relay.process.kill()
                except ProcessLookupError:
                    pass
                await relay.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder, case):
    """Runs a case, `async case(harness) -> bool (whether the rule held)`. Exits with 0 if it held, 10 if it
    was broken, and 2 if the case could not run; `run_case.sh` turns this into what the review asks for."""

    async def run():
        harness = Harness(folder)
        try:
            held = await asyncio.wait_for(case(harness), 110)
            harness.record("verdict:", "the rule held" if held else "the rule was broken")
            return 0 if held else 10
        except Exception as error:  # Any error means that the case could not run.
            harness.record("the case could not run:", type(error).__name__, error)
            return 2
        finally:
            await harness.close()

    sys.exit(asyncio.run(run()))
