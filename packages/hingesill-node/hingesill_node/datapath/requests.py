"""Parsing request heads of callers with httptools in the server of eventlet."""

import httptools

from hingesill_core.reasons import RefusalReason

__all__ = ["RequestFault", "RequestHead", "read_head"]

# Results of reading a line after which there is no further line of the head.
LAST_LINES = frozenset({b"\r\n", b"\n", b""})


class RequestFault(OSError):
    """A request is incomplete or malformed.

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


class RequestHead:
    """The head of a request, with the interface that eventlet's server expects.

    Attributes
    ----------
    is_complete : bool
        Whether the parser has seen the end of the head.

    Notes
    -----
    eventlet's server uses ``_headers`` and ``get_content_type`` of the message
    class of the standard library.
    """

    def __init__(self):
        self._headers = []
        self._values = {}
        self._parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.is_complete = False

    def feed(self, data):
        """Parse received bytes, none of them beyond the end of the head.

        Raises
        ------
        httptools.HttpParserError
            If the strict parser rejects the head.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # Upgrades are not forwarded; handle as a plain request.

    @property
    def method(self):
        """The method, once the head is complete."""
        return self._parser.get_method().decode("ascii")

    @property
    def version(self):
        """The HTTP version, once the head is complete."""
        return self._parser.get_http_version()

    @property
    def keep_alive(self):
        """Whether the caller keeps the connection, once the head is complete."""
        return self._parser.should_keep_alive()

    # Callbacks of the parser.

    def on_url(self, url):
        """Append a part of the target."""
        self.target += url

    def on_header(self, name, value):
        """Add a header."""
        pair = (name.decode("latin-1"), value.decode("latin-1"))
        self._headers.append(pair)
        self._values.setdefault(pair[0].lower(), pair[1])

    def on_headers_complete(self):
        """Record the end of the head."""
        self.is_complete = True

    # Methods for the server.

    def get(self, name, default=None):
        """Return the first value of a header."""
        return self._values.get(name.lower(), default)

    def get_content_type(self):
        """Return the default content type."""
        return "text/plain"


def read_head(first_line, source):
    """Read the head of a request.

    Parameters
    ----------
    first_line : bytes
        The line that was read already.
    source : file
        Its ``readline`` returns empty bytes at the end of the connection.

    Returns
    -------
    RequestHead
        A complete head.

    Raises
    ------
    RequestFault
        If the connection ends or times out within the head, or the strict parser
        rejects it.
    """
    head = RequestHead()
    received = 0
    try:
        for block in read_blocks(first_line, source):
            received += len(block)
            head.feed(block)
            if head.is_complete:
                return head
    except httptools.HttpParserError as error:
        raise RequestFault(RefusalReason.BAD_FRAMING, str(error)) from error
    except TimeoutError as error:
        detail = "no data arrived in time within the head"
        raise RequestFault(RefusalReason.INCOMPLETE_REQUEST, detail) from error
    detail = f"the connection ended after {received} bytes of the head"
    raise RequestFault(RefusalReason.INCOMPLETE_REQUEST, detail)


def read_blocks(line, source):
    """Yield received lines in blocks, each up to an empty line.

    Notes
    -----
    The head of a request is one block unless empty lines precede it, which servers
    skip (RFC 9112, section 2.2).
    """
    while line:
        lines = [line]
        while lines[-1] not in LAST_LINES:
            lines.append(source.readline())
        yield b"".join(lines)
        line = lines[-1] and source.readline()
