"""A small HTTP/1.1 layer on asyncio streams, for stand-ins."""

import asyncio

__all__ = ["Message", "build_response", "read_message", "read_response"]


class Message:
    """A message: its first line in three parts, its headers and its body."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        """Return the value of a header by its name in lower case."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the Message of a head without its body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_body(reader, message):
    """Return the body of a message with a length or in chunks."""
    if message.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(message.get("content-length", "0")))


async def read_message(reader):
    """Return the next request with its body, or None at the end."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


async def read_response(reader):
    """Return a response with its whole body; raise if it is incomplete."""
    message = await read_head(reader)
    if message is None:
        raise ConnectionError("no answer")
    message.body = await read_body(reader, message)
    return message


def build_response(status, headers=(), body=b"", length=None):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
