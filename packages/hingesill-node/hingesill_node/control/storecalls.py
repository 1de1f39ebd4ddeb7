"""Calls to the store from the control loop: on threads, counted and limited."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from hingesill_core.store import StoreFailure
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["CountedStore", "StoreCalls"]

THREADS = 6


class CountedStore:
    """A store whose calls are counted by kind.

    Parameters
    ----------
    store : Store
        The adapter.
    counters : Counters
        Gets ``store_calls``.
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
    """Runs blocking calls on a few threads and notes whether the store answers.

    Parameters
    ----------
    state : ControlState
        Its ``is_store_available`` is written.
    """

    def __init__(self, state):
        self._state = state
        self._threads = ThreadPoolExecutor(THREADS, thread_name_prefix="store")

    async def run(self, call, *arguments):
        """Return what a blocking call returns."""
        loop = asyncio.get_running_loop()
        answer = await loop.run_in_executor(self._threads, call, *arguments)
        self.note(not isinstance(answer, StoreFailure), answer)
        return answer

    def note(self, answers, detail=None):
        """Note whether the store answered; log a change of that."""
        if answers and not self._state.is_store_available:
            log_event(Event.STORE_BACK)
        if not answers and self._state.is_store_available:
            log_event(Event.STORE_LOST, detail=str(detail))
        self._state.is_store_available = answers

    def close(self):
        """End the threads once their calls are over."""
        self._threads.shutdown(wait=False, cancel_futures=True)
