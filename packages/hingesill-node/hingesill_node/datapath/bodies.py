"""Bodies on their way: bounded ones of callers, counted ones of answers."""

__all__ = ["BegunBody", "CountedBody", "LimitedBody"]


class LimitedBody:
    """A body that fails once it is longer than allowed.

    Parameters
    ----------
    source : object
        The server's input.
    limit : int
        Bytes.
    """

    def __init__(self, source, limit):
        self._source = source
        self._left = limit

    def read(self, size):
        """Return up to ``size`` bytes; OSError beyond the limit."""
        data = self._source.read(size)
        self._left -= len(data)
        if self._left < 0:
            raise OSError("the body is longer than allowed")
        return data


class BegunBody:
    """A body whose beginning was read already.

    Parameters
    ----------
    beginning : bytes
        Comes first.
    source : LimitedBody
        Has the rest.
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
    """A body whose request counts as in flight until the body is closed."""

    def __init__(self, chunks, blackboard):
        self._chunks = chunks
        self._blackboard = blackboard

    def __iter__(self):
        return iter(self._chunks)

    def close(self):
        """Note the end of the request."""
        self._blackboard.in_flight -= 1
        self._chunks.close()
