"""Processing of one request: load queries, sends, hedges and retries.

The service's dispatcher decides; this module carries the decisions out.
"""

import time
from functools import partial

import eventlet

from hingesill_core.reasons import RefusalReason, RetryReason
from hingesill_core.retries.decision import DEFINITELY_NOT_RUN
from hingesill_core.routing.loadqueries import LoadQuery
from hingesill_core.routing.messages import (
    Forward,
    Queued,
    Refusal,
    RetryDenied,
    SendResult,
    SendStatus,
)
from hingesill_node.datapath.callers import is_caller_gone
from hingesill_node.datapath.forwarding import Hop
from hingesill_node.datapath.hedges import QueryingHedge
from hingesill_node.datapath.messages import Answer
from hingesill_node.datapath.requesttimeline import RequestTimeline, StepKind
from hingesill_node.datapath.sends import RequestSends
from hingesill_node.datapath.transport import TRANSPORT_ERRORS, read_result
from hingesill_node.datapath.waits import WaitTimeout, wait_any

__all__ = ["Exchange"]

MAX_BUFFERED_BODY_BYTES = 64 * 1024
READ_TIMEOUT_SECONDS = 30.0
# Interval between checks whether a hedge that waits for an endpoint has been sent.
HEDGE_CHECK_INTERVAL_SECONDS = 0.01


