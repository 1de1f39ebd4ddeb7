"""Finding the organisation of a request by its key."""

import re
import time

from msgspec import Struct

from hingesill_core.organisations.organisation import Organisation, digest_key
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal
from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.headers import filter_headers
from hingesill_node.datapath.refusals import is_valid_request_id
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["ANONYMOUS", "Authenticator", "Identity", "read_bearer_key"]

AUTHORIZATION = "authorization"
# Separators of the parts of an Authorization header; each part may be a key.
PART_SEPARATORS = re.compile(r"[\s,]+")
# Parts of an Authorization header that are compared with keys; a longer header counts
# as one that holds a key, as each comparison costs a digest.
MAX_COMPARED_PARTS = 16
# A scheme, spaces and one key; the scheme's case does not matter.
BEARER_PATTERN = re.compile(r"[ \t]*bearer +([!-~]{1,4096})[ \t]*", re.IGNORECASE)
# Log lines per second on requests without a valid key: callers can cause any number.
MAX_LOG_LINES_PER_SECOND = 10


class Identity(Struct, frozen=True):
    """Whose request it is.

    Parameters
    ----------
    organisation : Organisation or None
        None where the caller needs no key.
    key_digest : str
        Digest of the key; empty without one.
    """

    organisation: Organisation | None = None
    key_digest: str = ""


ANONYMOUS = Identity()


class Authenticator:
    """Checks the keys of requests against the configuration in force.

    Parameters
    ----------
    blackboard : Blackboard
        Its configuration is read for each check.
    organisation_header : str
        Header in which endpoints receive the organisation's name.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, blackboard, organisation_header, clock=time.monotonic):
        self.blackboard = blackboard
        self.clock = clock
        name = organisation_header.lower()
        # Endpoints that read headers as variables do not tell "_" from "-".
        self._name_drops = frozenset({name, name.replace("-", "_")})
        self._key_drops = self._name_drops | {AUTHORIZATION}
        self._log_second = 0
        self._log_lines = 0

    def identify(self, pairs, route, request_id):
        """Return the Identity of a request, or the Refusal of one without a valid key.

        Parameters
        ----------
        pairs : iterable of tuple of str
            Names and values of the request's headers.
        route : Route
            The request's route.
        request_id : str
            For the log.
        """
        keys = self.blackboard.configuration.keys
        if keys is None or route.public:
            return ANONYMOUS
        key = read_bearer_key(pairs)
        digest = digest_key(key) if key else ""
        organisation = keys.find(digest)
        if organisation is None:
            cause = "unknown key" if key else "no well-formed key"
            self._log_refusal(cause, route, request_id)
            return Refusal(RefusalReason.UNAUTHENTICATED, Outcome.NOT_RUN)
        return Identity(organisation, digest)

    def list_dropped_headers(self, pairs, route):
        """Return the lower-case names of headers that endpoints must not receive.

        Notes
        -----
        A public route may have an authorization of its own between caller and
        endpoint. Only the key of an organisation is kept from it.
        """
        keys = self.blackboard.configuration.keys
        if keys is None:
            return frozenset()
        if not route.public or holds_known_key(pairs, keys):
            return self._key_drops
        return self._name_drops

    def check_again(self, request):
        """Check the key of a request before a send; return its Refusal or None.

        Notes
        -----
        The configuration may have changed while the request waited: its key may be
        gone, or belong to another organisation; its route may need a key now; and its
        headers may hold a key or a name of an organisation that were none on arrival.
        """
        configuration = self.blackboard.configuration
        keys = configuration.keys
        if keys is request.keys:
            return None
        ticket = request.ticket
        if keys is not None:
            route = self._find_route(configuration, request)
            if not ticket.key_digest and not route.public:
                # A request that needed no key on arrival may have brought one.
                key = read_bearer_key(request.headers)
                ticket.key_digest = digest_key(key) if key else ""
            organisation = keys.find(ticket.key_digest)
            if organisation is None and not route.public:
                self._log_refusal("key not valid now", route, request.request_id)
                outcome = Outcome.UNKNOWN if ticket.exposed else Outcome.NOT_RUN
                return Refusal(RefusalReason.UNAUTHENTICATED, outcome)
            ticket.organisation = organisation
            drops = self.list_dropped_headers(request.headers, route)
            request.headers = HeaderFields(filter_headers(request.headers, drops))
        request.keys = keys
        return None

    def _find_route(self, configuration, request):
        """Return the route of a request in force, or that on its arrival."""
        path = request.target.partition("?")[0]
        found = configuration.routes.find(request.method, path, request.host)
        return found or request.ticket.route

    def _log_refusal(self, cause, route, request_id):
        """Log a refusal, at most `MAX_LOG_LINES_PER_SECOND` times a second."""
        second = int(self.clock())
        if second != self._log_second:
            self._log_second, self._log_lines = second, 0
        self._log_lines += 1
        if self._log_lines <= MAX_LOG_LINES_PER_SECOND:
            log_event(
                Event.REQUEST_UNAUTHENTICATED,
                request=request_id if is_valid_request_id(request_id) else "",
                host=route.host,
                path=route.path,
                cause=cause,
                version=self.blackboard.configuration.revision,
            )


def read_bearer_key(pairs):
    """Return the key in the only Authorization header, empty if there is none.

    Parameters
    ----------
    pairs : iterable of tuple of str
        Names and values of headers. With two Authorization headers, nodes and
        endpoints could take different ones for the caller's.
    """
    values = [value for name, value in pairs if name.lower() == AUTHORIZATION]
    if len(values) != 1:
        return ""
    found = BEARER_PATTERN.fullmatch(values[0])
    return found.group(1) if found else ""


def holds_known_key(pairs, keys):
    """Return whether an Authorization header holds a key of an organisation.

    Parameters
    ----------
    pairs : iterable of tuple of str
        Names and values of headers. A key counts in any of several headers, under any
        scheme and in lists too: endpoints must not receive it.
    keys : KeyTable
        The keys of all organisations.
    """
    for name, value in pairs:
        if name.lower() == AUTHORIZATION:
            parts = PART_SEPARATORS.split(value)
            if len(parts) > MAX_COMPARED_PARTS:
                return True
            if any(keys.find(digest_key(part)) is not None for part in parts):
                return True
    return False
