"""The words of one HTTP dialect: headers, load reports, refusals.

hingesill's own dialect is `OwnFormat`. An adapter to a platform with other
words brings an object with the same methods; nothing else of the data path
knows a header's name.
"""

from msgspec import Struct

from hingesill_core.ratelimits.reportedlimits import NO_LIMIT, ParsedLimit
from hingesill_core.routing.availability import NO_BACKOFF, RequestedBackoff
from hingesill_core.routing.load_report import LoadReport
from hingesill_node.datapath.headers import (
    LAYER_TAKEN,
    OWN_OF_ENDPOINT,
    RETRY_AFTER,
    SET_BY_NODE,
    EndpointHeaders,
    Names,
    read_flag,
    read_limit,
    read_milliseconds,
    read_rest,
)
from hingesill_node.datapath.refusals import build_refusal_answer

__all__ = ["OwnFormat", "Signals"]

REFUSED_STATUS = 503
NOT_RUN = "not-run"


class Signals(Struct, frozen=True):
    """What the head of an endpoint's answer tells of it.

    Parameters
    ----------
    report : LoadReport or None
        Its load.
    not_run : bool
        It says that it did not run the request.
    leaving, cold : bool
        It says that it is leaving, or has just started.
    rest : RequestedBackoff
        For which it wants nothing more from this node.
    warm_in : float or None
        Seconds for which it is cold, 0 if it is warm; None if it did not tell.
    limit : ParsedLimit or None
        Requests that it takes from all nodes; None if another one answered.
    """

    report: LoadReport | None = None
    not_run: bool = False
    leaving: bool = False
    cold: bool = False
    backoff: RequestedBackoff = NO_BACKOFF
    warm_in: float | None = None
    limit: ParsedLimit | None = NO_LIMIT


class OwnFormat:
    """The dialect that hingesill speaks without a platform's adapter."""

    request_drops = SET_BY_NODE
    answer_drops = OWN_OF_ENDPOINT
    endpoint_headers = EndpointHeaders(
        load=Names.RUNNING,
        warmth=Names.COLD,
        limit=Names.LIMIT,
        backoff=RETRY_AFTER,
        leaving=Names.DRAINING,
    )
    layer_environ = "HTTP_HINGESILL_RETRIES"

    def read_request_id(self, environ):
        """Return the id that the caller gave its request, or None."""
        return environ.get("HTTP_HINGESILL_REQUEST_ID")

    def read_time_left(self, environ):
        """Return the caller's remaining seconds, or None if it gave none.

        Raises
        ------
        ValueError
            If what it gave is not understood.
        """
        return read_milliseconds(environ, "HTTP_HINGESILL_REMAINING_MS")

    def may_retry(self, environ):
        """Tell whether no layer nearer to the caller sends again."""
        return environ.get(self.layer_environ) != LAYER_TAKEN

    def build_request_headers(self, request_id, endpoint, remaining):
        """Return the headers that the node adds to a request.

        Parameters
        ----------
        request_id : str
            As the caller gave it, or made by the node.
        endpoint : str
            Identity of the endpoint.
        remaining : float
            Seconds that are left.
        """
        return [
            (Names.REQUEST_ID, request_id),
            (Names.REMAINING, str(max(0, int(remaining * 1000)))),
            (Names.LAYER, LAYER_TAKEN),
        ]

    def build_answer_headers(self, request_id):
        """Return the headers that the node adds to an endpoint's answer."""
        return [(Names.REQUEST_ID, request_id), (Names.OUTCOME, "answered")]

    def is_own_answer(self, response, request_id):
        """Tell whether an answer is not that of another request."""
        return True

    def is_answer_of(self, response, endpoint):
        """Tell whether an answer to a question came from this endpoint."""
        return True

    def is_unsigned(self, response):
        """Tell whether an answer to a question names no endpoint."""
        return True

    def read_signals(self, response, now, own_in_flight):
        """Return the Signals of an answer's head."""
        not_run = (
            response.status == REFUSED_STATUS and response.get(Names.OUTCOME) == NOT_RUN
        )
        names = self.endpoint_headers
        return Signals(
            report=parse_report(response.get(names.load), now, own_in_flight),
            not_run=not_run,
            leaving=read_flag(response, names.leaving),
            cold=read_flag(response, names.warmth),
            backoff=read_rest(response, names.backoff),
            limit=read_limit(response, names.limit),
        )

    def is_promise(self, status):
        """Tell whether callers take a status as a word that nothing was run."""
        return False

    def build_refusal_answer(self, refusal, request_id):
        """Return the RefusalAnswer that a Refusal becomes."""
        return build_refusal_answer(refusal, request_id)


def parse_report(text, now, own_in_flight):
    """Return the load report of a header, or None if there is none to use."""
    if text is None or not text.isdigit() or len(text) > 6:
        return None
    return LoadReport(int(text), now, own_in_flight)
