"""From a request to its final answer: questions, sends, hedges and retries.

The decisions come from the service's dispatcher; here they are acted on.
"""

import time

import eventlet

from hingesill_core.reasons import RefusalReason, RetryReason
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import (
    Queued,
    Refusal,
    RetryDenied,
    SendResult,
    SendStatus,
)
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.hedges import AskedHedge
from hingesill_node.datapath.messages import Answer
from hingesill_node.datapath.sends import RequestSends
from hingesill_node.datapath.story import StepKind, Story
from hingesill_node.datapath.transport import TRANSPORT_ERRORS, read_result
from hingesill_node.datapath.waits import wait_any

__all__ = ["Exchange"]

WHOLE_BYTES = 64 * 1024
READ_SECONDS = 30.0
# While a hedge looks for an endpoint, how often it is looked at whether it was sent.
HEDGE_LOOK_SECONDS = 0.01


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
    wire : OwnFormat
        The dialect.
    clock : callable
        Seconds, by which the request's time passes.

    Attributes
    ----------
    sends : RequestSends
        What was sent to endpoints.
    story : Story
        The steps, for the log.
    """

    def __init__(self, runner, request, counters, wire, clock=time.monotonic):
        self.runner = runner
        self.request = request
        self.ticket = request.ticket
        self.counters = counters
        self.wire = wire
        self.clock = clock
        self.service = runner.dispatcher.service.name
        self.guard = runner.guard
        self.proven = None
        self.hedge = None
        self.fault_answer = None
        self.pending_result = None
        self.story = Story(self.ticket.arrived)
        self.sends = RequestSends(runner, request, counters, wire, clock, self.story)
        self.caller_watched = request.caller_socket is not None

    def run(self):
        """Return the Answer or the Refusal."""
        decision = self.runner.dispatcher.submit(self.ticket, self.clock())
        try:
            while True:
                if isinstance(decision, LoadQuery):
                    decision = self._wait_for_reply(decision)
                elif isinstance(decision, Queued):
                    self._tell(StepKind.HELD)
                    decision = self.runner.wait_held(self.request)
                elif isinstance(decision, Refusal):
                    return self.fault_answer or decision
                else:
                    outcome = self._carry_out(decision)
                    if not isinstance(outcome, SendStatus):
                        return outcome
                    decision = self._decide_after(outcome)
        finally:
            self._cancel_all()

    def _decide_after(self, end):
        """Ask for what follows a send that brought no answer."""
        # A try must not end one endpoint after another while it is being found out
        # whether they end under it.
        if end is SendStatus.LOST and not self.guard.may_send_again(self.request):
            self.ticket.retry_forbidden = True
        now = self.clock()
        decision, reason = self.runner.dispatcher.retry(self.ticket, end, now)
        self.counters.add("retries", self.service, reason.value)
        denied = isinstance(decision, Refusal)
        kind = StepKind.NOT_RETRIED if denied else StepKind.RETRIED
        self._tell(kind, detail=reason.value)
        return decision

    def _tell(self, kind, endpoint="", detail=""):
        """Add a step to the request's story."""
        self.story.add(kind, self.clock(), endpoint, detail)

    def _wait_for_reply(self, ask):
        """Wait until an endpoint's reply will do; return what to do then."""
        resting = self.runner.dispatcher.service_availability.count_backing_off(
            self.clock()
        )
        passed_by = f"({resting} resting)" if resting else ""
        self._tell(StepKind.ASKED, ",".join(ask.endpoints), passed_by)
        found = self.runner.get_room(self.wire, self.counters).wait(self.request, ask)
        self.proven = found.connection
        return found.decision

    def _carry_out(self, send):
        """Return an Answer, a Refusal, or the SendStatus to decide on."""
        proven, self.proven = self.proven, None
        # It may have become known while the request waited for an endpoint.
        refusal = self.guard.find_refusal(self.request, self.ticket.exposed)
        if refusal is not None:
            self.runner.give_back(send, proven)
            return refusal
        live = self.sends.start(send, proven)
        if isinstance(live, SendStatus):
            return live
        if live is None:
            return Refusal(RefusalReason.CALLER_GONE, self.sends.get_outcome())
        return self._await_first(live)

    def _await_first(self, live):
        """Wait for an answer, with a hedge once the first one is overdue.

        Returns
        -------
        Answer, Refusal or SendStatus
        """
        again_at = 0.0
        last = SendStatus.LATE
        while True:
            racing = self.sends.list_racing()
            if not racing:
                self._withdraw_hedge()
                return last
            now = self.clock()
            if now >= self.ticket.deadline:
                self.sends.end_all(racing, SendStatus.LATE)
                return SendStatus.LATE
            hedge_at = max(again_at, self._compute_hedge_time(racing[-1]))
            if now >= hedge_at:
                self._start_hedge()
                again_at = self._get_next_try(self.clock())
                continue
            ready = self._wait(racing, min(self.ticket.deadline, hedge_at))
            if ready is self.request:
                if self._should_cancel():
                    self._tell(StepKind.CALLER_GONE)
                    return Refusal(RefusalReason.CALLER_GONE, self.sends.get_outcome())
            elif ready is not None:
                outcome = self._read(ready)
                if not isinstance(outcome, SendStatus):
                    return outcome
                last = outcome

    def _compute_hedge_time(self, live):
        if not (self.ticket.route.repeatable and self.ticket.may_retry):
            return float("inf")
        if self.guard.is_suspect(self.request):
            return float("inf")
        overdue = self.runner.dispatcher.hedging.get_overdue_time(live.send)
        return live.send.started + overdue

    def _get_next_try(self, now):
        return self.runner.dispatcher.hedging.get_next_try(self.ticket, now)

    def _wait(self, racing, until):
        """Wait for a send that can be read, the caller, or a time.

        Returns
        -------
        LiveSend, CallerRequest or None
            The request itself if its caller's connection can be read.
        """
        by_socket = {
            live.connection.sock: live for live in racing if live.connection is not None
        }
        if self.caller_watched:
            by_socket[self.request.caller_socket] = self.request
        now = self.clock()
        waits = [self.runner.get_time_to_suspicion(live.send, now) for live in racing]
        if self.hedge is not None:
            waits.append(HEDGE_LOOK_SECONDS)
        ready = wait_any(by_socket, min(until - now, *waits))
        if ready is None:
            for live in racing:
                self.runner.suspect(live.send, self.clock())
            return None
        return by_socket[ready]

    def _should_cancel(self):
        """Tell whether the caller is gone and stopping the work is safe."""
        if not is_caller_gone(self.request.caller_socket):
            self.caller_watched = False  # A pipelined request waits there.
            return False
        self.caller_watched = False
        return self.ticket.route.repeatable

    def _start_hedge(self):
        """Start a second send if the rules and the budget allow it."""
        if self.hedge is not None:
            return
        decision = self.runner.dispatcher.hedging.start(self.ticket, self.clock())
        if isinstance(decision, RetryDenied):
            self.counters.add("retries", self.service, decision.reason.value)
            return
        self.counters.add("retries", self.service, RetryReason.HEDGE.value)
        if isinstance(decision, LoadQuery):
            room = self.runner.get_room(self.wire, self.counters)
            self.hedge = AskedHedge(self, room)
            eventlet.spawn_n(self.hedge.run, decision)
        else:
            self.sends.start(decision)

    def _withdraw_hedge(self):
        """End a hedge that has not been sent yet."""
        hedge, self.hedge = self.hedge, None
        if hedge is not None:
            hedge.withdraw()

    def _read(self, live):
        """Read an answer's head, and its body if it is short."""
        connection = live.connection
        connection.set_time_limit(READ_SECONDS)
        try:
            in_flight = self.runner.count_in_flight(live.send.endpoint)
            result = read_result(
                live, self.clock(), in_flight, self.wire, self.request.request_id
            )
            self.runner.record_head(live.send, result)
            if result.end is SendStatus.REFUSED:
                keep = self._drain_short_body(live)
                return self.sends.end(live, result, keep)
            answer = self._build_answer(live, result)
            if result.end is SendStatus.FAULT and answer.live is None:
                self._keep_fault(answer)
                return SendStatus.FAULT
            return answer
        except TRANSPORT_ERRORS:
            return self.sends.end(live, SendResult(SendStatus.LOST))

    def _keep_fault(self, answer):
        """Keep an endpoint's fault for the caller, unless it would mislead.

        Notes
        -----
        Some statuses tell callers that nothing was run; without the endpoint's
        own word for that they are not passed on.
        """
        if not self.wire.is_promise(answer.status):
            self.fault_answer = answer

    def _drain_short_body(self, live):
        """Read a refusal's body; tell whether the connection can be kept."""
        response = live.response
        return response.read_short(WHOLE_BYTES) is not None and response.can_keep

    def _build_answer(self, live, result):
        response = live.response
        answer = Answer(response.status, response.reason, response.headers, None)
        answer.body = response.read_short(WHOLE_BYTES)
        if answer.body is not None:
            self.sends.end(live, result, keep=response.can_keep)
            return answer
        answer.live = live
        self.sends.lives.remove(live)
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
            self.sends.handle_lost_response(live)
            raise ConnectionAbortedError(str(error)) from error
        finally:
            result = self.pending_result
            self.sends.end(
                live, result if keep else SendResult(SendStatus.CANCELLED), keep
            )

    def _cancel_all(self):
        """Cancel what is still under way: its answer is of no use any more."""
        self._withdraw_hedge()
        self.sends.end_all(self.sends.lives, SendStatus.CANCELLED)
