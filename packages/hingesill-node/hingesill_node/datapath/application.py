"""The WSGI application that handles callers' requests."""

import random
import time

from hingesill_core.limits.elapsedtime import ElapsedTimeEstimator
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal, Ticket
from hingesill_node.blackboard import Phase
from hingesill_node.datapath.authentication import Authenticator
from hingesill_node.datapath.bodies import CountedBody, LimitedBody, PrefixedBody
from hingesill_node.datapath.exchange import Exchange
from hingesill_node.datapath.forwardentry import FORWARD_KEY
from hingesill_node.datapath.framing import find_framing_fault
from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.headers import (
    FORWARD_DROPS,
    HOP_BY_HOP,
    ForwardHeaders,
    filter_headers,
)
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.datapath.refusals import build_fault_refusal, is_valid_request_id
from hingesill_node.datapath.requests import RequestFault
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.quotas.requesttokens import NO_TOKENS, RequestTokens
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Application", "PROTOCOL_KEY"]

PROTOCOL_KEY = "hingesill.protocol"
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# Characters of the host and target that are written to the log.
MAX_LOGGED_TARGET_LENGTH = 200


class Application:
    """WSGI application for all requests to the callers' address of the node.

    Parameters
    ----------
    blackboard : Blackboard
        Configuration, phase and number of requests in flight of the node.
    runners : RunnerTable
        The runners of the services.
    counters : Counters
        Counts the outcomes and reasons of requests.
    max_body_bytes : int
        Maximum size of a request body.
    wire : OwnFormat or None
        The HTTP dialect; `OwnFormat` if None.
    clock : callable
        Returns monotonic seconds.
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
        self.request_drops = HOP_BY_HOP | FORWARD_DROPS | self.wire.request_drops
        self.answer_drops = HOP_BY_HOP | FORWARD_DROPS | self.wire.answer_drops
        self.authenticator = Authenticator(
            blackboard, self.wire.organisation_header, clock
        )
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
            return self._answer_internal_error(environ, start_response, error)
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
        environ[PROTOCOL_KEY].begin_exchange()
        try:
            return self._exchange(environ, start_response, request)
        finally:
            request.tokens.close()

    def _exchange(self, environ, start_response, request):
        """Send an accepted request to endpoints and respond to it."""
        request_id = request.request_id
        service = self._choose_service(request)
        refusal = self.runners.guard.find_refusal(request)
        if refusal is not None:
            return self._refuse(environ, start_response, refusal, request_id, service)
        exchange = Exchange(
            self.runners.get(service),
            request,
            self.counters,
            self.wire,
            self.clock,
            self.authenticator,
        )
        answer = exchange.run()
        if request.body.fault is not None:
            log_body_fault(environ, request_id, request.body.fault)
        self._log_request(request, exchange, answer)
        if isinstance(answer, Refusal):
            return self._refuse(environ, start_response, answer, request_id, service)
        if answer.refusal is not None:
            self.elapsed.record_unserved(self.clock())
        outcome = answer.refusal or Outcome.ANSWERED
        self.counters.add("requests", service, outcome.value)
        return self._forward_answer(environ, start_response, request, exchange, answer)

    def _choose_service(self, request):
        """Return the service of a request, for a forwarded one the chosen one.

        Notes
        -----
        A second random choice would change the shares of a split route.
        """
        route = request.ticket.route
        forwarded = request.forwarded
        if forwarded is not None and forwarded.service in route.list_services():
            return forwarded.service
        return route.choose_service(self.rng)

    def _log_request(self, request, exchange, answer):
        """Log the outcome of a request and the steps that led to it."""
        ticket, service, timeline = request.ticket, exchange.service, exchange.timeline
        seconds = self.clock() - ticket.arrived
        refused = isinstance(answer, Refusal)
        served = not refused and answer.refusal is None
        target = ticket.route.target or ticket.route.timeout
        if served:
            self.counters.latencies[service].record(seconds)
        ordinary = served and ticket.sends <= 1 and seconds <= target
        log_event(
            Event.REQUEST_ANSWERED if ordinary else Event.REQUEST_IN_TROUBLE,
            request=request.request_id,
            service=service,
            **describe_organisation(ticket),
            **describe_forwarding_node(request),
            version=self.blackboard.configuration.revision,
            ms=round(seconds * 1000),
            left_ms=round((ticket.deadline - ticket.arrived) * 1000),
            spent_ms=round(ticket.elapsed * 1000),
            outcome=answer.outcome.value if refused else answer.status,
            reason=answer.reason.value if refused else "",
            sends=ticket.sends,
            steps=[str(step) for step in timeline.steps],
            steps_left_out=timeline.left_out,
            **describe_lost_request(request, timeline),
            **({} if ordinary else describe_unanswered(exchange)),
        )

    def _build_request(self, environ, request_id):
        """Return the CallerRequest, or a Refusal if the request is not acceptable."""
        if find_framing_fault(environ["headers_raw"]) is not None:
            return Refusal(RefusalReason.BAD_FRAMING, Outcome.NOT_RUN)
        configuration = self.blackboard.configuration
        path = environ["RAW_PATH_INFO"]
        host = environ.get("HTTP_HOST", "")
        route = configuration.routes.find(environ["REQUEST_METHOD"], path, host)
        if route is None:
            return self._refuse_unrouted(configuration)
        fields = environ["headers_raw"]
        identity = self.authenticator.identify(fields, route, request_id)
        if isinstance(identity, Refusal):
            return identity
        try:
            remaining = self.wire.read_time_left(environ)
        except ValueError:
            return Refusal(RefusalReason.BAD_HEADER, Outcome.NOT_RUN)
        limit = route.timeout if remaining is None else min(remaining, route.timeout)
        if not is_valid_request_id(request_id):
            return Refusal(RefusalReason.BAD_HEADER, Outcome.NOT_RUN)
        if limit == 0:
            return Refusal(RefusalReason.DEADLINE_PASSED, Outcome.NOT_RUN)
        # The configuration may change while the body is read.
        headers = self._filter_headers(fields, route)
        forwarded = environ.get(FORWARD_KEY)
        arrived = self.clock()
        has_token = forwarded is not None and forwarded.has_token
        tokens = self._get_tokens(identity.organisation, request_id, has_token)
        if isinstance(tokens, Refusal):
            return tokens
        body = None
        try:
            body = self._read_body(environ)
        except RequestFault as fault:
            log_body_fault(environ, request_id, fault)
            return build_fault_refusal(fault)
        finally:
            if not isinstance(body, Body):
                tokens.close()
        if isinstance(body, Refusal):
            return body
        query = environ.get("QUERY_STRING")
        ticket = Ticket(
            route,
            arrived,
            arrived + limit,
            may_retry=self.wire.may_retry(environ),
            elapsed=(
                0.0
                if remaining is None
                else self.elapsed.estimate(route, remaining, arrived)
            ),
            organisation=identity.organisation,
            key_digest=identity.key_digest,
            is_forwarded=forwarded is not None,
            sends=0 if forwarded is None else forwarded.sends,
        )
        return CallerRequest(
            request_id,
            environ["REQUEST_METHOD"],
            f"{path}?{query}" if query else path,
            headers,
            body,
            ticket,
            environ["eventlet.input"].get_socket(),
            host,
            environ.get("REMOTE_ADDR", ""),
            configuration.keys,
            tokens,
            fields,
            forwarded,
        )

    def _filter_headers(self, fields, route):
        """Return the HeaderFields of a request that its endpoint receives."""
        dropped = self.authenticator.list_dropped_headers(fields, route)
        drops = self.request_drops | dropped if dropped else self.request_drops
        return HeaderFields(filter_headers(fields, drops))

    def _get_tokens(self, organisation, request_id, has_token):
        """Return the tokens of a request, or the Refusal of one beyond its quota."""
        if organisation is None:
            return NO_TOKENS
        tokens = RequestTokens(self.runners.quotas, request_id)
        if has_token:
            tokens.borrow(organisation)
        return tokens.admit(organisation) or tokens

    def _refuse_unrouted(self, configuration):
        if configuration.revision == 0:
            reason = RefusalReason.NO_CONFIGURATION
            return Refusal(reason, Outcome.NOT_RUN, retry_after=1.0)
        return Refusal(RefusalReason.NO_ROUTE, Outcome.NOT_RUN)

    def _read_body(self, environ):
        """Return the Body, or a Refusal if it is too long; may raise RequestFault."""
        source = environ["wsgi.input"]
        length = environ.get("CONTENT_LENGTH")
        if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
            return Body(b"", 0)
        if length is not None and int(length) > self.max_body_bytes:
            return Refusal(RefusalReason.BODY_TOO_LARGE, Outcome.NOT_RUN)
        if length is not None and int(length) <= MAX_BUFFERED_BODY_BYTES:
            return Body(source.read(int(length)), int(length))
        return self._read_prefix(source, None if length is None else int(length))

    def _read_prefix(self, source, length):
        """Read the beginning of a long or chunked body and return the Body.

        Notes
        -----
        The fingerprints of a request include the beginning of its body, so it is read
        before the request is sent. A chunked body that fits into the buffer is kept
        whole and can be sent again.
        """
        limited = LimitedBody(source, self.max_body_bytes)
        try:
            beginning = limited.read(MAX_BUFFERED_BODY_BYTES)
        except RequestFault:
            raise
        except OSError:
            return Refusal(RefusalReason.CALLER_GONE, Outcome.NOT_RUN)
        if length is None and len(beginning) < MAX_BUFFERED_BODY_BYTES:
            return Body(beginning, len(beginning))
        return Body(None, length, PrefixedBody(beginning, limited), beginning)

    def _forward_answer(self, environ, start_response, request, exchange, answer):
        headers = list(filter_headers(answer.headers, self.answer_drops))
        headers.extend(self.wire.build_answer_headers(request.request_id))
        self._close_if_stopping(environ)
        start_response(f"{answer.status} {answer.reason}", headers)
        if answer.body is not None:
            return [answer.body]
        environ["eventlet.minimum_write_chunk_size"] = 1
        return stream_answer(environ[PROTOCOL_KEY], exchange, answer)

    def _close_if_stopping(self, environ):
        """Close the caller's connection after its last response if the node stops."""
        is_stopping = self.blackboard.phase is Phase.STOPPING
        if is_stopping and not environ[PROTOCOL_KEY].has_next_input():
            close_after_answer(environ)

    def _refuse(self, environ, start_response, refusal, request_id, service):
        """Respond to a request that is refused by the node."""
        self.counters.add("refusals", service, refusal.reason.value)
        self.counters.add("requests", service, refusal.outcome.value)
        if service and refusal.reason is not RefusalReason.QUARANTINED:
            self.elapsed.record_unserved(self.clock())
        answer = self.wire.build_refusal_answer(refusal, request_id)
        if FORWARD_KEY in environ:
            result = f"{refusal.outcome.value} {refusal.reason.value}"
            answer.headers.append((ForwardHeaders.RESULT, result))
            answer.headers.extend(self._name_nodes(refusal, service))
        if answer.closes:
            close_after_answer(environ)
        else:
            self._close_if_stopping(environ)
        start_response(answer.status, answer.headers)
        # The server sends the body of a HEAD response too; on a connection that stays
        # open the caller would read it as the next response.
        return [b"" if environ.get("REQUEST_METHOD") == "HEAD" else answer.body]

    def _name_nodes(self, refusal, service):
        """Return the header with nodes that can serve what this one cannot, if any."""
        if refusal.reason is not RefusalReason.ENDPOINTS_UNREACHABLE:
            return []
        peers = self.runners.forwarder.peers
        names = peers.list_known(service, self.clock())
        return [(ForwardHeaders.NAMED, ",".join(names))] if names else []

    def refuse_unread(self, environ, start_response, reason):
        """Refuse a forwarded request whose body is not read; close its connection."""
        close_after_answer(environ)
        refusal = Refusal(reason, Outcome.NOT_RUN)
        return self._refuse(environ, start_response, refusal, "", "")

    def _answer_internal_error(self, environ, start_response, error):
        """Log an internal error and respond to the request with a refusal."""
        log_event(
            Event.REQUEST_FAULT, error=repr(error), path=environ.get("RAW_PATH_INFO")
        )
        refusal = Refusal(RefusalReason.INTERNAL, Outcome.UNKNOWN)
        return self._refuse(environ, start_response, refusal, "", "")


