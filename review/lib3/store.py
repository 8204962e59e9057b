"""Stand-in for the platform's metadata store: rows, transactions, change feed and objects.

Started by the cases as `python3 store.py HOST PORT...`; each machine of a case has a port of its own, so that
the store can turn some machines away. Writes of the operator and of the runners carry the
header `x-writer`, which relays never send. Faults are set with `POST /admin/faults`.
"""

import asyncio
import base64
import bisect
import json
import sys
import time
import urllib.parse

sys.path.insert(0, __file__.rsplit("/", 1)[0])
from http_server import read_request  # noqa: E402

FAULTS = {
    # Ports whose relays are turned away, and how: "busy" (503) or "silent".
    "turned_away": {},
    # Every call of a relay is turned away in this way: "", "busy" or "silent".
    "down": "",
    # Seconds that every answer takes.
    "slow_s": 0.004,
    # Number of transactions that take effect, but are not answered; "late_s" delays their effect.
    "lost_writes": 0,
    "late_s": 0.0,
}


class Store:
    def __init__(self):
        self.rows = {}
        self.history = []
        self.versions = []
        self.version = 0
        self.discarded = 0
        self.objects = {}
        self.changed = asyncio.Event()
        self.start = time.monotonic()

    def now_ms(self):
        return (time.monotonic() - self.start) * 1000.0 + 50_000.0

    def write(self, writes):
        self.version += 1
        for name, value in writes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.history.append((self.version, name, value))
            self.versions.append(self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def row(self, name, value, version):
        table, part, key = name
        row = {"Table": table, "part": part, "Key": key, "Ver": version}
        if value is None:
            row["Tombstone"] = True
        else:
            row["Value"] = value
        return row

    def commit(self, body, writer):
        name = lambda entry: (entry["Table"], entry.get("part", ""), entry["Key"])
        expected = body.get("ExpectedRev") or []
        puts = body.get("Put") or []
        removes = body.get("Remove") or []
        if not writer and any(name(e)[0] in ("op", "servers") for e in puts + removes):
            return 403, {}
        if len(expected) + len(puts) + len(removes) > 100:
            return 413, {}
        if any(len(base64.b64decode(e["Value"])) > 65536 for e in puts):
            return 413, {}
        for entry in expected:
            if self.rows.get(name(entry), (None, 0))[1] != entry["Ver"]:
                rows = []
                for other in expected:
                    value, version = self.rows.get(name(other), (None, 0))
                    if version:
                        rows.append(self.row(name(other), value, version))
                return 412, {"Rows": rows, "Ver": self.version, "NowMs": self.now_ms()}
        writes = [(name(e), e["Value"]) for e in puts] + [(name(e), None) for e in removes]
        version = self.write(writes) if writes else self.version
        return 200, {"Ver": version, "NowMs": self.now_ms()}

    def read(self, query):
        table, part = query.get("Table", ""), query.get("part", "")
        low, high = query.get("From", ""), query.get("To")
        limit = min(int(query.get("Limit", "500")), 500)
        found = sorted(
            key for (t, p, key) in self.rows
            if t == table and p == part and key >= low and (high is None or key < high)
        )
        rows, size, more = [], 0, False
        for key in found:
            value, version = self.rows[(table, part, key)]
            size += len(value)
            if len(rows) >= limit or (rows and size > 1_000_000):
                more = True
                break
            rows.append(self.row((table, part, key), value, version))
        return {"Rows": rows, "HasMore": more, "Ver": self.version, "NowMs": self.now_ms()}

    async def feed(self, query):
        table, after = query.get("Table", ""), int(query.get("After", "0"))
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000.0
        while True:
            if after < self.discarded:
                return 410, {}
            event = self.changed
            begin = bisect.bisect_right(self.versions, after)
            rows = [self.row(n, v, ver) for ver, n, v in self.history[begin:] if n[0] == table]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"Rows": rows, "Ver": self.version, "NowMs": self.now_ms()}
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass




def answer(writer, status, body, kind="application/json"):
    head = f"HTTP/1.1 {status} Status\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)


async def handle(store, method, target, headers, body):
    """Returns the status and the body, or None if the answer is lost."""
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
    path = url.path
    if path == "/admin/faults":
        FAULTS.update(json.loads(body))
        return 200, b"{}"
    is_relay = "x-writer" not in headers
    if path == "/-/rows-feed":
        status, value = await store.feed(query)
        return status, json.dumps(value).encode()
    if is_relay:
        await asyncio.sleep(FAULTS["slow_s"])
    if path == "/-/rows-tx":
        transaction = json.loads(body)
        if is_relay and FAULTS["lost_writes"] > 0:
            FAULTS["lost_writes"] -= 1
            if FAULTS["late_s"]:
                loop = asyncio.get_running_loop()
                loop.call_later(FAULTS["late_s"], store.commit, transaction, False)
            else:
                store.commit(transaction, False)
            return None
        status, value = store.commit(transaction, not is_relay)
        return status, json.dumps(value).encode()
    if path == "/-/rows-get":
        return 200, json.dumps(store.read(query)).encode()
    if path == "/-/rows-parts":
        table, after = query.get("Table", ""), query.get("After", "")
        parts = sorted({part for (t, part, _) in store.rows if t == table and part > after})
        return 200, json.dumps({"parts": parts[:1000], "HasMore": len(parts) > 1000}).encode()
    name = urllib.parse.unquote(path.rsplit("/", 1)[-1])
    if path.startswith("/-/blob-put/"):
        if name in store.objects:
            return 412, b""
        store.objects[name] = body
        return 200, b""
    if path.startswith("/-/blob-get/"):
        return (200, store.objects[name]) if name in store.objects else (404, b"")
    if path.startswith("/-/blob-drop/"):
        store.objects.pop(name, None)
        return 200, b""
    return 404, b""


async def serve(store, reader, writer):
    port = str(writer.get_extra_info("sockname")[1])
    try:
        while True:
            request = await read_request(reader)
            if request is None:
                break
            method, target, headers, body = request
            is_admin = target.startswith("/admin/") or "x-writer" in headers
            away = "" if is_admin else FAULTS["down"] or FAULTS["turned_away"].get(port, "")
            if away == "silent":
                await asyncio.sleep(3600)
            if away == "busy":
                answer(writer, 503, b"")
                await writer.drain()
                continue
            result = await handle(store, method, target, headers, body)
            away = "" if is_admin else FAULTS["down"] or FAULTS["turned_away"].get(port, "")
            if result is None or away == "silent":
                await asyncio.sleep(3600)
            if away == "busy":
                result = (503, b"")
            status, content = result
            kind = "application/octet-stream" if "/blob-get/" in target else "application/json"
            answer(writer, status, content, kind)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()


async def main():
    store = Store()
    for port in sys.argv[2:]:
        await asyncio.start_server(
            lambda r, w: serve(store, r, w), sys.argv[1], int(port), limit=1 << 24, backlog=1024
        )
    print("listening", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