class Exchange:
    """Exchange of one request with the endpoints of its service.

    Parameters
    ----------
    runner : ServiceRunner
        The service's dispatcher with its pools and queued requests.
    request : CallerRequest
        The request.
    counters : Counters
        Counts retry and refusal reasons.
    wire : OwnFormat
        The header format.
    clock : callable
        Monotonic seconds; the request's deadline is on this clock.
    authenticator : Authenticator or None
        Checks the request's key again before each send; None without keys.

    Attributes
    ----------
    sends : RequestSends
        The request's sends to endpoints.
    timeline : RequestTimeline
        The request's steps, for the log.
    """

    def __init__(
        self,
        runner,
        request,
        counters,
        wire,
        clock=time.monotonic,
        authenticator=None,
    ):
        self.runner = runner
        self.request = request
        self.ticket = request.ticket
        self.counters = counters
        self.wire = wire
        self.clock = clock
        self.service = runner.dispatcher.service.name
        self.guard = runner.guard
        self.reply_connection = None
        self.hedge = None
        self.fault_answer = None
        self.exposing_status = None
        self.quota_refusal = None
        self.pending_result = None
        self.timeline = RequestTimeline(self.ticket.arrived)
        # A method of this object would keep both alive until a garbage collection.
        check_key = partial(check_key_again, authenticator, request)
        self.check_key = check_key
        self.sends = RequestSends(
            runner, request, counters, wire, clock, self.timeline, check_key
        )
        self.caller_watched = request.caller_socket is not None

    def run(self):
        """Process the request and return the Answer or the Refusal."""
        decision = self.runner.dispatcher.submit(self.ticket, self.clock())
        try:
            while True:
                if isinstance(decision, LoadQuery):
                    decision = self._wait_for_reply(decision)
                elif isinstance(decision, Queued):
                    self.add_step(StepKind.QUEUED)
                    decision = self.runner.wait_queued(self.request)
                elif isinstance(decision, Forward):
                    return self._forward()
                elif isinstance(decision, Refusal):
                    if decision.reason is RefusalReason.ENDPOINTS_UNREACHABLE:
                        self.runner.start_trials(self.wire, self.counters)
                    return self.fault_answer or decision
                else:
                    outcome = self._execute_send(decision)
                    if not isinstance(outcome, SendStatus):
                        return outcome
                    decision = self._decide_after(outcome)
        finally:
            self._cancel_all()

    def _forward(self):
        """Have another node serve the request; return an Answer or a Refusal."""
        self.runner.start_trials(self.wire, self.counters)
        if self.runner.forwarder is not None:
            result = self.runner.forwarder.forward(self)
            if result is not None:
                return result
        return self.fault_answer or self.runner.dispatcher.refuse(
            self.ticket, RefusalReason.ENDPOINTS_UNREACHABLE, self.clock()
        )

    def _decide_after(self, status):
        """Return the dispatcher's decision after a send without an answer."""
        # Until crash checks of lost sends have a result, a request that may crash
        # endpoints must not be sent to one after another.
        if status is SendStatus.LOST and not self.guard.may_send_again(self.request):
            self.ticket.retry_forbidden = True
        if status not in DEFINITELY_NOT_RUN:
            self.exposing_status = status
        if self._may_ask_for_retry(status):
            now = self.clock()
            decision, reason = self.runner.dispatcher.retry(self.ticket, status, now)
        else:
            decision, reason = self.refuse_by_quota(status), RetryReason.DENIED_QUOTA
        self.counters.add("retries", self.service, reason.value)
        denied = isinstance(decision, Refusal)
        kind = StepKind.NOT_RETRIED if denied else StepKind.RETRIED
        self.add_step(kind, detail=reason.value)
        return decision

    def _may_ask_for_retry(self, status):
        """Return whether the quota permits a retry, or a rule forbids it anyway."""
        if self.request.tokens.is_ready(self.ticket.organisation):
            return True
        retrying = self.runner.dispatcher.retrying
        if retrying.is_forbidden(self.ticket, status, self.clock()):
            return True
        return self.has_token()

    def has_token(self):
        """Return whether the next send has a token, or get one.

        Notes
        -----
        Only a request that no endpoint can have run waits for one.
        """
        tokens, organisation = self.request.tokens, self.ticket.organisation
        if tokens.is_ready(organisation):
            return True
        if self.ticket.exposed:
            return tokens.take(organisation)
        self.quota_refusal = tokens.admit(organisation)
        return self.quota_refusal is None

    def refuse_by_quota(self, status):
        """Return the Refusal of a request that gets no further token.

        Parameters
        ----------
        status : SendStatus
            Status of the last send, unless an earlier one may have run the request.
        """
        if not self.ticket.exposed:
            return self.quota_refusal
        return self.runner.dispatcher.retrying.refuse(
            self.ticket, self.exposing_status or status, self.clock()
        )

    def add_step(self, kind, endpoint="", detail=""):
        """Add a step to the request's timeline."""
        self.timeline.add(kind, self.clock(), endpoint, detail)

    def _wait_for_reply(self, query):
        """Wait for a suitable load reply and return the decision that follows."""
        backing_off = self.runner.dispatcher.service_availability.count_backing_off(
            self.clock()
        )
        skipped = f"({backing_off} resting)" if backing_off else ""
        self.add_step(StepKind.QUERIED, ",".join(query.endpoints), skipped)
        result = self.runner.get_query_client(self.wire, self.counters).wait(
            self.request, query
        )
        self.reply_connection = result.connection
        return result.decision

    def _execute_send(self, send):
        """Send the request; return an Answer, a Refusal or a SendStatus.

        A SendStatus means that the send brought no answer.
        """
        reply_connection, self.reply_connection = self.reply_connection, None
        # The request may have been quarantined while it waited for an endpoint.
        refusal = self._find_refusal()
        if refusal is not None:
            self.runner.cancel_send(send, reply_connection)
            return refusal
        live = self.sends.start(send, reply_connection)
        if live is SendStatus.NOT_SENT:
            return self.check_key() or live
        if isinstance(live, SendStatus):
            return live
        if live is None:
            reason = self.request.body.failure_reason
            return Refusal(reason, self.sends.get_outcome())
        return self._await_first(live)

    def _find_refusal(self):
        """Return the Refusal of a request that must not be sent, or None.

        Notes
        -----
        The request may have been quarantined, its key removed or moved to another
        organisation, and the end of a planned stop come near, while it waited for an
        endpoint or for a token.
        """
        while True:
            refusal = (
                self.guard.find_refusal(self.request, self.ticket.exposed)
                or self.check_key()
                or self.sends.find_stop_refusal()
            )
            if refusal is not None:
                return refusal
            if self.request.tokens.is_ready(self.ticket.organisation):
                return None
            if not self.has_token():
                return self.fault_answer or self.refuse_by_quota(SendStatus.LOST)

    def _await_first(self, live):
        """Wait for an answer, and start a hedge once it is overdue.

        Returns
        -------
        Answer, Refusal or SendStatus
        """
        next_try_at = 0.0
        last_status = SendStatus.LATE
        while True:
            in_flight = self.sends.list_in_flight()
            if not in_flight:
                self._cancel_hedge()
                return last_status
            now = self.clock()
            if now >= self.ticket.deadline:
                self.sends.end_all(in_flight, SendStatus.LATE)
                return SendStatus.LATE
            hedge_at = max(next_try_at, self._compute_hedge_time(in_flight[-1]))
            if now >= hedge_at:
                if self.runner.dispatcher.reachability.lost_at is not None:
                    # The answer cannot arrive, and neither can that of a hedge.
                    self._cancel_hedge()
                    self.sends.end_all(in_flight, SendStatus.LATE)
                    return SendStatus.LATE
                self._start_hedge()
                next_try_at = self._get_next_try(self.clock())
                continue
            ready = self._wait(in_flight, min(self.ticket.deadline, hedge_at))
            if ready is self.request:
                if self._should_cancel():
                    self.add_step(StepKind.CALLER_GONE)
                    return Refusal(RefusalReason.CALLER_GONE, self.sends.get_outcome())
            elif ready is not None:
                outcome = self._read(ready)
                if not isinstance(outcome, SendStatus):
                    return outcome
                last_status = outcome

    def _compute_hedge_time(self, live):
        if not (self.ticket.route.repeatable and self.ticket.may_retry):
            return float("inf")
        if self.guard.is_suspect(self.request):
            return float("inf")
        overdue = self.runner.dispatcher.hedging.get_hedge_delay(live.send)
        return live.send.started + overdue

    def _get_next_try(self, now):
        return self.runner.dispatcher.hedging.get_next_attempt_time(self.ticket, now)

    def _wait(self, in_flight, until):
        """Wait until a send or the caller's connection is readable, or until a time.

        Returns
        -------
        LiveSend, CallerRequest or None
            The request itself if its caller's connection is readable; None if the
            time has passed.
        """
        by_socket = {
            live.connection.sock: live
            for live in in_flight
            if live.connection is not None
        }
        if self.caller_watched:
            by_socket[self.request.caller_socket] = self.request
        now = self.clock()
        waits = [
            self.runner.get_time_to_suspicion(live.send, now) for live in in_flight
        ]
        if self.hedge is not None:
            waits.append(HEDGE_CHECK_INTERVAL_SECONDS)
        ready = wait_any(by_socket, min(until - now, *waits))
        if ready is None:
            for live in in_flight:
                self.runner.report_suspicion(live.send, self.clock())
            return None
        return by_socket[ready]

    def _should_cancel(self):
        """Return whether the caller is gone and the request may be cancelled."""
        if not is_caller_gone(self.request.caller_socket):
            self.caller_watched = False  # The data is a pipelined request.
            return False
        self.caller_watched = False
        return self.ticket.route.repeatable

    def _start_hedge(self):
        """Start a second send if the hedging rules and retry budget allow it."""
        if self.hedge is not None:
            return
        tokens = self.request.tokens
        if not tokens.take(self.ticket.organisation):
            self.counters.add("retries", self.service, RetryReason.DENIED_QUOTA.value)
            return
        decision = self.runner.dispatcher.hedging.start(self.ticket, self.clock())
        if isinstance(decision, RetryDenied):
            tokens.release()
            self.counters.add("retries", self.service, decision.reason.value)
            return
        self.counters.add("retries", self.service, RetryReason.HEDGE.value)
        if isinstance(decision, LoadQuery):
            query_client = self.runner.get_query_client(self.wire, self.counters)
            self.hedge = QueryingHedge(self, query_client)
            eventlet.spawn_n(self.hedge.run, decision)
        elif self.check_key() is None:
            self.sends.start(decision)
        else:
            self.runner.cancel_send(decision, None)

    def _cancel_hedge(self):
        """Cancel a hedge that has not been sent yet."""
        hedge, self.hedge = self.hedge, None
        if hedge is not None:
            hedge.cancel()

    def _read(self, live):
        """Read an answer's head, and its body if it is short.

        Returns
        -------
        Answer or SendStatus
        """
        connection = live.connection
        connection.set_time_limit(READ_TIMEOUT_SECONDS)
        try:
            result = self._read_head(live)
            self.runner.record_head(live.send, result)
            if result.end is SendStatus.REFUSED:
                keep = self._drain_short_body(live)
                return self.sends.end(live, result, keep)
            answer = self._build_answer(live, result)
            if result.end is SendStatus.FAULT and answer.live is None:
                self._save_fault_answer(answer)
                return SendStatus.FAULT
            return answer
        except WaitTimeout:
            return self.sends.end(live, SendResult(SendStatus.LATE))
        except OSError:
            return self.sends.end(live, SendResult(SendStatus.LOST))

    def _read_head(self, live):
        """Return the SendResult in an answer's head; see `read_result`."""
        now = self.clock()
        try:
            return read_result(
                live,
                now,
                self.runner.count_in_flight(live.send.endpoint),
                self.wire,
                self.request.request_id,
                self.ticket.deadline - now,
            )
        finally:
            skipped = live.connection.skipped_answers
            if skipped:
                self.counters.add("skipped_answers", self.service, amount=skipped)
                detail = f"{skipped} other answers"
                self.add_step(StepKind.SKIPPED, live.send.endpoint, detail)

    def _save_fault_answer(self, answer):
        """Save an endpoint's fault for the caller, unless it would mislead.

        Notes
        -----
        Some statuses tell callers that the request was not run. They are not passed
        on unless the endpoint itself states that.
        """
        if not self.wire.is_promise(answer.status):
            self.fault_answer = answer

    def _drain_short_body(self, live):
        """Read a refusal's body; return whether the connection can be reused."""
        response = live.response
        return (
            response.read_short(MAX_BUFFERED_BODY_BYTES) is not None
            and response.can_keep
            and self.wire.may_reuse_after(response)
        )

    def _build_answer(self, live, result):
        response = live.response
        answer = Answer(response.status, response.reason, response.headers, None)
        answer.body = response.read_short(MAX_BUFFERED_BODY_BYTES)
        if answer.body is not None:
            self.sends.end(live, result, keep=response.can_keep)
            return answer
        answer.live = live
        self.sends.live_sends.remove(live)
        self.ticket.exposed = True
        self.pending_result = result
        return answer

    def stream(self, answer):
        """Yield the body of an answer that was not read whole.

        Raises
        ------
        OSError
            The answer was cut short, so the caller's response must not end cleanly.
        """
        live = answer.live
        if isinstance(live, Hop):
            yield from live.stream()
            return
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
        """Cancel the hedge and all sends in flight, whose answers are not needed."""
        self._cancel_hedge()
        self.sends.end_all(self.sends.live_sends, SendStatus.CANCELLED)


def check_key_again(authenticator, request):
    """Return the Refusal of a request whose key is no longer valid, or None."""
    if authenticator is None:
        return None
    return authenticator.check_again(request)
