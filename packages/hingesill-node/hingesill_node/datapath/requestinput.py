"""Input stream of a request that ends only where the request's framing says so.

eventlet's own stream takes the end of the connection for the end of a line, so that a
chunk's size may be cut, and accepts sizes that RFC 9112 does not allow.
"""

from io import UnsupportedOperation

import httptools
from eventlet import wsgi

from hingesill_core.reasons import RefusalReason
from hingesill_node.datapath.requests import RequestFault

__all__ = ["ChunkedBody", "RequestInput"]

# Makes the parser expect chunks, whatever the method and headers of the request.
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
# A chunked body ends with an empty line; it may contain these bytes earlier, too.
EMPTY_LINE = b"\n\r\n"


class DecodedChunks:
    """Callbacks of the parser, with what it has decoded."""

    def __init__(self):
        self.data = bytearray()
        self.is_complete = False

    def on_body(self, data):
        """Add decoded bytes."""
        self.data += data

    def on_message_complete(self):
        """Record the end of the trailers."""
        self.is_complete = True


class ChunkedBody:
    """A chunked body, decoded by the strict parser.

    Parameters
    ----------
    source : BufferedReader
        The connection; bytes after the body are left in it.
    max_framing_bytes : int
        Maximum number of bytes in a row that hold no body, such as extensions of chunks
        and trailers.
    """

    def __init__(self, source, max_framing_bytes):
        self._source = source
        self._decoded = DecodedChunks()
        self._parser = httptools.HttpRequestParser(self._decoded)
        self._parser.feed_data(CHUNKED_HEAD)
        self._last_bytes = b""
        self._framing_bytes = 0
        self._max_framing_bytes = max_framing_bytes

    @property
    def is_complete(self):
        """Whether the end of the trailers was read."""
        return self._decoded.is_complete

    def read(self, size=None):
        """Return up to ``size`` bytes, fewer only at the end of the body.

        Raises
        ------
        RequestFault
            If the connection ends before the body, or the parser rejects it.
        """
        decoded = self._decoded
        while not decoded.is_complete and (size is None or len(decoded.data) < size):
            self._receive()
        data = bytes(decoded.data[:size])
        del decoded.data[:size]
        return data

    def _receive(self):
        """Parse the next received bytes, up to an empty line at most."""
        received = self._source.peek()
        if not received:
            detail = "the connection ended within a chunked body"
            raise RequestFault(RefusalReason.INCOMPLETE_REQUEST, detail)
        data = self._source.read(self._find_possible_end(received))
        self._last_bytes = (self._last_bytes + data)[-2:]
        decoded = len(self._decoded.data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise RequestFault(RefusalReason.BAD_FRAMING, str(error)) from error
        has_body = len(self._decoded.data) > decoded
        self._framing_bytes = 0 if has_body else self._framing_bytes + len(data)
        if self._framing_bytes > self._max_framing_bytes:
            detail = "an extension of a chunk, or the trailers, are too long"
            raise RequestFault(RefusalReason.BAD_FRAMING, detail)

    def _find_possible_end(self, received):
        """Return the number of bytes up to the first place where a body may end."""
        index = (self._last_bytes + received).find(EMPTY_LINE)
        if index < 0:
            return len(received)
        return index + len(EMPTY_LINE) - len(self._last_bytes)


class RequestInput(wsgi.Input):
    """Replaces the input stream of eventlet's server; see there for parameters.

    Parameters
    ----------
    max_framing_bytes : int
        See `ChunkedBody`.
    """

    def __init__(self, rfile, *arguments, max_framing_bytes):
        super().__init__(rfile, *arguments)
        self._chunks = None
        if self.chunked_input:
            self._chunks = ChunkedBody(rfile, max_framing_bytes)

    @property
    def is_whole(self):
        """Whether the body was read to its end."""
        if self._chunks is not None:
            return self._chunks.is_complete
        return self.position >= (self.content_length or 0)

    def read(self, length=None):
        """Return up to ``length`` bytes, fewer only at the end of the body.

        Raises
        ------
        RequestFault
            If the body is incomplete or malformed, or does not arrive in time.
        """
        try:
            data = super().read(length)
        except RequestFault:
            raise
        except OSError as error:
            detail = f"reading the body failed: {error}"
            raise RequestFault(RefusalReason.INCOMPLETE_REQUEST, detail) from error
        if not self.chunked_input and (length is None or len(data) < length):
            self._check_end()
        return data

    def _check_end(self):
        """Raise RequestFault if the connection ended before a body with a length."""
        if self.position < self.content_length:
            detail = (
                f"the connection ended after {self.position} of"
                f" {self.content_length} bytes of the body"
            )
            raise RequestFault(RefusalReason.INCOMPLETE_REQUEST, detail)

    def _chunked_read(self, rfile, length=None, use_readline=False):
        if use_readline:
            raise UnsupportedOperation("chunked bodies are not read by lines")
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        return self._chunks.read(length)
