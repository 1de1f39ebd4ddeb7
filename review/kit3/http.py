"""The little HTTP/1.1 that the stand-ins need, on asyncio streams."""

import asyncio

__all__ = ["Message", "build_answer", "read_body", "read_head"]


class Message:
    """The head of a request or answer; header names are in lower case."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=None):
        """Return the value of a header."""
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Return the next Message, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head is incomplete") from error
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader, head, is_answer=False):
    """Return the body of a message; raise if the connection ends before it does."""
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    length = head.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if is_answer else b""


def build_answer(status, phrase, fields=(), body=b""):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {phrase}", *(f"{k}: {v}" for k, v in fields)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
