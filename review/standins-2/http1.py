"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio


class Request:
    """Request as it was read from a connection."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(
            pair.split("=", 1) if "=" in pair else (pair, "") for pair in query.split("&") if pair
        )
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns the first line and the headers (lower-case names), None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, TimeoutError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0].strip(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    """Reads a request with its body, None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        async for chunk in read_chunks(reader):
            body += chunk
    elif headers.get("content-length"):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def response(status, headers=None, body=b""):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    """Response to a request of the stand-in client."""

    def __init__(self, status, headers, body, complete, error=None):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete
        self.error = error


async def exchange(address, method, target, headers, body=b"", limit_s=30.0, on_data=None):
    """Sends one request on a new connection and reads the whole response."""
    answer = Answer(None, {}, b"", False)
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append("Connection: close")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                answer.error = "closed without an answer"
                return answer
            answer.status = int(head[0].split(" ")[1])
            answer.headers = head[1]
            if "chunked" in head[1].get("transfer-encoding", ""):
                async for chunk in read_chunks(reader):
                    answer.body += chunk
                    if on_data:
                        on_data(chunk)
            elif head[1].get("content-length") is not None:
                answer.body = await reader.readexactly(int(head[1]["content-length"]))
            else:
                answer.body = await reader.read()
            answer.complete = True
    except TimeoutError:
        answer.error = "the time limit passed"
    except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = f"{type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    return answer
