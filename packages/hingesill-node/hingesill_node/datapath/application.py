"""The WSGI application: a caller's request in, its final answer out."""

import json
import math
import random
import time

from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal, Ticket
from hingesill_node.blackboard import Phase
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.framing import find_framing_fault
from hingesill_node.datapath.headers import (
    LAYER_TAKEN,
    Names,
    filter_request_headers,
    filter_response_headers,
    parse_milliseconds,
)
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Application", "PROTOCOL_KEY"]

PROTOCOL_KEY = "hingesill.protocol"
WHOLE_BODY_BYTES = 64 * 1024
LONGEST_ID = 128
TEXTS = {
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    499: "Caller Gone",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
STATUSES = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.BAD_FRAMING: 400,
    RefusalReason.BAD_HEADER: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CALLER_GONE: 499,
    RefusalReason.ANSWER_LOST: 502,
    RefusalReason.ANSWER_LATE: 504,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.INTERNAL: 500,
}
DEFAULT_STATUS = 503
CLOSING_REASONS = frozenset(
    {
        RefusalReason.BAD_FRAMING,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.CALLER_GONE,
        RefusalReason.INTERNAL,
    }
)


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
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self, blackboard, runners, counters, max_body_bytes, clock=time.monotonic
    ):
        self.blackboard = blackboard
        self.runners = runners
        self.counters = counters
        self.max_body_bytes = max_body_bytes
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
            environ.get("HTTP_HINGESILL_REQUEST_ID")
            or f"{random.getrandbits(128):032x}"
        )
        request = self._build_request(environ, request_id)
        if isinstance(request, Refusal):
            return self._refuse(environ, start_response, request, request_id, "")
        service = request.ticket.route.service
        exchange = Exchange(
            self.runners.get(service), request, self.counters, self.clock
        )
        answer = exchange.run()
        if isinstance(answer, Refusal):
            return self._refuse(environ, start_response, answer, request_id, service)
        self.counters.add("requests", service, Outcome.ANSWERED.value)
        return self._pass_answer(environ, start_response, request, exchange, answer)

    def _build_request(self, environ, request_id):
        """Return the CallerRequest, or the Refusal of one that cannot be taken."""
        if find_framing_fault(environ) is not None:
            return Refusal(RefusalReason.BAD_FRAMING, Outcome.NOT_RUN)
        configuration = self.blackboard.configuration
        path = environ["RAW_PATH_INFO"]
        route = configuration.routes.find(environ["REQUEST_METHOD"], path)
        if route is None:
            return self._explain_no_route(configuration)
        limit = self._read_time_limit(environ, route)
        if limit is None or not is_sound_id(request_id):
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
            may_retry=environ.get("HTTP_HINGESILL_RETRIES") != LAYER_TAKEN,
        )
        return CallerRequest(
            request_id,
            environ["REQUEST_METHOD"],
            f"{path}?{query}" if query else path,
            list(filter_request_headers(environ["headers_raw"])),
            body,
            ticket,
            environ["eventlet.input"].get_socket(),
        )

    def _explain_no_route(self, configuration):
        if configuration.revision == 0:
            reason = RefusalReason.NO_CONFIGURATION
            return Refusal(reason, Outcome.NOT_RUN, retry_after=1.0)
        return Refusal(RefusalReason.NO_ROUTE, Outcome.NOT_RUN)

    def _read_time_limit(self, environ, route):
        """Return the seconds left for the request, or None if it says nonsense."""
        text = environ.get("HTTP_HINGESILL_REMAINING_MS")
        if text is None:
            return route.timeout
        remaining = parse_milliseconds(text)
        return None if remaining is None else min(remaining, route.timeout)

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
        limited = LimitedBody(source, self.max_body_bytes)
        return Body(None, None if length is None else int(length), limited)

    def _read_whole(self, source, length):
        try:
            data = source.read(length)
        except OSError:
            data = b""
        if len(data) < length:
            return Refusal(RefusalReason.CALLER_GONE, Outcome.NOT_RUN)
        return Body(data, length)

    def _pass_answer(self, environ, start_response, request, exchange, answer):
        headers = filter_response_headers(answer.headers)
        headers.append((Names.REQUEST_ID, request.request_id))
        headers.append((Names.OUTCOME, Outcome.ANSWERED.value))
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
        reason = refusal.reason
        self.counters.add("refusals", service, reason.value)
        self.counters.add("requests", service, refusal.outcome.value)
        status = STATUSES.get(reason, DEFAULT_STATUS)
        content = {"outcome": refusal.outcome.value, "reason": reason.value}
        headers = [
            ("Content-Type", "application/json"),
            (Names.OUTCOME, refusal.outcome.value),
            (Names.REASON, reason.value),
        ]
        if is_sound_id(request_id):
            headers.append((Names.REQUEST_ID, request_id))
        if refusal.retry_after is not None:
            milliseconds = math.ceil(refusal.retry_after * 1000)
            content["retry_after_ms"] = milliseconds
            headers.append(("Retry-After", str(math.ceil(refusal.retry_after))))
            headers.append((Names.RETRY_AFTER, str(milliseconds)))
        if reason in CLOSING_REASONS:
            close_after_answer(environ)
        else:
            self._announce_end(environ)
        start_response(f"{status} {TEXTS[status]}", headers)
        return [json.dumps(content).encode() + b"\n"]

    def _answer_fault(self, environ, start_response, error):
        """Answer a request that ended by a fault of the node itself."""
        log_event(
            Event.REQUEST_FAULT, error=repr(error), path=environ.get("RAW_PATH_INFO")
        )
        refusal = Refusal(RefusalReason.INTERNAL, Outcome.UNKNOWN)
        return self._refuse(environ, start_response, refusal, "", "")


def close_after_answer(environ):
    """Have the server end the caller's connection after this answer."""
    environ[PROTOCOL_KEY].close_connection = 1


def is_sound_id(text):
    """Tell whether a request id can be put into a header again."""
    return 0 < len(text) <= LONGEST_ID and text.isascii() and text.isprintable()


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
