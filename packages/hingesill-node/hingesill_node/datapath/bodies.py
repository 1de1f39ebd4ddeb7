"""Wrappers of request and response bodies."""

__all__ = ["PrefixedBody", "CountedBody", "LimitedBody"]


class LimitedBody:
    """A request body with a maximum size.

    Parameters
    ----------
    source : object
        The input stream of the server.
    limit : int
        Maximum size in bytes.
    """

    def __init__(self, source, limit):
        self._source = source
        self._remaining = limit

    def read(self, size):
        """Return up to ``size`` bytes, or raise OSError beyond the limit."""
        data = self._source.read(size)
        self._remaining -= len(data)
        if self._remaining < 0:
            raise OSError("the request body exceeds the maximum size")
        return data


class PrefixedBody:
    """A request body whose beginning was read already.

    Parameters
    ----------
    beginning : bytes
        The part that was read.
    source : LimitedBody
        The body from which the remaining bytes are read.
    """

    def __init__(self, beginning, source):
        self._beginning = beginning
        self._source = source

    def read(self, size):
        """Return up to ``size`` bytes; see `LimitedBody.read`."""
        if not self._beginning:
            return self._source.read(size)
        data, self._beginning = self._beginning[:size], self._beginning[size:]
        return data


class CountedBody:
    """A response body whose request is in flight until the body is closed."""

    def __init__(self, chunks, blackboard):
        self._chunks = chunks
        self._blackboard = blackboard

    def __iter__(self):
        return iter(self._chunks)

    def close(self):
        """Close the body and decrement the number of requests in flight."""
        self._blackboard.in_flight -= 1
        self._chunks.close()
