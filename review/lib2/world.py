"""Stand-ins for the platform's store, for runners and for clients, and control of relay processes.

All of them run in one asyncio loop. The relays are separate processes, started with the command of the deploy file.
"""
import asyncio, base64, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, time, uuid
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BIN = os.path.join(ROOT, "target", "release", "cyclamengrade")
HOST = "ficu95.example"


PORTS = iter(random.sample(range(12000, 32000), 2000))  # below the ports of outgoing channels


def free_port():
    """A port that is free for TCP and for UDP."""
    for port in PORTS:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise RuntimeError("no free port")


class Record:
    """Writes record.txt: one line for everything that is sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, *words):
        self.file.write(f"{time.monotonic() - self.start:9.3f} " + " ".join(str(w) for w in words) + "\n")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def head_bytes(status, headers):
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 412: "Precondition Failed", 503: "Service Unavailable"}
    text = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1")


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self, row_bytes=65536, delay=0.004):
        self.row_bytes, self.delay = row_bytes, delay
        self.rows, self.blobs, self.changes, self.ver = {}, {}, [], 0
        self.changed = asyncio.Event()
        self.start = time.monotonic()
        self.refused = []  # transactions beyond the store's limits
        self.fault = None  # async function(method, path, body, peer, perform) that may answer in place of the store
        self.on_commit = None
        self.open = set()

    async def serve(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, part, key, value):
        self.ver += 1
        self.rows[(table, part, key)] = (value, self.ver)
        self.changes.append((self.ver, table, part, key, value))
        self.wake()

    def remove(self, table, part, key):
        self.ver += 1
        self.rows.pop((table, part, key), None)
        self.changes.append((self.ver, table, part, key, None))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, table, key, value):
        self.put(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())

    def now(self):
        return int((time.monotonic() - self.start) * 1000) + 50000

    async def connection(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                result = None
                if self.fault:
                    result = await self.fault(method, target, body, lambda: self.perform(method, target, headers, body))
                if result is None:
                    await asyncio.sleep(self.delay)
                    result = await self.perform(method, target, headers, body)
                if result == "close":
                    return
                status, answer, kind = result
                writer.write(head_bytes(status, [("Content-Type", kind), ("Content-Length", len(answer))]) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def perform(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        path = unquote(url.path)
        js = lambda status, value: (status, json.dumps(value).encode(), "application/json")
        if path == "/-/rows-tx":
            return self.transact(json.loads(body), len(body), js)
        if path == "/-/rows-get":
            table, part = query["Table"], query.get("part", "")
            limit = min(int(query.get("Limit", 500)), 500)
            keys = sorted(k[2] for k in self.rows if k[0] == table and k[1] == part
                          and ("From" not in query or k[2] >= query["From"]) and ("To" not in query or k[2] < query["To"]))
            rows = [{"Table": table, "part": part, "Key": k, "Value": self.rows[(table, part, k)][0],
                     "Ver": self.rows[(table, part, k)][1]} for k in keys[:limit]]
            return js(200, {"Rows": rows, "HasMore": len(keys) > limit, "Ver": self.ver, "NowMs": self.now()})
        if path == "/-/rows-parts":
            parts = sorted({k[1] for k in self.rows if k[0] == query["Table"] and k[1] > query.get("After", "")})
            return js(200, {"parts": parts, "HasMore": False, "Ver": self.ver, "NowMs": self.now()})
        if path == "/-/rows-feed":
            after, until = int(query["After"]), time.monotonic() + int(query.get("WaitMs", 0)) / 1000
            while True:
                latest = {}
                for ver, table, part, key, value in reversed(self.changes):
                    if ver <= after:
                        break
                    if table == query["Table"] and (part, key) not in latest:
                        latest[(part, key)] = (ver, value)
                left = until - time.monotonic()
                if latest or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            rows = []
            for (part, key), (ver, value) in sorted(latest.items(), key=lambda entry: entry[1][0]):
                row = {"Table": query["Table"], "part": part, "Key": key, "Ver": ver}
                row.update({"Tombstone": True} if value is None else {"Value": value})
                rows.append(row)
            return js(200, {"Rows": rows, "Ver": self.ver, "NowMs": self.now()})
        name = path.split("/", 3)[3] if path.count("/") >= 3 else ""
        if path.startswith("/-/blob-put/"):
            if headers.get("if-none-match") == "*" and name in self.blobs:
                return js(412, {})
            self.blobs[name] = body
            return js(200, {})
        if path.startswith("/-/blob-get/"):
            return (200, self.blobs[name], "application/octet-stream") if name in self.blobs else js(404, {})
        if path.startswith("/-/blob-drop/"):
            self.blobs.pop(name, None)
            return js(200, {})
        return js(404, {})

    def transact(self, call, size, js):
        key_of = lambda entry: (entry["Table"], entry.get("part", ""), entry["Key"])
        entries = call["ExpectedRev"] + call["Put"] + call["Remove"]
        large = [e["Key"] for e in call["Put"] if len(base64.b64decode(e["Value"])) > self.row_bytes]
        if len(entries) > 100 or size > 1_000_000 or large:
            self.refused.append((len(entries), size, large))
            return js(413, {"error": "over the limits of the store"})
        bad = any(self.rows.get(key_of(e), (None, 0))[1] != e["Ver"] for e in call["ExpectedRev"])
        if bad:
            rows = []
            for e in call["ExpectedRev"]:
                value, ver = self.rows.get(key_of(e), (None, 0))
                rows.append({"Table": e["Table"], "part": e.get("part", ""), "Key": e["Key"], "Ver": ver,
                             **({"Value": value} if value is not None else {})})
            return js(412, {"Rows": rows, "Ver": self.ver, "NowMs": self.now()})
        self.ver += 1
        for e in call["Put"]:
            self.rows[key_of(e)] = (e["Value"], self.ver)
            self.changes.append((self.ver, *key_of(e), e["Value"]))
        for e in call["Remove"]:
            self.rows.pop(key_of(e), None)
            self.changes.append((self.ver, *key_of(e), None))
        self.wake()
        if self.on_commit:
            self.on_commit(call)
        return js(200, {"Ver": self.ver, "NowMs": self.now()})


class Runner:
    """A runner that answers plain requests and streams. It registers itself in the store."""

    def __init__(self, world, service, name=None, slots=8, events=30, pause=0.03, text=None, version="v1"):
        self.world, self.service, self.name = world, service, name or "i-" + uuid.uuid4().hex[:8]
        self.slots, self.events, self.pause, self.version = slots, events, pause, version
        self.text = text or (lambda request, number: f"{request}-{number}")
        self.state, self.running, self.hook, self.born = "ready", 0, None, int(time.time() * 1000)
        self.writers, self.answers = set(), 0
        self.headers = lambda request: [("Keep-Alive", "timeout=8")]  # further headers of the answer to a request

    async def start(self, port=0, zone="ktm-a"):
        self.zone = zone
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.register()
        self.beat = asyncio.create_task(self.heartbeat())

    def register(self):
        self.world.store.put_json("servers", self.name, {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": self.version,
            "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "CallSeq": 0, "born": self.born})

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    async def kill(self):
        """Ends the runner as a crash does: it closes its channels and its listener at once."""
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if self.hook and await self.hook(self, line, headers, reader, writer):
                    return
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, headers, body, reader, writer):
        method, path, _ = line.split(" ")
        expected = headers.get("expect-instance")
        if expected and expected != self.name:
            writer.write(head_bytes(421, [("Instance-Id", self.name), ("Content-Length", 0)]))
            await writer.drain()
            return True
        request = headers.get("request-id")
        if not request:
            status = 200 if method == "GET" else 400
            writer.write(head_bytes(status, [("Instance-Id", self.name), ("Not-Run", 1), ("Content-Length", 0)]))
            await writer.drain()
            return True
        if self.running >= self.slots + 24:
            writer.write(head_bytes(503, [("Request-Id", request), ("Not-Run", 1), ("Content-Length", 0)]))
            await writer.drain()
            return True
        self.running += 1
        try:
            self.world.record("RUN", self.name, request, path, "after", headers.get("last-event-id", "-"),
                              "tenant", headers.get("tenant", "-"))
            self.world.ran(self, request, path, headers, body)
            return await self.run(path, headers, request, body, reader, writer)
        finally:
            self.running -= 1

    async def run(self, path, headers, request, body, reader, writer):
        self.answers += 1
        stamp = [("Request-Id", request), ("Server-Stamp", f"stamp.{self.name}.{request}"), *self.headers(request)]
        if "token-counts" not in headers:
            await asyncio.sleep(0.02)
            answer = (f"{request}:" + "x" * 800).encode()
            writer.write(head_bytes(200, stamp + [("Content-Length", len(answer))]) + answer)
            await writer.drain()
            return True
        writer.write(head_bytes(200, stamp + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        for number in range(int(headers.get("last-event-id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.pause)
            if reader.at_eof():
                self.world.record("DROPPED", self.name, request, "before", number)
                return False
            data = b"".join(b"data: " + part.encode() + b"\n" for part in self.text(request, number).split("\n"))
            event = f"id: {number}\n".encode() + data + b"\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.world.record("FINISHED", self.name, request)
        self.world.finished.add(request)
        return True


class Relay:
    """A relay process."""

    def __init__(self, world, name, zone="ktm-a", memory_mb=130, extra=None):
        self.world, self.name, self.zone, self.memory_mb, self.extra = world, name, zone, memory_mb, extra or {}
        self.front, self.ready, self.metrics, self.peer = free_port(), free_port(), free_port(), free_port()
        self.path = os.path.join(world.folder, f"{name}.json")
        self.log = open(os.path.join(world.folder, f"{name}.log"), "ab")
        self.process = None
        self.write_settings()

    def write_settings(self):
        store = {"address": f"127.0.0.1:{self.world.store.port}", "row_bytes": self.world.store.row_bytes,
                 "apply_ms": 2000, "keep_s": 120}
        settings = {
            "name": self.name, "data_centre": self.zone, "listen": f"127.0.0.1:{self.front}",
            "ready_listen": f"127.0.0.1:{self.ready}", "metrics_listen": f"127.0.0.1:{self.metrics}",
            "peer_listen": f"127.0.0.1:{self.peer}", "dialect": "bridge", "store": store, "cpu_share": 0.5,
            "memory_bytes": self.memory_mb * 1_000_000, "stop": {"grace_s": 8}, **self.extra}
        with open(self.path, "w") as file:
            json.dump(settings, file)

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "CYCLAMENGRADE_BOOT": self.path}
        self.process = subprocess.Popen([BIN, "relay", self.path], stdout=self.log, stderr=self.log, env=env, cwd=ROOT)
        self.world.record("START", self.name, self.process.pid)

    def signal(self, number):
        self.world.record("SIGNAL", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.world.record("KILLED", self.name)

    def rss_mb(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1000
        return 0

    async def is_ready(self):
        try:
            return (await request(self.ready, "GET", "/-/readyz", {}, timeout=1))[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, within=15):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def request(port, method, path, headers, body=b"", timeout=10):
    """Sends one request on a new channel. Returns the status, the headers and the body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            line, answer = await read_head(reader)
            return int(line.split(" ")[1]), answer, await read_body(reader, answer)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class World:
    def __init__(self, record_path, row_bytes=65536):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="cyclamengrade-review-")
        self.store = Store(row_bytes)
        self.runners, self.relays, self.runs, self.finished = [], [], {}, set()
        self.version = 0

    def ran(self, runner, request, path, headers, body):
        self.runs.setdefault(request, []).append((time.monotonic(), runner.name, path, headers, body))

    async def begin(self, relays=3, runners=4, plain=2, routes=None, runner=None, relay=None, tenants=None):
        await self.store.serve()
        self.put_manifest(routes, tenants)
        for index in range(runners):
            await self.add_runner(Runner(self, "llm", **(runner or {})), ["ktm-a", "ktm-b", "ktm-c"][index % 3])
        for index in range(plain):
            await self.add_runner(Runner(self, "plain"), ["ktm-a", "ktm-b", "ktm-c"][index % 3])
        for index in range(relays):
            self.relays.append(Relay(self, f"front-{index + 1}", ["ktm-a", "ktm-b", "ktm-c"][index % 3], **(relay or {})))
        for relay in self.relays:
            relay.start()
        for relay in self.relays:
            if not await relay.wait_ready():
                raise RuntimeError(f"{relay.name} is not ready")

    async def add_runner(self, runner, zone="ktm-a"):
        await runner.start(zone=zone)
        self.runners.append(runner)
        return runner

    def routes(self):
        common = {"Host": HOST, "Priority": 0, "Sticky": True}
        return [
            {**common, "Name": "long", "PathPrefix": "/long/", "Kind": "stream", "TimeoutMs": 5000, "TargetLatencyMs": 300,
             "Service": "llm", "MaxAttempts": 2, "Resumable": True, "GapAimMs": 400},
            {**common, "Name": "short", "PathPrefix": "/short/", "Kind": "stream", "TimeoutMs": 5000,
             "TargetLatencyMs": 300, "Service": "llm", "MaxAttempts": 1, "Resumable": False, "GapAimMs": 400},
            {**common, "Name": "batch", "PathPrefix": "/batch/", "Kind": "batch", "TimeoutMs": 15000,
             "TargetLatencyMs": 400, "Priority": 2, "Service": "llm", "MaxAttempts": 3, "Resumable": True,
             "GapAimMs": 400, "CompletionTargetMs": 18000, "RetentionS": 60, "Cap": 0},
            {**common, "Name": "plain", "PathPrefix": "/plain/", "Kind": "safe", "TimeoutMs": 1500, "TargetLatencyMs": 150,
             "Priority": 2, "Service": "plain", "MaxAttempts": 2},
        ]

    def put_manifest(self, routes=None, tenants=None, limits=None):
        self.version += 7
        manifest = {
            "Version": self.version, "Routes": routes or self.routes(),
            "Services": [{"Name": "llm", "HealthPath": "/healthz", "MaxConns": 370, "Protocol": "h1", "Tls": False},
                         {"Name": "plain", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": False}],
            "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                                 "IdleTimeoutMs": 15000}}
        if tenants is not None:
            manifest["Tenants"] = tenants
        self.store.put_json("op", "config", manifest)
        self.record("MANIFEST", self.version)

    def job(self, items, body=b"x" * 1000, tokens=940):
        entries = []
        for _ in range(items):
            name = uuid.uuid4().hex[:16]
            entries.append({"Id": name, "Path": f"/batch/3/{name[:4]}",
                            "Headers": {"Model": "m", "Token-Counts": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
                            "Body": base64.b64encode(body).decode(), "Tokens": tokens})
        return uuid.uuid4().hex[:16], entries

    async def submit(self, relay, name, items, headers=None, timeout=5):
        body = json.dumps({"Items": items}).encode()
        self.record("SUBMIT", relay.name, name, len(items), "items", len(body), "bytes")
        try:
            status, _, _ = await request(relay.front, "POST", "/batch/" + name[:6],
                                         {"Request-Id": name, "Content-Type": "application/json", **(headers or {})}, body, timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        self.record("ANSWER", relay.name, name, status)
        return status

    async def read(self, relay, name, after=0, headers=None):
        try:
            status, _, body = await request(relay.front, "GET", f"/-/lots/{name}?After={after}", headers or {}, timeout=8)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            return type(error).__name__, None
        return status, json.loads(body) if status == 200 else None

    async def results(self, name):
        """Reads all results of a job, at the first relay that answers each call."""
        found, total = [], None
        while True:
            page = None
            for relay in self.relays:
                if relay.process.poll() is None:
                    status, page = await self.read(relay, name, len(found))
                    if page:
                        break
            if not page:
                return total, found
            total = page["Total"]
            found += page["Results"]
            if not page["Results"] or len(found) >= total:
                return total, found

    def end(self):
        for relay in self.relays:
            relay.kill()
        for runner in self.runners:
            runner.beat.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def unlisted(self, jobs):
        """Reads the results of jobs from the start. Returns the items that are not listed, by job."""
        missing = {}
        for name, items in jobs.items():
            _, found = await self.results(name)
            listed = {result["Id"] for result in found}
            left = [item["Id"] for item in items if item["Id"] not in listed]
            self.record("LISTED", name, len(listed), "of", len(items), "missing", ",".join(left) or "-")
            if left:
                missing[name] = left
        return missing


def main(case, record_path):
    """Runs a case, an async function that returns True if the rule held. Exits with 0, 1 or 2."""
    if not os.access(BIN, os.X_OK):
        print("could not run: the program of the deploy file is not built")
        sys.exit(2)

    async def run():
        world = World(record_path)
        task = asyncio.ensure_future(asyncio.wait_for(case(world), 110))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await task
        finally:
            world.end()

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    sys.exit(0 if held else 1)
