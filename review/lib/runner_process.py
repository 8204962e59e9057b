"""A runner in a process of its own, so that it can be killed. Its answers have no length and end with
their channel. Arguments: IP PORT ID."""

import asyncio
import sys

from standin import Runner


class NoStore:
    async def put_json(self, table, key, value):
        pass


class Unframed(Runner):
    """Writes 30 events, or lines of a plain answer, one each 50 ms."""

    PIECES = 30

    async def work(self, request, writer, run):
        is_stream = bool(request.header("Token-Counts"))
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in self.stamp(request)]
        lines += ["Content-Type: text/event-stream"] if is_stream else []
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for piece in range(run["after"] + 1, self.PIECES + 1):
            await asyncio.sleep(0.05)
            text = f"id: {piece}\ndata: piece {piece}\n\n" if is_stream else f"line {piece}\n"
            writer.write(text.encode())
            await writer.drain()
        # The answer ends with its channel.
        return False


def record(*words):
    print(*words, flush=True)


async def main(ip, port, ident):
    runner = Unframed(record, NoStore(), ident, "model")
    await runner.start(ip, int(port))
    record("born", runner.born)
    await asyncio.sleep(600)


asyncio.run(main(*sys.argv[1:]))
