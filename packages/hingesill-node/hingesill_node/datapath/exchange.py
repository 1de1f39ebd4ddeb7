"""From a request to its final answer: sends, hedges and retries carried out.

The decisions come from the service's dispatcher; here they are acted on.
"""

import time

import eventlet
from eventlet.queue import Empty, LightQueue

from hingesill_core.reasons import Outcome, RefusalReason, RetryReason
from hingesill_core.routing.messages import (
    Denied,
    Hold,
    Refusal,
    SendEnd,
    SendResult,
)
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.connections import ConnectFailed, WaitTimeout
from hingesill_node.datapath.messages import Answer, LiveSend
from hingesill_node.datapath.transport import (
    TRANSPORT_ERRORS,
    BodyFailed,
    read_result,
    send_request,
)

__all__ = ["Exchange"]

SLICE_SECONDS = 0.02
WHOLE_BYTES = 64 * 1024
READ_SECONDS = 30.0


class Exchange:
    """One request's exchange with the endpoints of its service.

    Parameters
    ----------
    runner : ServiceRunner
        The service's dispatcher with its pools and held requests.
    request : CallerRequest
        The request.
    counters : Counters
        Takes each reason.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, runner, request, counters, clock=time.monotonic):
        self.runner = runner
        self.request = request
        self.ticket = request.ticket
        self.counters = counters
        self.clock = clock
        self.service = self.ticket.route.service
        self.lives = []
        self.fault_answer = None
        self.pending_result = None

    def run(self):
        """Return the Answer or the Refusal."""
        decision = self.runner.dispatcher.submit(self.ticket, self.clock())
        try:
            while True:
                if isinstance(decision, Hold):
                    decision = self.runner.wait_held(self.request)
                if isinstance(decision, Refusal):
                    return self.fault_answer or decision
                outcome = self._carry_out(decision)
                if not isinstance(outcome, SendEnd):
                    return outcome
                decision = self._decide_after(outcome)
        finally:
            self._cancel_all()

    def _decide_after(self, end):
        """Ask for what follows a send that brought no answer."""
        now = self.clock()
        decision, reason = self.runner.dispatcher.retry(self.ticket, end, now)
        self.counters.add("retries", self.service, reason.value)
        return decision

    def _carry_out(self, send):
        """Return an Answer, a Refusal, or the SendEnd to decide on."""
        live = self._start(send)
        if isinstance(live, SendEnd):
            return live
        if live is None:
            return Refusal(RefusalReason.CALLER_GONE, self._get_outcome())
        return self._await_first(live)

    def _start(self, send):
        """Send the request; return the LiveSend, a SendEnd, or None."""
        self.counters.add("sends", self.service)
        live = LiveSend(send, self.runner.get_pool(send.endpoint))
        self.lives.append(live)
        try:
            send_request(live, self.request, self.clock())
            return live
        except ConnectFailed:
            return self._end(live, SendResult(SendEnd.CONNECT_FAILED))
        except BodyFailed:
            self._end(live, SendResult(SendEnd.CANCELLED))
            return None
        except OSError:
            return self._end(live, SendResult(SendEnd.LOST))

    def _end(self, live, result, keep=False):
        """Settle a send, and keep or close its connection."""
        if live.settled:
            return result.end
        live.settled = True
        connection, live.connection = live.connection, None
        if connection is not None:
            if keep:
                live.pool.give_back(connection)
            else:
                live.pool.discard(connection)
        self.runner.settle(live.send, result)
        return result.end

    def _await_first(self, live):
        """Wait for the first send's answer, with a hedge once it is overdue."""
        started = live.send.started
        may_hedge = self.ticket.route.repeatable and self.ticket.may_retry
        while True:
            now = self.clock()
            if now >= self.ticket.deadline:
                return self._end(live, SendResult(SendEnd.LATE))
            wait = self.runner.get_time_to_suspicion(live.send, now)
            if may_hedge:
                overdue = self.runner.dispatcher.get_overdue_time(live.send)
                until_hedge = started + overdue - now
                if until_hedge > 0:
                    wait = min(wait, until_hedge)
                else:
                    hedge = self._start_hedge()
                    if hedge is not None:
                        return self._race([live, hedge])
            wait = min(self.ticket.deadline - now, wait, SLICE_SECONDS)
            try:
                live.connection.wait_readable(wait)
                return self._read(live)
            except WaitTimeout:
                self.runner.suspect(live.send, self.clock())
                if self._should_cancel():
                    self._end(live, SendResult(SendEnd.CANCELLED))
                    return Refusal(RefusalReason.CALLER_GONE, self._get_outcome())
            except OSError:
                return self._end(live, SendResult(SendEnd.LOST))

    def _should_cancel(self):
        """Tell whether the caller is gone and stopping the work is safe."""
        if not self.ticket.route.repeatable:
            return False
        return is_caller_gone(self.request.caller_socket)

    def _get_outcome(self):
        return Outcome.UNKNOWN if self.ticket.exposed else Outcome.NOT_RUN

    def _start_hedge(self):
        """Start a second send; return its LiveSend, or None."""
        decision = self.runner.dispatcher.start_hedge(self.ticket, self.clock())
        if isinstance(decision, Denied):
            self.counters.add("retries", self.service, decision.reason.value)
            return None
        self.counters.add("retries", self.service, RetryReason.HEDGE.value)
        live = self._start(decision)
        return live if isinstance(live, LiveSend) else None

    def _race(self, lives):
        """Return what the first send to be answered brings."""
        ready = LightQueue()
        for live in lives:
            live.waiter = eventlet.spawn(self._watch, live, ready)
        last = SendEnd.LATE
        while any(not live.settled for live in lives):
            left = self.ticket.deadline - self.clock()
            try:
                live, readable = ready.get(timeout=max(left, 0.0))
            except Empty:
                self._end_all(lives, SendEnd.LATE)
                return SendEnd.LATE
            if not readable:
                last = self._end(live, SendResult(SendEnd.LOST))
                continue
            outcome = self._read(live)
            if not isinstance(outcome, SendEnd):
                return outcome
            last = outcome
        return last

    def _watch(self, live, ready):
        """Tell the race when a send's connection can be read."""
        left = max(self.ticket.deadline - self.clock(), 0.0)
        try:
            live.connection.wait_readable(left)
            ready.put((live, True))
        except (WaitTimeout, OSError):
            ready.put((live, False))

    def _read(self, live):
        """Read an answer's head, and its body if it is short."""
        connection = live.connection
        connection.set_time_limit(READ_SECONDS)
        try:
            in_flight = self.runner.count_in_flight(live.send.endpoint)
            result = read_result(live, self.clock(), in_flight)
            if result.end is SendEnd.REFUSED:
                keep = self._drain_short_body(live)
                return self._end(live, result, keep)
            answer = self._build_answer(live, result)
            if result.end is SendEnd.FAULT and answer.live is None:
                self.fault_answer = answer
                return SendEnd.FAULT
            return answer
        except TRANSPORT_ERRORS:
            return self._end(live, SendResult(SendEnd.LOST))

    def _drain_short_body(self, live):
        """Read a refusal's body; tell whether the connection can be kept."""
        response = live.response
        if response.length is None or response.length > WHOLE_BYTES:
            return False
        response.read_whole()
        return response.can_keep

    def _build_answer(self, live, result):
        response = live.response
        answer = Answer(response.status, response.reason, response.headers, None)
        if response.length is not None and response.length <= WHOLE_BYTES:
            answer.body = response.read_whole()
            self._end(live, result, keep=response.can_keep)
            return answer
        answer.live = live
        self.lives.remove(live)
        self.ticket.exposed = True
        self.pending_result = result
        return answer

    def stream(self, answer):
        """Yield the body of a long answer.

        Raises
        ------
        OSError
            The answer ended short, so the caller's must not end cleanly.
        """
        live = answer.live
        response = live.response
        keep = False
        try:
            yield from response.read_body()
            keep = response.can_keep
        except TRANSPORT_ERRORS as error:
            self.counters.add(
                "refusals", self.service, RefusalReason.ANSWER_SHORT.value
            )
            raise ConnectionAbortedError(str(error)) from error
        finally:
            result = self.pending_result
            self._end(live, result if keep else SendResult(SendEnd.CANCELLED), keep)

    def _end_all(self, lives, end):
        for live in lives:
            self._stop_waiter(live)
            self._end(live, SendResult(end))

    def _cancel_all(self):
        """Cancel what is still under way: its answer is of no use any more."""
        self._end_all(self.lives, SendEnd.CANCELLED)

    def _stop_waiter(self, live):
        if live.waiter is not None:
            live.waiter.kill()
            live.waiter = None
