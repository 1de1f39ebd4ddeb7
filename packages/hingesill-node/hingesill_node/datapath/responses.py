"""Reading an endpoint's response with the compiled parser of httptools.

The parser of the standard library costs more than all decisions of the node
together; ``docs/design/data-path.md`` has the figures.
"""

import re
import time

import httptools

from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.turns import Turn
from hingesill_node.datapath.waits import WaitTimeout, receive

__all__ = ["EndpointResponse", "MalformedResponse", "IncompleteResponse"]

NO_FIELDS = HeaderFields()
RECEIVE_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Bytes after a head that hold no body, such as extensions of chunks and trailers.
MAX_FRAMING_BYTES = 64 * 1024
# Bytes that are parsed before the end of a turn is checked. Very small chunks or header
# lines cost many times more than the same bytes of one body.
PARSED_BYTES = 4 * 1024
# Bytes after which a turn ends in any case.
MAX_TURN_BYTES = 1024 * 1024
FIRST_FINAL_STATUS = 200
IDLE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
BODYLESS_STATUSES = frozenset({204, 304})


class MalformedResponse(OSError):
    """The received data is not a valid HTTP response."""


class IncompleteResponse(OSError):
    """The connection was closed before the response was complete."""


class EndpointResponse:
    """A response that is parsed while it is received.

    Parameters
    ----------
    sock : GreenSocket
        Socket of the connection; its timeout applies to each read.
    method : str
        Method of the request: a response to HEAD has no body.
    is_own : callable or None
        Returns whether a head belongs to this request. An endpoint may first send a
        late response to an earlier request on the connection; such a response is
        read and dropped, and the connection is not reused.
    seconds : float or None
        Maximum time until the head, and a short body, are read; if None, only each
        read is limited.

    Attributes
    ----------
    status : int
        The status code; 0 until the head is read.
    reason : str
        The reason phrase.
    headers : HeaderFields
        Names and values as received.
    length : int or None
        Length of the body, if the head has it.
    complete : bool
        Whether the response was read completely.
    skipped : int
        Number of responses that were dropped, as they belong to no request or another.
    """

    def __init__(self, sock, method, is_own=None, seconds=None):
        self._sock = sock
        self._method = method
        self._is_own = is_own
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._received = 0
        self._framing = 0
        self._turn = Turn()
        self._turn_bytes = 0
        self._until = None if seconds is None else time.monotonic() + seconds
        self._head_done = False
        self._must_close = False
        self._unsolicited = False
        self.skipped = 0
        self._begin()

    def _begin(self):
        self.status = 0
        self.reason = ""
        self.headers = NO_FIELDS
        self.length = None
        self._lines = bytearray()
        self.complete = False
        self._framed = False
        self._mismatched = False

    # Callbacks of the parser.

    def on_message_begin(self):
        """Detect an unsolicited response after the complete one."""
        if self.complete:
            self._must_close = True
            self._unsolicited = True

    def on_status(self, status):
        """Append a part of the reason phrase."""
        if self._unsolicited:
            return
        self.reason += status.decode("latin-1")

    def on_header(self, name, value):
        """Add a header."""
        if self._unsolicited or self._head_done:
            return  # Trailers are not passed on.
        self._lines += b"%s: %s\n" % (name, value)
        lowered = name.lower()
        if lowered == b"content-length":
            self.length = int(value)
            self._framed = True
        elif lowered == b"transfer-encoding":
            self._framed = True

    def on_headers_complete(self):
        """Check the complete head and whether a body follows."""
        if self._unsolicited:
            return
        self.headers, self._lines = HeaderFields.decode(self._lines), bytearray()
        self.status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        if self.status < FIRST_FINAL_STATUS:
            return
        if self._is_own is not None and not self._is_own(self):
            self._mismatched = True
            self._must_close = True
            self.skipped += 1
            return
        self._head_done = True
        if self._method == "HEAD" or self.status in BODYLESS_STATUSES:
            self.length = 0
            self.complete = True

    def on_body(self, body):
        """Add a part of the body."""
        if not self._mismatched and not self.complete:
            self._body += body
            self._framing = 0

    def on_message_complete(self):
        """Complete the response, or drop an interim or mismatched one."""
        if self._head_done:
            self.complete = True
        else:
            self._begin()

    # Methods for the data path.

    def get(self, name):
        """Return the first value of a header, or None."""
        return self.headers.get(name)

    def get_all(self, name):
        """Return the values of a header in the order received."""
        return self.headers.get_all(name)

    def release(self):
        """Free the parser, which refers to this object; nothing more is read."""
        self._parser = None

    @property
    def idle_seconds(self):
        """Keep-alive timeout of the endpoint in seconds, or None if not given."""
        match = IDLE_TIMEOUT.search(self.get("Keep-Alive") or "")
        return float(match.group(1)) if match is not None else None

    @property
    def can_keep(self):
        """Whether the connection can be reused for another request."""
        return self.complete and self._keep_alive and not self._must_close

    def read_head(self):
        """Read until the head is complete.

        Raises
        ------
        OSError
            MalformedResponse, IncompleteResponse or an error of the socket.
        WaitTimeout
            If the head did not arrive in time.
        """
        while not self._head_done:
            self._receive()
            if not self._head_done and self._received > MAX_HEAD_BYTES:
                raise MalformedResponse("the response head is too long")

    def _receive(self):
        """Read once from the socket and parse the data, in turn with other readers."""
        began_at = time.monotonic()
        data = receive(self._sock, RECEIVE_BYTES, self._get_remaining())
        self._turn.end_read(began_at)
        if not data:
            self._handle_eof()
            return
        self._received += len(data)
        for start in range(0, len(data), PARSED_BYTES):
            part = data[start : start + PARSED_BYTES]
            self._parse(part)
            self._turn_bytes += len(part)
            if self._turn.is_over() or self._turn_bytes >= MAX_TURN_BYTES:
                self._pause()

    def _pause(self):
        """Let other green threads run; raise IncompleteResponse if one closed this."""
        self._turn_bytes = 0
        self._turn.pause()
        if self._parser is None:
            raise IncompleteResponse("the connection was closed on this side")

    def _get_remaining(self):
        """Return the seconds until the response must be read, None if not limited.

        Raises
        ------
        WaitTimeout
            If the time has passed.
        """
        if self._until is None:
            return None
        remaining = self._until - time.monotonic()
        if remaining <= 0 and self._received:
            raise WaitTimeout
        return remaining

    def _parse(self, data):
        """Parse received data."""
        self._framing += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise MalformedResponse(str(error)) from error
            self._must_close = True
        if not self._head_done or self.complete:
            self._framing = 0
        elif self._framing > MAX_FRAMING_BYTES:
            raise MalformedResponse("the framing of the body is too long")

    def _handle_eof(self):
        """Complete an unframed body at the end of the connection, or raise."""
        if not self._head_done or self._framed:
            raise IncompleteResponse(
                "the connection was closed before the response was complete"
            )
        self._keep_alive = False
        self.complete = True

    def read_body(self):
        """Yield what was received of the body at a time, without a limit in all.

        Raises
        ------
        OSError
            See `read_head`.
        """
        self._until = None
        while True:
            body, self._body = self._body, bytearray()
            if body:
                yield bytes(body)
            if self.complete:
                return
            self._receive()

    def read_whole(self):
        """Return the whole body; see `read_body`."""
        return b"".join(self.read_body())

    def read_short(self, limit):
        """Return the whole body, or None if it is longer than a limit.

        Notes
        -----
        The part of a longer body that was read is kept for `read_body`.
        """
        while not self.complete:
            if len(self._body) > limit:
                return None
            self._receive()
        return self.read_whole()
