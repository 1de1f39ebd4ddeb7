"""Connections of urllib3 that accept whole heads and chunk sizes only.

The standard library's client takes the end of a connection for the end of a line: a
response that ends within its head counts as one without the remaining headers, and so
without a body.
"""

from http.client import HTTPResponse, IncompleteRead
from io import BufferedReader

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

__all__ = ["WholeResponsePoolManager"]


class WholeLineReader(BufferedReader):
    """Reads lines that the end of the connection must not cut."""

    def readline(self, size=-1):
        """Return the next line, or up to ``size`` bytes of it.

        Raises
        ------
        IncompleteRead
            If the connection ends within or before the line.
        """
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise IncompleteRead(line)
        return line


class WholeResponse(HTTPResponse):
    """A response whose head and chunk sizes are read in whole lines."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.fp = WholeLineReader(self.fp.detach())


class WholeResponseConnection(HTTPConnection):
    """Connection of a `WholeResponsePool`."""

    response_class = WholeResponse


class WholeResponsePool(HTTPConnectionPool):
    """Connections to one address."""

    ConnectionCls = WholeResponseConnection


class WholeResponsePoolManager(PoolManager):
    """Replaces `urllib3.PoolManager`, for plain HTTP."""

    def __init__(self, **options):
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": WholeResponsePool}
