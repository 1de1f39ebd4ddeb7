"""hingesill's own HTTP dialect: headers, load reports and refusals.

An adapter to a platform with other headers provides an object with the same
methods as `OwnFormat`; the rest of the data path does not depend on header
names.
"""

from msgspec import Struct

from hingesill_core.ratelimits.reportedlimits import NO_LIMIT, ParsedLimit
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.load_report import LoadReport
from hingesill_node.datapath.headers import (
    RETRIES_TAKEN,
    RETRY_AFTER,
    SET_BY_ENDPOINT,
    SET_BY_NODE,
    EndpointHeaders,
    HeaderNames,
    build_organisation_header,
    read_backoff,
    read_flag,
    read_limit,
    read_milliseconds,
)
from hingesill_node.datapath.refusals import build_refusal_answer

__all__ = ["OwnFormat", "Signals"]

REFUSED_STATUS = 503
NOT_RUN = "not-run"


class Signals(Struct, frozen=True):
    """The state of an endpoint as reported in the head of its response.

    Parameters
    ----------
    report : LoadReport or None
        The load of the endpoint.
    not_run : bool
        Whether the endpoint did not execute the request.
    leaving, cold : bool
        Whether the endpoint is leaving, or has just started.
    backoff : RequestedBackoff
        Time for which this node should send it no requests.
    warm_in : float or None
        Remaining seconds of its warm-up, 0 if it is warm; None if not reported.
    limit : ParsedLimit or None
        Limit of the requests from all nodes; None if the response is from another
        endpoint.
    """

    report: LoadReport | None = None
    not_run: bool = False
    leaving: bool = False
    cold: bool = False
    backoff: RequestedBackoff = NO_BACKOFF
    warm_in: float | None = None
    limit: ParsedLimit | None = NO_LIMIT


class OwnFormat:
    """The dialect that is used without a platform adapter."""

    request_drops = SET_BY_NODE
    answer_drops = SET_BY_ENDPOINT
    endpoint_headers = EndpointHeaders(
        load=HeaderNames.RUNNING,
        warmth=HeaderNames.COLD,
        limit=HeaderNames.LIMIT,
        backoff=RETRY_AFTER,
        leaving=HeaderNames.DRAINING,
    )
    retries_environ = "HTTP_HINGESILL_RETRIES"
    organisation_header = HeaderNames.ORGANISATION

    def read_request_id(self, environ):
        """Return the request id set by the caller, or None."""
        return environ.get("HTTP_HINGESILL_REQUEST_ID")

    def read_time_left(self, environ):
        """Return the remaining seconds set by the caller, or None.

        Raises
        ------
        ValueError
            If the header is invalid.
        """
        return read_milliseconds(environ, "HTTP_HINGESILL_REMAINING_MS")

    def may_retry(self, environ):
        """Return whether the node may retry: no layer nearer to the caller does."""
        return environ.get(self.retries_environ) != RETRIES_TAKEN

    def build_request_headers(self, request_id, endpoint, remaining, organisation=None):
        """Return the headers that the node adds to a request.

        Parameters
        ----------
        request_id : str
            Id of the request, set by the caller or the node.
        endpoint : str
            Identity of the endpoint.
        remaining : float
            Remaining seconds of the request.
        organisation : Organisation or None
            The organisation of its caller.
        """
        return [
            (HeaderNames.REQUEST_ID, request_id),
            (HeaderNames.REMAINING, str(max(0, int(remaining * 1000)))),
            (HeaderNames.RETRIES, RETRIES_TAKEN),
            *build_organisation_header(self.organisation_header, organisation),
        ]

    def build_hop_headers(self, request_id, remaining):
        """Return the headers that replace those dropped from a forwarded request."""
        return [
            (HeaderNames.REQUEST_ID, request_id),
            (HeaderNames.REMAINING, str(max(1, int(remaining * 1000)))),
        ]

    def build_answer_headers(self, request_id):
        """Return the headers that the node adds to an endpoint's response."""
        return [(HeaderNames.REQUEST_ID, request_id), (HeaderNames.OUTCOME, "answered")]

    def is_named(self, request):
        """Return whether endpoints get the id of a request."""
        return True

    def is_own_answer(self, response, request_id, is_first=True):
        """Return whether a response may belong to the request.

        Parameters
        ----------
        response : EndpointResponse
            The response; endpoints may put the id of the request into it.
        request_id : str
            Id of the request.
        is_first : bool
            Whether the connection has carried no request before.
        """
        named = response.get(HeaderNames.REQUEST_ID)
        return is_first or named is None or named == request_id

    def is_load_reply(self, response):
        """Return whether a response may belong to a load query."""
        return response.get(HeaderNames.REQUEST_ID) is None

    def may_reuse_after(self, response):
        """Return whether the connection of a refusal may carry other requests.

        Notes
        -----
        A second copy of a refusal that names no request could be taken for that of
        another request.
        """
        if response.get(HeaderNames.REQUEST_ID) is not None:
            return True
        return response.get(HeaderNames.OUTCOME) is None

    def is_answer_of(self, response, endpoint):
        """Return whether a reply to a load query may be from the endpoint."""
        return True

    def is_unsigned(self, response):
        """Return whether a reply to a load query names no endpoint."""
        return True

    def read_signals(self, response, now, own_in_flight):
        """Return the Signals in the head of a response."""
        not_run = (
            response.status == REFUSED_STATUS
            and response.get(HeaderNames.OUTCOME) == NOT_RUN
        )
        names = self.endpoint_headers
        return Signals(
            report=parse_report(response.get(names.load), now, own_in_flight),
            not_run=not_run,
            leaving=read_flag(response, names.leaving),
            cold=read_flag(response, names.warmth),
            backoff=read_backoff(response, names.backoff),
            limit=read_limit(response, names.limit),
        )

    def is_promise(self, status):
        """Return whether a status tells callers that the request was not executed."""
        return False

    def build_refusal_answer(self, refusal, request_id):
        """Return the RefusalAnswer for a Refusal."""
        return build_refusal_answer(refusal, request_id)


def parse_report(text, now, own_in_flight):
    """Return the LoadReport of a header value, or None if absent or invalid."""
    if text is None or not text.isdigit() or len(text) > 6:
        return None
    return LoadReport(int(text), now, own_in_flight)
