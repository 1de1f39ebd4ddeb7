"""Calls to the store from the control loop: counted, on a limited number of threads."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from hingesill_core.store import StoreFailure
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["CountedStore", "StoreCalls"]

THREAD_COUNT = 6


class CountedStore:
    """A store whose calls are counted by method.

    Parameters
    ----------
    store : Store
        Adapter that the calls are passed to.
    counters : Counters
        Receives ``store_calls``.
    """

    def __init__(self, store, counters):
        self._store = store
        self._counters = counters

    def __getattr__(self, name):
        call = getattr(self._store, name)

        def counted(*arguments):
            answer = call(*arguments)
            failed = "failed" if isinstance(answer, StoreFailure) else ""
            self._counters.add("store_calls", name, failed)
            return answer

        return counted


class StoreCalls:
    """Runs blocking calls on a few threads and records whether the store answers.

    Parameters
    ----------
    state : ControlState
        Its ``is_store_available`` is set.
    """

    def __init__(self, state):
        self._state = state
        self._threads = ThreadPoolExecutor(THREAD_COUNT, thread_name_prefix="store")

    async def run(self, call, *arguments):
        """Return the result of a blocking call."""
        loop = asyncio.get_running_loop()
        answer = await loop.run_in_executor(self._threads, call, *arguments)
        self.record_availability(not isinstance(answer, StoreFailure), answer)
        return answer

    def record_availability(self, available, detail=None):
        """Record whether the store answered; log a change."""
        if available and not self._state.is_store_available:
            log_event(Event.STORE_BACK)
        if not available and self._state.is_store_available:
            log_event(Event.STORE_LOST, detail=str(detail))
        self._state.is_store_available = available

    def close(self):
        """Stop the threads once their current calls have returned."""
        self._threads.shutdown(wait=False, cancel_futures=True)
