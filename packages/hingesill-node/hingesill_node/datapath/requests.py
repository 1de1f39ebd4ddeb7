"""Reading a caller's request head with httptools within eventlet's server."""

import httptools

__all__ = ["RequestHead"]


class RequestHead:
    """The head of one request, as eventlet's server asks for it.

    Parameters
    ----------
    lines : list of bytes
        The request line, the header lines and the empty line.

    Raises
    ------
    httptools.HttpParserError
        If the parser, which is strict, does not take it.

    Notes
    -----
    ``_headers`` and ``get_content_type`` are what eventlet's server reads of
    the standard library's message.
    """

    def __init__(self, lines):
        self._headers = []
        self._values = {}
        self.target = b""
        parser = httptools.HttpRequestParser(self)
        try:
            parser.feed_data(b"".join(lines))
        except httptools.HttpParserUpgrade:
            pass  # The upgrade is not passed on, so the request is a plain one.
        self.method = parser.get_method().decode("ascii")
        self.version = parser.get_http_version()
        self.keep_alive = parser.should_keep_alive()

    def on_url(self, url):
        """Take the target, which may come in parts."""
        self.target += url

    def on_header(self, name, value):
        """Take one header."""
        pair = (name.decode("latin-1"), value.decode("latin-1"))
        self._headers.append(pair)
        self._values.setdefault(pair[0].lower(), pair[1])

    def get(self, name, default=None):
        """Return the first value of a header."""
        return self._values.get(name.lower(), default)

    def get_content_type(self):
        """Return the type of a body without a type of its own."""
        return "text/plain"
