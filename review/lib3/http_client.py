"""One HTTP/1.1 call on a channel of its own."""

import asyncio


async def read_response(reader):
    line = await reader.readline()
    if not line:
        raise ConnectionError("closed without an answer")
    status = int(line.split()[1])
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.read()
    return status, headers, body


async def call(address, method, target, headers, body=b"", limit_s=5.0, connect_s=1.0):
    host, port = address.rsplit(":", 1)
    opened = asyncio.open_connection(host, int(port), limit=1 << 24)
    reader, writer = await asyncio.wait_for(opened, connect_s)
    try:
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"{method} {target} HTTP/1.1\r\n"
        if "host" not in {name.lower() for name in headers}:
            head += f"Host: {address}\r\n"
        writer.write(f"{head}{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return await asyncio.wait_for(read_response(reader), limit_s)
    finally:
        writer.close()
