"""Evidence that most nodes reach this node and accept it as a coordinator."""

from msgspec import Struct, field

__all__ = ["PROBE_INTERVAL_SECONDS", "REJECTED_SECONDS", "Quorum"]

# Nodes that are probed before anything is granted, and later in each round.
MAX_SAMPLE = 15
ROUND_SAMPLE = 5
PROBE_INTERVAL_SECONDS = 0.5
# Positive answers out of a full sample. On the side of a partition with a third of the
# nodes, 9 of 15 are positive with a probability of 0.03; with 8 it is 0.09.
MIN_CONFIRMATIONS = 9
# Time after which a probe counts as unanswered, and for which an answer counts, in
# seconds. A node that is cut off stops granting about 1 s later.
PROBE_TIMEOUT_SECONDS = 0.1
VALID_SECONDS = 2.0
# Time without a confirmation after which other nodes may have another coordinator, in
# seconds; probes that are lost once don't count.
REJECTED_SECONDS = 0.3


class ProbeOutcome(Struct, frozen=True):
    """Outcome of a probe.

    Parameters
    ----------
    at : float
        Time of the probe, in seconds of the node's clock.
    is_accepted : bool
        Whether the probed node answered that its node list has this node.
    kept, unknown : frozenset of tuple
        Nodes of its list that left the list of this node, and which answer or may do
        so.
    """

    at: float
    is_accepted: bool
    kept: frozenset = frozenset()
    unknown: frozenset = frozenset()

    def is_known(self, earlier):
        """Return whether the probed node knows if it accepts this one instead."""
        return not self.is_accepted or self.unknown.isdisjoint(earlier)

    def is_positive(self, earlier):
        """Return whether the probed node accepts this one in place of earlier ones."""
        return self.is_accepted and (self.kept | self.unknown).isdisjoint(earlier)


class Quorum(Struct):
    """Samples nodes to find out whether this node may grant.

    A coordinator that is cut off keeps its node list, and other nodes get a new
    coordinator. Both would grant the whole rate. The number of probes doesn't depend on
    the size of the fleet.

    Nodes that reach this node may also reach the coordinator that it replaces. So for
    an organisation, nodes whose lists have one of the `earlier` nodes, which left the
    list of this node and come before it there, do not confirm it.

    Parameters
    ----------
    rng : random.Random
        Chooses the nodes.
    others : tuple
        Addresses of the other nodes.
    """

    rng: object
    others: tuple = ()
    outcomes: dict = field(default_factory=dict)
    pending: dict = field(default_factory=dict)
    number: int = 0
    probed_at: float = float("-inf")
    unconfirmed_since: float | None = None

    def set_nodes(self, others):
        """Replace the list of the other nodes."""
        self.others = tuple(others)
        known = set(self.others)
        self.outcomes = {n: o for n, o in self.outcomes.items() if n in known}

    def start_round(self, now, left=(), earlier=frozenset()):
        """Return (node, number) of the probes to send now, if any are due.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        left : tuple of tuple
            Addresses of nodes that left the node list, which the probes contain.
        earlier : frozenset of tuple
            Those of them in whose place the node wants to be confirmed.
        """
        self._settle(now)
        is_replacing = self.is_confirmed(now, earlier)
        if not self.others or now - self.probed_at < PROBE_INTERVAL_SECONDS:
            # An unconfirmed node repeats its probes: requests wait for the answers.
            if not self.others or now - self.probed_at < PROBE_TIMEOUT_SECONDS:
                return []
            if is_replacing:
                return []
        is_confirmed = self.is_confirmed(now)
        if is_confirmed:
            self.unconfirmed_since = None
        elif self.unconfirmed_since is None:
            self.unconfirmed_since = now
        if is_replacing:
            size = min(ROUND_SAMPLE, len(self.others))
            chosen = self.rng.sample(self.others, size)
        else:
            chosen = self._choose_unconfirmed(earlier)
        self.probed_at = now
        probes = []
        for node in chosen:
            self.number += 1
            self.pending[self.number] = (node, now, left)
            probes.append((node, self.number))
        return probes

    def _choose_unconfirmed(self, earlier):
        """Return the nodes to probe: those that have not accepted this node first.

        Notes
        -----
        When a fleet starts, the first probes reach few nodes. Their outcomes would
        count for `VALID_SECONDS`, although these nodes have started in the meantime.
        """
        negative = [
            node
            for node, outcome in self.outcomes.items()
            if not outcome.is_positive(earlier)
        ]
        if len(negative) >= MAX_SAMPLE:
            return self.rng.sample(negative, MAX_SAMPLE)
        known = set(negative)
        others = [node for node in self.others if node not in known]
        count = min(MAX_SAMPLE - len(negative), len(others))
        return negative + self.rng.sample(others, count)

    def _settle(self, now):
        """Count probes without an answer as negative, and drop old outcomes."""
        for number, (node, at, _) in list(self.pending.items()):
            if now - at > PROBE_TIMEOUT_SECONDS:
                del self.pending[number]
                self.outcomes[node] = ProbeOutcome(at, False)
        self.outcomes = {
            node: outcome
            for node, outcome in self.outcomes.items()
            if now - outcome.at <= VALID_SECONDS
        }

    def record_answer(self, reply, sender, now):
        """Record the QuotaProbeReply of a node."""
        node, at, left = self.pending.get(reply.number, (None, 0.0, ()))
        if node == sender:
            del self.pending[reply.number]
            kept, unknown = (
                frozenset(left[i] for i in positions if i < len(left))
                for positions in (reply.kept, reply.unknown)
            )
            self.outcomes[node] = ProbeOutcome(at, reply.is_accepted, kept, unknown)
            if self.is_confirmed(now):
                self.unconfirmed_since = None

    def is_rejected(self, now):
        """Return whether most nodes have not accepted this node for some time."""
        return (
            self.unconfirmed_since is not None
            and now - self.unconfirmed_since > REJECTED_SECONDS
        )

    def is_confirmed(self, now, earlier=frozenset()):
        """Return whether most nodes have accepted this node recently.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        earlier : frozenset of tuple
            Addresses of nodes in whose place they have to accept it.
        """
        if not self.others:
            return True
        fresh = [
            outcome.is_positive(earlier)
            for outcome in self.outcomes.values()
            if now - outcome.at <= VALID_SECONDS and outcome.is_known(earlier)
        ]
        sample = min(MAX_SAMPLE, len(self.others))
        # All others of a small fleet are probed, and this node counts as well.
        needed = (sample + 1) // 2
        if len(self.others) > MAX_SAMPLE:
            needed = MIN_CONFIRMATIONS
        yes = sum(fresh)
        return yes >= needed and yes * sample >= needed * len(fresh)
