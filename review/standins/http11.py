"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
from urllib.parse import parse_qsl, urlsplit

__all__ = ["Incomplete", "Request", "Response", "read_response", "serve"]

LIMIT = 1 << 20


class Incomplete(Exception):
    """The peer ended the connection within a message."""


class Request:
    """One received request."""

    def __init__(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        self.method = method
        self.target = target
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body
        self.writer = writer


class Response:
    """One response, to send or as received.

    With `surplus_after`, it is sent a second time after so many seconds.
    """

    def __init__(self, status, headers=(), body=b"", surplus_after=None):
        self.status = status
        self.headers = dict(headers)
        self.body = body
        self.surplus_after = surplus_after


async def read_head(reader):
    """Return the first line and the headers, or None at a clean end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Incomplete("the connection ended within a head") from error
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Return the body of a message in chunks."""
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        parts.append((await reader.readexactly(size + 2))[:-2])
        if not size:
            return b"".join(parts)


async def read_body(reader, headers):
    """Return the body of a message that has a length or chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await read_chunks(reader)
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise Incomplete("the connection ended within a body") from error


async def read_response(reader):
    """Return the Response; raise Incomplete if the connection ends before its end."""
    head = await read_head(reader)
    if head is None:
        raise Incomplete("the connection ended before the head")
    first, headers = head
    status = int(first.split(" ")[1])
    return Response(status, headers, await read_body(reader, headers))


def encode_response(response, closes):
    """Return the bytes of a Response."""
    lines = [f"HTTP/1.1 {response.status} Status"]
    headers = {**response.headers, "Content-Length": str(len(response.body))}
    if closes:
        headers["Connection"] = "close"
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body


async def send_at_once(writer, data):
    """Send bytes without a limit."""
    writer.write(data)
    await writer.drain()


def send_again(writer, data):
    """Send bytes again unless the connection is closed."""
    if not writer.is_closing():
        writer.write(data)


async def handle_connection(handler, reader, writer, send):
    """Serve the requests of one connection until it ends."""
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                break
            first, headers = head
            method, target, _ = first.split(" ")
            body = await read_body(reader, headers)
            request = Request(method, target, headers, body, writer)
            work = asyncio.ensure_future(handler(request))
            response = await wait_or_cancel(work, reader)
            if response is None:
                break
            closes = headers.get("connection", "").lower() == "close"
            data = encode_response(response, closes)
            await send(writer, data)
            if response.surplus_after is not None and not closes:
                loop = asyncio.get_running_loop()
                loop.call_later(response.surplus_after, send_again, writer, data)
            if closes:
                break
    except (Incomplete, OSError, ValueError, asyncio.LimitOverrunError):
        pass
    finally:
        writer.close()


async def wait_or_cancel(work, reader):
    """Return the result of the work, or None if the peer has left meanwhile."""
    while True:
        done, _ = await asyncio.wait([work], timeout=0.01)
        if done:
            return work.result()
        if reader.at_eof() or reader.exception() is not None:
            work.cancel()
            return None


async def serve(handler, port=0, send=send_at_once):
    """Serve on a loopback address; return the server and its address."""

    async def connected(reader, writer):
        await handle_connection(handler, reader, writer, send)

    server = await asyncio.start_server(
        connected, "127.0.0.1", port, limit=LIMIT, backlog=1024
    )
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"
