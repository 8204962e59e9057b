"""Stand-in for the runners of one service, each at a port of its own.

Started by the cases as `python3 runner.py SETTINGS`, a JSON file. Each run is written as a JSON line to the
file `log`. A runner answers as PROTOCOL.md says: 421 for another instance, 400 with `Not-Run` without an id,
503 with `Not-Run` when it is full, and otherwise the echoed id, its stamp and its body.

Settings: `store` (address), `service`, `version`, `zone`, `log`, `heartbeat_s`, `runners`: a list of `id`,
`address`, `slots`, `work_ms`, `events_ms` and `unframed` (whether answers have neither length nor chunks and end
with their channel). A runner writes its entry `lag_s` after it has begun to listen, and then every `heartbeat_s`.
"""

import asyncio
import base64
import json
import sys
import time

sys.path.insert(0, __file__.rsplit("/", 1)[0])
from http_client import call  # noqa: E402
from http_server import read_request  # noqa: E402


class Runner:
    def __init__(self, settings, entry, log):
        self.settings, self.entry, self.log = settings, entry, log
        self.id, self.running, self.queue = entry["id"], 0, []
        self.slots = entry.get("slots", 8)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.free = asyncio.Condition()

    def row(self):
        return {
            "Service": self.settings["service"], "Address": self.entry["address"],
            "Zone": self.settings.get("zone", "a"), "Version": self.settings.get("version", "v1"),
            "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "CallSeq": 0, "born": self.born,
        }

    async def register(self):
        value = base64.b64encode(json.dumps(self.row()).encode()).decode()
        body = {"Put": [{"Table": "servers", "part": "", "Key": self.id, "Value": value}]}
        await call(self.settings["store"], "POST", "/-/rows-tx", {"x-writer": "runner"},
                   json.dumps(body).encode())

    def record(self, what, request_id, **more):
        line = {"t": time.monotonic(), "what": what, "runner": self.id, "id": request_id, **more}
        self.log.write(json.dumps(line) + "\n")
        self.log.flush()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.handle(reader, writer, *request):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def plain(self, writer, status, headers, body=b""):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 {status} S\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def handle(self, reader, writer, method, target, headers, body):
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            self.plain(writer, 421, {"Instance-Id": self.id, "Request-Id": request_id})
            return True
        if not request_id:
            self.plain(writer, 400, {"Not-Run": "1", "Instance-Id": self.id})
            return True
        if self.running >= self.slots:
            self.plain(writer, 503, {"Not-Run": "1", "Request-Id": request_id})
            return True
        self.running += 1
        run = dict(tenant=headers.get("tenant"), target=target, after=headers.get("last-event-id"),
                   deadline=headers.get("deadline-ms"))
        self.record("run", request_id, **run)
        try:
            return await self.run(reader, writer, request_id, headers, body)
        finally:
            self.running -= 1
            self.record("end", request_id)

    async def run(self, reader, writer, request_id, headers, body):
        stamp = {"Request-Id": request_id, "Server-Stamp": f"stamp.{self.id}"}
        events = headers.get("token-counts")
        if events is None:
            await asyncio.sleep(self.entry.get("work_ms", 5) / 1000.0)
            body = b"answer to " + request_id.encode()
            if not self.entry.get("unframed"):
                self.plain(writer, 200, stamp, body)
                await writer.drain()
                return True
            lines = "".join(f"{name}: {value}\r\n" for name, value in stamp.items())
            writer.write(f"HTTP/1.1 200 S\r\n{lines}\r\n".encode())
            for begin in range(0, len(body), 2):
                writer.write(body[begin:begin + 2])
                await asyncio.sleep(self.entry.get("events_ms", 10) / 1000.0)
            await writer.drain()
            return False
        last = int(headers.get("last-event-id", "0"))
        total = int(events.split(",")[1])
        lines = "".join(f"{name}: {value}\r\n" for name, value in stamp.items())
        unframed = self.entry.get("unframed")
        coding = "" if unframed else "Transfer-Encoding: chunked\r\n"
        head = f"HTTP/1.1 200 S\r\n{lines}Content-Type: text/event-stream\r\n{coding}\r\n"
        writer.write(head.encode())
        for event in range(last + 1, total + 1):
            await asyncio.sleep(self.entry.get("events_ms", 10) / 1000.0)
            if reader.at_eof() or writer.transport.is_closing():
                raise ConnectionError
            text = f"id: {event}\ndata: {request_id} {event}\n\n".encode()
            writer.write(text if unframed else b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        if unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def main():
    settings = json.load(open(sys.argv[1]))
    log = open(settings["log"], "a")
    runners = [Runner(settings, entry, log) for entry in settings["runners"]]
    for runner in runners:
        host, port = runner.entry["address"].rsplit(":", 1)
        await asyncio.start_server(runner.serve, host, int(port), limit=1 << 24, backlog=1024)
        log.write(json.dumps({"t": time.monotonic(), "what": "listening", "runner": runner.id}) + "\n")
        log.flush()
    await asyncio.sleep(settings.get("lag_s", 0.0))
    for runner in runners:
        await runner.register()
    print("listening", flush=True)
    while True:
        await asyncio.sleep(settings.get("heartbeat_s", 1.2))
        for runner in runners:
            try:
                await runner.register()
            except (ConnectionError, OSError, asyncio.TimeoutError):
                pass


if __name__ == "__main__":
    asyncio.run(main())
