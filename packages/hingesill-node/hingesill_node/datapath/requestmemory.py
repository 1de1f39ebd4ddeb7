"""Memory that requests and unread answers take, all connections together."""

from hingesill_core.reasons import RefusalReason
from hingesill_node.datapath.requests import RequestFault

__all__ = ["Holding", "RequestMemory"]

# Share of the limit from which connections that nobody misses are closed.
PRESSURE_SHARE = 0.75
# Steps of the limit; connections are closed once for each that is reached, as each
# search looks at all of them.
STEPS = 64
# A request exists as received, and as it is passed on.
COPIES = 2
# Bytes of one request that are kept at most; what follows is passed on at once.
MAX_KEPT_BYTES = 128 * 1024
# Requests of this size are served beyond the limit too; the limit of connections bounds
# what they take.
SMALL_BYTES = 8 * 1024


class RequestMemory:
    """Bytes that the requests on all addresses of a node take.

    Parameters
    ----------
    limit : int
        Maximum number of bytes.

    Attributes
    ----------
    used : int
        Bytes that are taken now.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0
        self._tables = []
        self._step = 0

    def add_table(self, table):
        """Add a ConnectionTable, whose connections are closed under pressure."""
        self._tables.append(table)

    def change(self, amount):
        """Take bytes, or give them back; close connections under pressure."""
        self.used += amount
        step = STEPS * self.used // self.limit
        is_rising, self._step = step > self._step, step
        if is_rising and self.used > PRESSURE_SHARE * self.limit:
            for table in self._tables:
                table.free_memory()

    def is_exceeded(self):
        """Return whether more bytes are taken than the limit."""
        return self.used > self.limit


class Holding:
    """Bytes that one connection takes of a RequestMemory."""

    __slots__ = ("_answer", "_memory", "_received")

    def __init__(self, memory):
        self._memory = memory
        self._received = 0
        self._answer = 0

    def add_received(self, count):
        """Take memory for received bytes of a request.

        Raises
        ------
        RequestFault
            If all requests together take more than the limit, and this one is not
            small.
        """
        kept = min(count, MAX_KEPT_BYTES - self._received)
        if kept <= 0:
            return
        self._received += kept
        self._memory.change(COPIES * kept)
        if self._received > SMALL_BYTES and self._memory.is_exceeded():
            detail = f"requests take {self._memory.used} bytes in all"
            raise RequestFault(RefusalReason.MEMORY_LIMIT, detail)

    def set_answer(self, size):
        """Take memory for an answer that the caller does not take, 0 for none."""
        self._memory.change(size - self._answer)
        self._answer = size

    def release(self):
        """Give the memory of the request back."""
        self._memory.change(-COPIES * self._received)
        self._received = 0
