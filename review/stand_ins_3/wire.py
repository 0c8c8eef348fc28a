"""HTTP/1.1 over asyncio streams, as much as the stand-ins of these cases need."""

import asyncio
import itertools
import json


class Closed(Exception):
    """The connection ended before a whole message."""


async def read_head(reader):
    """Returns the first line and the headers of a message; the names are in lower case."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers, ends_with_connection=False):
    """Returns the whole body of a message."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return b"".join([chunk async for chunk in read_chunks(reader)])
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if ends_with_connection else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed(str(error)) from error


def encode(first_line, headers, body=b""):
    """Returns a message with a body of known length."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


def status_line(status):
    """Returns the first line of a response."""
    return f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"


def json_response(status, value, headers=()):
    """Returns a response with a JSON body."""
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return encode(status_line(status), [("Content-Type", "application/json"), *headers], body)


_numbers = itertools.count(1)


def new_id(prefix=""):
    """Returns an id that was not used before in this run."""
    return f"{prefix}{next(_numbers):016x}"


async def call(address, method, path, headers=(), body=b"", timeout=10.0):
    """Sends one request on a new connection; returns status, headers and body, or raises."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", [*headers, ("Connection", "close")], body))
            await writer.drain()
            line, answer = await read_head(reader)
            return int(line.split(" ")[1]), answer, await read_body(reader, answer, True)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


async def serve(handler, host="127.0.0.1", port=0):
    """Listens on a port, a free one if none is given; `handler` is called with the streams of each connection."""

    async def run(reader, writer):
        try:
            await handler(reader, writer)
        except (Closed, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, host, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]
