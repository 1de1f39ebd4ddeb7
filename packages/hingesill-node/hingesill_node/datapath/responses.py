"""Reading an endpoint's answer with httptools, whose parser is compiled.

The parser of the standard library costs more than all decisions of the node
together; ``docs/design/data-path.md`` has the figures.
"""

import re

import httptools

from hingesill_node.datapath.waits import receive

__all__ = ["EndpointResponse", "MalformedAnswer", "ShortAnswer"]

RECEIVE_BYTES = 64 * 1024
LARGEST_HEAD_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200
IDLE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
BODYLESS_STATUSES = frozenset({204, 304})


class MalformedAnswer(OSError):
    """What came is not an HTTP answer."""


class ShortAnswer(OSError):
    """The connection ended before the whole answer had come."""


class EndpointResponse:
    """One answer as it arrives.

    Parameters
    ----------
    sock : GreenSocket
        The connection; its time limit bounds each read.
    method : str
        Of the request: an answer to HEAD has no body.
    is_own : callable or None
        Tells of a head whether it answers this request. An endpoint may send a
        late answer to an earlier request in its place; that one is read and
        dropped, and the connection is not used again.

    Attributes
    ----------
    status : int
        The status code, once the head was read.
    reason : str
        The reason phrase.
    headers : list of tuple of str
        Names and values as they came.
    length : int or None
        The body's length, if the head tells it.
    complete : bool
        The whole answer was read.
    """

    def __init__(self, sock, method, is_own=None):
        self._sock = sock
        self._method = method
        self._is_own = is_own
        self._parser = httptools.HttpResponseParser(self)
        self._chunks = []
        self._received = 0
        self._head_done = False
        self._tainted = False
        self._surplus = False
        self._begin()

    def _begin(self):
        self.status = 0
        self.reason = ""
        self.headers = []
        self.length = None
        self.complete = False
        self._framed = False
        self._foreign = False

    # What the parser calls.

    def on_message_begin(self):
        """Note an answer that nobody asked for."""
        if self.complete:
            self._tainted = True
            self._surplus = True

    def on_status(self, status):
        """Take the reason phrase, which may come in parts."""
        if self._surplus:
            return
        self.reason += status.decode("latin-1")

    def on_header(self, name, value):
        """Take one header."""
        if self._surplus:
            return
        text = value.decode("latin-1")
        self.headers.append((name.decode("latin-1"), text))
        lowered = name.lower()
        if lowered == b"content-length":
            self.length = int(text)
            self._framed = True
        elif lowered == b"transfer-encoding":
            self._framed = True

    def on_headers_complete(self):
        """Note the end of the head."""
        if self._surplus:
            return
        self.status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        if self.status < FIRST_FINAL_STATUS:
            return
        if self._is_own is not None and not self._is_own(self):
            self._foreign = True
            self._tainted = True
            return
        self._head_done = True
        if self._method == "HEAD" or self.status in BODYLESS_STATUSES:
            self.length = 0
            self.complete = True

    def on_body(self, body):
        """Take a part of the body."""
        if not self._foreign and not self.complete:
            self._chunks.append(body)

    def on_message_complete(self):
        """Note the end of an answer, or of a preliminary one."""
        if self._head_done:
            self.complete = True
        else:
            self._begin()

    # What the node calls.

    def get(self, name):
        """Return the value of a header, or None."""
        lowered = name.lower()
        for known, value in self.headers:
            if known.lower() == lowered:
                return value
        return None

    def get_all(self, name):
        """Return the values of a header, in the order in which they came."""
        lowered = name.lower()
        return [value for known, value in self.headers if known.lower() == lowered]

    @property
    def idle_seconds(self):
        """How long the endpoint keeps a connection at rest; None if unsaid."""
        match = IDLE_TIMEOUT.search(self.get("Keep-Alive") or "")
        return float(match.group(1)) if match is not None else None

    @property
    def can_keep(self):
        """Whether the connection may carry another request."""
        return self.complete and self._keep_alive and not self._tainted

    def read_head(self):
        """Read until the head is there.

        Raises
        ------
        OSError
            MalformedAnswer, ShortAnswer or the socket's own.
        """
        while not self._head_done:
            self._receive()
            if not self._head_done and self._received > LARGEST_HEAD_BYTES:
                raise MalformedAnswer("the head is too long")

    def _receive(self):
        """Read once and parse; tell whether anything came."""
        data = receive(self._sock, RECEIVE_BYTES)
        if not data:
            self._end_early()
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise MalformedAnswer(str(error)) from error
            self._tainted = True

    def _end_early(self):
        """Take the end of the connection: the end of an unframed body or a fault."""
        if not self._head_done or self._framed:
            raise ShortAnswer("the connection ended before the answer")
        self._keep_alive = False
        self.complete = True

    def read_body(self):
        """Yield the parts of the body as they come.

        Raises
        ------
        OSError
            As `read_head`.
        """
        while True:
            chunks, self._chunks = self._chunks, []
            yield from chunks
            if self.complete:
                return
            self._receive()

    def read_whole(self):
        """Return the whole body; see `read_body`."""
        return b"".join(self.read_body())

    def read_short(self, limit):
        """Return the whole body if it is short, else None; see `read_body`.

        Notes
        -----
        What was read of a longer one is kept for `read_body`.
        """
        while not self.complete:
            if sum(map(len, self._chunks)) > limit:
                return None
            self._receive()
        return self.read_whole()
