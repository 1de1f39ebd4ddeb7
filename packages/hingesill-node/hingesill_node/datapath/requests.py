"""Parsing request heads of callers with httptools in the server of eventlet."""

import httptools

__all__ = ["RequestHead"]


class RequestHead:
    """The head of a request, with the interface that eventlet's server expects.

    Parameters
    ----------
    lines : list of bytes
        The request line, the header lines and the empty line.

    Raises
    ------
    httptools.HttpParserError
        If the strict parser rejects the head.

    Notes
    -----
    eventlet's server uses ``_headers`` and ``get_content_type`` of the message
    class of the standard library.
    """

    def __init__(self, lines):
        self._headers = []
        self._values = {}
        self.target = b""
        parser = httptools.HttpRequestParser(self)
        try:
            parser.feed_data(b"".join(lines))
        except httptools.HttpParserUpgrade:
            pass  # Upgrades are not forwarded; handle as a plain request.
        self.method = parser.get_method().decode("ascii")
        self.version = parser.get_http_version()
        self.keep_alive = parser.should_keep_alive()

    def on_url(self, url):
        """Append a part of the target."""
        self.target += url

    def on_header(self, name, value):
        """Add a header."""
        pair = (name.decode("latin-1"), value.decode("latin-1"))
        self._headers.append(pair)
        self._values.setdefault(pair[0].lower(), pair[1])

    def get(self, name, default=None):
        """Return the first value of a header."""
        return self._values.get(name.lower(), default)

    def get_content_type(self):
        """Return the default content type."""
        return "text/plain"
