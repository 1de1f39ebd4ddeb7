"""Receiving and parsing request heads of callers with httptools."""

import re

import httptools
from msgspec import Struct

from hingesill_core.reasons import RefusalReason
from hingesill_node.datapath.headerfields import HeaderFields

__all__ = ["RequestFault", "RequestHead", "parse_head", "receive_head"]

EMPTY_LINE = re.compile(rb"\n\r?\n")
# Bytes of an empty line that an earlier read may have ended with.
MAX_SPLIT_BYTES = 2
LINE_ENDS = b"\r\n"
WHITE_SPACE = " \t\r\n"


class RequestFault(OSError):
    """A request is incomplete, malformed or beyond a limit.

    Parameters
    ----------
    reason : RefusalReason
        Reason for which the request is refused.
    detail : str
        What was found, for the log.
    """

    def __init__(self, reason, detail):
        super().__init__(detail)
        self.reason = reason


class RequestHead(Struct):
    """The head of a request.

    Parameters
    ----------
    method, target, version : str
        Parts of the request line.
    keep_alive : bool
        Whether the caller keeps the connection.
    fields : HeaderFields
        The header fields.
    """

    method: str
    target: str
    version: str
    keep_alive: bool
    fields: HeaderFields


class HeadParser:
    """Callbacks of the parser.

    Notes
    -----
    The object has no reference to its parser, so that both are freed without the
    garbage collector.
    """

    def __init__(self):
        self.target = b""
        self.pairs = []
        self.is_complete = False

    def on_url(self, url):
        """Append a part of the target."""
        self.target += url

    def on_header(self, name, value):
        """Add a header."""
        if b"\n" in value:
            raise ValueError("a header value has a line feed")
        text = value.decode("latin-1").strip(WHITE_SPACE)
        self.pairs.append((name.decode("latin-1"), text))

    def on_headers_complete(self):
        """Record the end of the head."""
        self.is_complete = True


def parse_head(data):
    """Return the RequestHead of bytes that end with an empty line.

    Raises
    ------
    RequestFault
        If the strict parser rejects the head.
    """
    collected = HeadParser()
    parser = httptools.HttpRequestParser(collected)
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        pass  # Upgrades are not forwarded; handle as a plain request.
    except httptools.HttpParserError as error:
        raise RequestFault(RefusalReason.BAD_FRAMING, str(error)) from error
    if not collected.is_complete:
        raise RequestFault(
            RefusalReason.BAD_FRAMING, "the head has no end that the parser accepts"
        )
    return RequestHead(
        parser.get_method().decode("ascii"),
        collected.target.decode("latin-1"),
        f"HTTP/{parser.get_http_version()}",
        parser.should_keep_alive(),
        HeaderFields(collected.pairs),
    )


def receive_head(source, limit):
    """Return the bytes of a request's head, with its empty line.

    Parameters
    ----------
    source : BufferedReader
        The connection; bytes after the head are left in it.
    limit : int
        Maximum number of bytes, including empty lines before the head, which are
        skipped (RFC 9112, section 2.2).

    Returns
    -------
    bytes
        Empty if the connection ended before the first byte.

    Raises
    ------
    RequestFault
        If the connection ends or times out within the head, or the head is longer than
        the limit.
    """
    head = bytearray()
    received = searched = 0
    while EMPTY_LINE.search(head, searched) is None:
        searched = max(0, len(head) - MAX_SPLIT_BYTES)
        data = read_part(source, bytes(head[-MAX_SPLIT_BYTES:]), received)
        if not data and not received:
            return b""
        if not data:
            detail = f"the connection ended after {received} bytes of the head"
            raise RequestFault(RefusalReason.INCOMPLETE_REQUEST, detail)
        received += len(data)
        if received > limit:
            detail = f"the head is longer than {limit} bytes"
            raise RequestFault(RefusalReason.HEAD_TOO_LARGE, detail)
        head += data if head else data.lstrip(LINE_ENDS)
    return bytes(head)


def read_part(source, before, received):
    """Return bytes that have arrived, none of them beyond the end of the head.

    Parameters
    ----------
    source : BufferedReader
        The connection.
    before : bytes
        The last bytes of the head that were read before.
    received : int
        Number of bytes that were read before, for the error's text.
    """
    try:
        arrived = source.peek()
    except TimeoutError as error:
        part = "head" if received else "request line"
        detail = f"no data arrived in time within the {part}"
        raise RequestFault(RefusalReason.INCOMPLETE_REQUEST, detail) from error
    skipped = 0 if before else len(arrived) - len(arrived.lstrip(LINE_ENDS))
    end = EMPTY_LINE.search(before + arrived, skipped)
    return source.read(len(arrived) if end is None else end.end() - len(before))