def log_body_fault(environ, request_id, fault):
    """Log a request whose body is incomplete or malformed."""
    caller = environ.get("REMOTE_ADDR", "")
    environ[PROTOCOL_KEY].fault_log.write("body", fault, caller, request=request_id)


def describe_organisation(ticket):
    """Return the log field with the organisation of a request, if it has one."""
    if ticket.organisation is None:
        return {}
    return {"organisation": ticket.organisation.name}


def describe_forwarding_node(request):
    """Return the log field with the node that forwarded a request, if one did."""
    return {} if request.forwarded is None else {"for_node": request.forwarded.node}


def describe_lost_request(request, timeline):
    """Return log fields to match a request that lost a response in other log lines."""
    if not timeline.has_lost:
        return {}
    return {
        "fingerprints": request.fingerprints,
        "caller": request.caller,
        "target": f"{request.host}{request.target}"[:MAX_LOGGED_TARGET_LENGTH],
    }


def describe_unanswered(exchange):
    """Return the log field on contacts of the service without any answer, if any."""
    reachability = exchange.runner.dispatcher.reachability
    evidence = reachability.describe(exchange.clock())
    return {"unanswered": evidence} if evidence else {}


def stream_answer(protocol, exchange, answer):
    """Yield the body of an answer; abort the response if it ends early."""
    try:
        yield from exchange.stream(answer)
    except OSError:
        protocol.abort()
        raise


def close_after_answer(environ):
    """Make the server close the caller's connection after this response."""
    environ[PROTOCOL_KEY].close_connection = 1
