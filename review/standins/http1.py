"""A small HTTP/1.1 server and client for the stand-ins, on asyncio streams."""

import asyncio
import json


class Request:
    """A request that was read in full."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        path, _, query = target.partition("?")
        self.path = path
        self.query = {}
        for pair in query.split("&"):
            name, mark, value = pair.partition("=")
            if mark:
                self.query[name] = value
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)

    def json(self):
        return json.loads(self.body or b"{}")


class Response:
    """A response with a whole body."""

    def __init__(self, status=200, body=b"", headers=None):
        self.status = status
        if not isinstance(body, (bytes, bytearray)):
            body = json.dumps(body).encode()
        self.body = body
        self.headers = dict(headers or {})


async def read_head(reader):
    """Returns the lines of a head, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return head.decode("latin-1").split("\r\n")[:-2]


def decode_headers(lines):
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_chunked(reader):
    """Yields the chunks of a body; ends after the last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunked(reader)])
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def encode_head(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """Serves requests with `handle(request, connection)`.

    The handler returns a Response, or None if it has written the response itself. `stop` closes the
    listener and resets all connections, as the end of a process does.
    """

    def __init__(self, handle, port=0, host="127.0.0.1"):
        self.handle = handle
        self.host = host
        self.port = port
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 22, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                lines = await read_head(reader)
                if lines is None:
                    return
                method, target, _ = lines[0].split(" ", 2)
                headers = decode_headers(lines[1:])
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                response = await self.handle(request, (reader, writer))
                if response is None:
                    continue
                headers = dict(response.headers)
                headers["Content-Length"] = len(response.body)
                head = encode_head(f"HTTP/1.1 {response.status} X", headers)
                writer.write(head + response.body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()


async def connect(address, timeout=1.0):
    host, port = address.rsplit(":", 1)
    return await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22), timeout)


async def call(address, method, target, headers=None, body=b"", timeout=5.0):
    """Sends one request on a new connection; returns status, headers and body."""
    reader, writer = await connect(address, min(timeout, 1.0))
    try:
        headers = {"Host": address, **(headers or {}), "Content-Length": len(body)}
        writer.write(encode_head(f"{method} {target} HTTP/1.1", headers) + body)

        async def answer():
            lines = await read_head(reader)
            if lines is None:
                raise ConnectionError("closed without an answer")
            status = int(lines[0].split(" ")[1])
            received = decode_headers(lines[1:])
            return status, received, await read_body(reader, received)

        return await asyncio.wait_for(answer(), timeout)
    finally:
        writer.close()
