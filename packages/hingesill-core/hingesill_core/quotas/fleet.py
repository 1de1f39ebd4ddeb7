"""The quotas of all organisations at one node, and their exchange with other nodes."""

from msgspec import Struct

from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus, QuotaTolerance

__all__ = ["FleetQuotas", "MAX_WAIT_SECONDS", "QuotaChange", "QuotaUsage"]

# Time for which a request waits for a token, in seconds. A request beyond its quota has
# to be refused within 20 ms.
MAX_WAIT_SECONDS = 0.015


class QuotaChange(Struct, frozen=True):
    """A change that operators have to know of.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    kind : str
        ``over-quota``, ``within-quota``, ``coordinator-lost`` or ``coordinator-found``.
    coordinator : tuple or None
        IP number and port of the organisation's coordinator.
    """

    organisation: str
    kind: str
    coordinator: tuple | None = None


class QuotaUsage(Struct, frozen=True):
    """Usage of one organisation at this node.

    Parameters
    ----------
    used, refused : int
        Requests admitted and refused since the node started.
    waiting : int
        Requests that wait for a token now.
    coordinator : tuple or None
        IP number and port of the coordinator.
    is_over : bool
        Whether the organisation is over its quota, as far as this node knows.
    """

    used: int
    refused: int
    waiting: int
    coordinator: tuple | None
    is_over: bool


class FleetQuotas:
    """The quotas of all organisations at one node.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    tolerance : QuotaTolerance
        How far the arrivals of all nodes together may exceed a quota.
    observe : callable
        Called with each QuotaChange.

    Attributes
    ----------
    send : callable
        Sends a message, given the address of a node and the message.
    refresh_nodes : callable
        Calls `set_nodes` with the current nodes.

    Notes
    -----
    All times are seconds of one clock of the node, which continues while the node is
    suspended.
    """

    def __init__(self, rng, tolerance=QuotaTolerance(), observe=lambda change: None):
        self.rng = rng
        self.tolerance = tolerance
        self.observe = observe
        self.send = lambda node, message: None
        self.refresh_nodes = lambda: None

    def configure(self, organisations, now):
        """Set the organisations: a dict of Organisation by name, or None."""

    def set_nodes(self, own, nodes, now):
        """Set the address of this node and those of the other nodes."""

    def acquire(self, name, now):
        """Return the QuotaDecision on one arrival at an endpoint.

        Notes
        -----
        After ``WAITING``, the caller keeps the request and gets its decision from
        `resume`, in the order of the calls.
        """
        return QuotaDecision(QuotaStatus.ADMITTED)

    def resume(self, name, now):
        """Return the decisions on the requests that have waited longest.

        Returns
        -------
        list of QuotaDecision
            ``ADMITTED`` or ``REFUSED``, in the order of `acquire`. Requests without a
            decision in the list wait further.

        Notes
        -----
        To be called when `handle_message` returned the organisation's name, and every
        5 ms while requests of the organisation wait: lost reports are repeated, and a
        request is decided `MAX_WAIT_SECONDS` after its arrival at the latest.
        """
        return []

    def give_back(self, name, now):
        """Return a token that no endpoint used."""

    def handle_message(self, message, sender, now):
        """Handle a message of another node.

        Returns
        -------
        str or None
            Organisation whose waiting requests may have decisions now.
        """
        return None

    def run_round(self, now):
        """Renew leases and delete unused state.

        Notes
        -----
        To be called every 0.1 s unless `is_idle`, and every second otherwise: a longer
        gap between two calls is taken for a suspension of the node, after which the
        node begins anew as a coordinator.
        """

    def is_idle(self, now):
        """Return whether there is nothing to do in rounds of 0.1 s."""
        return True

    @property
    def usage(self):
        """QuotaUsage by name of the organisations that were used recently."""
        return {}
