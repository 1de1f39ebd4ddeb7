"""Reading an endpoint's answer with httptools, whose parser is compiled.

The parser of the standard library costs more than all decisions of the node
together; ``docs/design/data-path.md`` has the figures.
"""

import httptools

__all__ = ["EndpointResponse", "MalformedAnswer", "ShortAnswer"]

RECEIVE_BYTES = 64 * 1024
LARGEST_HEAD_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200
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

    def __init__(self, sock, method):
        self._sock = sock
        self._method = method
        self._parser = httptools.HttpResponseParser(self)
        self._chunks = []
        self._received = 0
        self._head_done = False
        self._tainted = False
        self._begin()

    def _begin(self):
        self.status = 0
        self.reason = ""
        self.headers = []
        self.length = None
        self.complete = False
        self._framed = False

    # What the parser calls.

    def on_message_begin(self):
        """Note an answer that nobody asked for."""
        if self.complete:
            self._tainted = True

    def on_status(self, status):
        """Take the reason phrase, which may come in parts."""
        self.reason += status.decode("latin-1")

    def on_header(self, name, value):
        """Take one header."""
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
        self.status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        if self.status < FIRST_FINAL_STATUS:
            return
        self._head_done = True
        if self._method == "HEAD" or self.status in BODYLESS_STATUSES:
            self.length = 0
            self.complete = True

    def on_body(self, body):
        """Take a part of the body."""
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
        data = self._sock.recv(RECEIVE_BYTES)
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
