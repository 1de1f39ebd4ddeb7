"""The WSGI application: a caller's request in, its final answer out."""

import random
import time

from hingesill_core.limits.elapsedtime import ElapsedTimeEstimator
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal, Ticket
from hingesill_node.blackboard import Phase
from hingesill_node.datapath.bodies import BegunBody, CountedBody, LimitedBody
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.framing import find_framing_fault
from hingesill_node.datapath.headers import (
    HOP_BY_HOP,
    filter_headers,
)
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.datapath.refusals import is_sound_id
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Application", "PROTOCOL_KEY"]

PROTOCOL_KEY = "hingesill.protocol"
WHOLE_BODY_BYTES = 64 * 1024
# Characters of a request's host and target in its line in the log.
LONGEST_TARGET = 200


class Application:
    """Answers every request that reaches the node's address.

    Parameters
    ----------
    blackboard : Blackboard
        Configuration and phase of the node.
    runners : RunnerTable
        The services.
    counters : Counters
        Takes each outcome and reason.
    max_body_bytes : int
        Longest body that is passed on.
    wire : OwnFormat or None
        The dialect; hingesill's own if None.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        blackboard,
        runners,
        counters,
        max_body_bytes,
        wire=None,
        clock=time.monotonic,
    ):
        self.blackboard = blackboard
        self.runners = runners
        self.counters = counters
        self.max_body_bytes = max_body_bytes
        self.wire = wire or OwnFormat()
        self.request_drops = HOP_BY_HOP | self.wire.request_drops
        self.answer_drops = HOP_BY_HOP | self.wire.answer_drops
        self.rng = random.Random()
        self.elapsed = ElapsedTimeEstimator()
        self.clock = clock

    def __call__(self, environ, start_response):
        """Handle one request; see PEP 3333."""
        self.blackboard.in_flight += 1
        try:
            body = self._handle(environ, start_response)
        except Exception as error:
            self.blackboard.in_flight -= 1
            return self._answer_fault(environ, start_response, error)
        if isinstance(body, list):
            self.blackboard.in_flight -= 1
            return body
        return CountedBody(body, self.blackboard)

    def _handle(self, environ, start_response):
        request_id = (
            self.wire.read_request_id(environ) or f"{random.getrandbits(128):032x}"
        )
        request = self._build_request(environ, request_id)
        if isinstance(request, Refusal):
            return self._refuse(environ, start_response, request, request_id, "")
        service = request.ticket.route.choose_service(self.rng)
        refusal = self.runners.guard.find_refusal(request)
        if refusal is not None:
            return self._refuse(environ, start_response, refusal, request_id, service)
        exchange = Exchange(
            self.runners.get(service), request, self.counters, self.wire, self.clock
        )
        answer = exchange.run()
        self._log_end(request, service, exchange.story, answer)
        if isinstance(answer, Refusal):
            return self._refuse(environ, start_response, answer, request_id, service)
        self.counters.add("requests", service, Outcome.ANSWERED.value)
        return self._pass_answer(environ, start_response, request, exchange, answer)

    def _log_end(self, request, service, story, answer):
        """Write the request's line: what was decided, by what, and how it ended."""
        ticket = request.ticket
        seconds = self.clock() - ticket.arrived
        refused = isinstance(answer, Refusal)
        target = ticket.route.target or ticket.route.timeout
        if not refused:
            self.counters.latencies[service].record(seconds)
        plain = not refused and ticket.sends <= 1 and seconds <= target
        log_event(
            Event.REQUEST_ANSWERED if plain else Event.REQUEST_IN_TROUBLE,
            request=request.request_id,
            service=service,
            version=self.blackboard.configuration.revision,
            ms=round(seconds * 1000),
            left_ms=round((ticket.deadline - ticket.arrived) * 1000),
            spent_ms=round(ticket.elapsed * 1000),
            outcome=answer.outcome.value if refused else answer.status,
            reason=answer.reason.value if refused else "",
            sends=ticket.sends,
            steps=[str(step) for step in story.steps],
            steps_left_out=story.left_out,
            **describe_lost(request, story),
        )

    def _build_request(self, environ, request_id):
        """Return the CallerRequest, or the Refusal of one that cannot be taken."""
        if find_framing_fault(environ) is not None:
            return Refusal(RefusalReason.BAD_FRAMING, Outcome.NOT_RUN)
        configuration = self.blackboard.configuration
        path = environ["RAW_PATH_INFO"]
        host = environ.get("HTTP_HOST", "")
        route = configuration.routes.find(environ["REQUEST_METHOD"], path, host)
        if route is None:
            return self._explain_no_route(configuration)
        try:
            left = self.wire.read_time_left(environ)
        except ValueError:
            return Refusal(RefusalReason.BAD_HEADER, Outcome.NOT_RUN)
        limit = route.timeout if left is None else min(left, route.timeout)
        if not is_sound_id(request_id):
            return Refusal(RefusalReason.BAD_HEADER, Outcome.NOT_RUN)
        if limit == 0:
            return Refusal(RefusalReason.DEADLINE_PASSED, Outcome.NOT_RUN)
        arrived = self.clock()
        body = self._read_body(environ)
        if isinstance(body, Refusal):
            return body
        query = environ.get("QUERY_STRING")
        ticket = Ticket(
            route,
            arrived,
            arrived + limit,
            may_retry=self.wire.may_retry(environ),
            elapsed=(
                0.0 if left is None else self.elapsed.estimate(route, left, arrived)
            ),
        )
        return CallerRequest(
            request_id,
            environ["REQUEST_METHOD"],
            f"{path}?{query}" if query else path,
            list(filter_headers(environ["headers_raw"], self.request_drops)),
            body,
            ticket,
            environ["eventlet.input"].get_socket(),
            host,
            environ.get("REMOTE_ADDR", ""),
        )

    def _explain_no_route(self, configuration):
        if configuration.revision == 0:
            reason = RefusalReason.NO_CONFIGURATION
            return Refusal(reason, Outcome.NOT_RUN, retry_after=1.0)
        return Refusal(RefusalReason.NO_ROUTE, Outcome.NOT_RUN)

    def _read_body(self, environ):
        """Return the Body, or the Refusal of one that is too long or ends early."""
        source = environ["wsgi.input"]
        length = environ.get("CONTENT_LENGTH")
        if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
            return Body(b"", 0)
        if length is not None and int(length) > self.max_body_bytes:
            return Refusal(RefusalReason.BODY_TOO_LARGE, Outcome.NOT_RUN)
        if length is not None and int(length) <= WHOLE_BODY_BYTES:
            return self._read_whole(source, int(length))
        return self._read_beginning(source, None if length is None else int(length))

    def _read_beginning(self, source, length):
        """Return the Body of which only the beginning is read, unless it is all.

        Notes
        -----
        By its beginning a request is told from others of the same caller and target,
        before it is sent. What came in chunks and is short can be sent again.
        """
        limited = LimitedBody(source, self.max_body_bytes)
        try:
            beginning = limited.read(WHOLE_BODY_BYTES)
        except (OSError, ValueError):
            return Refusal(RefusalReason.CALLER_GONE, Outcome.NOT_RUN)
        if length is None and len(beginning) < WHOLE_BODY_BYTES:
            return Body(beginning, len(beginning))
        return Body(None, length, BegunBody(beginning, limited), beginning)

    def _read_whole(self, source, length):
        try:
            data = source.read(length)
        except OSError:
            data = b""
        if len(data) < length:
            return Refusal(RefusalReason.CALLER_GONE, Outcome.NOT_RUN)
        return Body(data, length)

    def _pass_answer(self, environ, start_response, request, exchange, answer):
        headers = list(filter_headers(answer.headers, self.answer_drops))
        headers.extend(self.wire.build_answer_headers(request.request_id))
        self._announce_end(environ)
        start_response(f"{answer.status} {answer.reason}", headers)
        if answer.body is not None:
            return [answer.body]
        environ["eventlet.minimum_write_chunk_size"] = 1
        return exchange.stream(answer)

    def _announce_end(self, environ):
        """Ask the caller for a new connection while the node is stopping."""
        if self.blackboard.phase is Phase.STOPPING:
            close_after_answer(environ)

    def _refuse(self, environ, start_response, refusal, request_id, service):
        """Give the final answer of a request that got none from an endpoint."""
        self.counters.add("refusals", service, refusal.reason.value)
        self.counters.add("requests", service, refusal.outcome.value)
        if service and refusal.reason is not RefusalReason.QUARANTINED:
            self.elapsed.record_unserved(self.clock())
        answer = self.wire.build_refusal_answer(refusal, request_id)
        if answer.closes:
            close_after_answer(environ)
        else:
            self._announce_end(environ)
        start_response(answer.status, answer.headers)
        return [answer.body]

    def _answer_fault(self, environ, start_response, error):
        """Answer a request that ended by a fault of the node itself."""
        log_event(
            Event.REQUEST_FAULT, error=repr(error), path=environ.get("RAW_PATH_INFO")
        )
        refusal = Refusal(RefusalReason.INTERNAL, Outcome.UNKNOWN)
        return self._refuse(environ, start_response, refusal, "", "")


def describe_lost(request, story):
    """Return by what a request that lost an answer is found again in other lines."""
    if not story.has_lost:
        return {}
    return {
        "fingerprints": request.fingerprints,
        "caller": request.caller,
        "target": f"{request.host}{request.target}"[:LONGEST_TARGET],
    }


def close_after_answer(environ):
    """Have the server end the caller's connection after this answer."""
    environ[PROTOCOL_KEY].close_connection = 1
