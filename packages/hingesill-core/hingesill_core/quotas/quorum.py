"""Evidence that most nodes reach this node and accept it as a coordinator."""

from math import sqrt

from msgspec import Struct, field

from hingesill_core.quotas.nodelists import is_in_part

__all__ = ["PROBE_INTERVAL_SECONDS", "REJECTED_SECONDS", "Quorum"]

# Nodes that are probed before anything is granted, and later in each round.
MAX_SAMPLE = 15
ROUND_SAMPLE = 5
# Nodes that are added to the sample of a doubtful coordinator in each round, and nodes
# of the sample that are probed again as they have not accepted it.
ADDED_SAMPLE = 10
RETRIED_SAMPLE = 10
PROBE_INTERVAL_SECONDS = 0.5
# Positive answers that are needed at least in fleets larger than the sample.
MIN_CONFIRMATIONS = 9
# Standard errors by which the estimated share of positive answers has to exceed one
# half: to stay confirmed, to become so, and to be beyond doubt. To become confirmed, 9
# of 15 suffice; on the side of a partition with a third of the nodes, that has a
# probability of 0.03.
HELD_ERRORS = -1.0
CONFIRMED_ERRORS = 0.75
CERTAIN_ERRORS = 2.0
# Share of positive answers below which larger samples are probed.
CLEAR_SHARE = 0.9
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
    sampled_at : float
        Time of the first probe of the node in the present sample.
    kept, unknown : frozenset of tuple
        Nodes of its list that are not in the list of this node, and which answer or may
        do so.
    asked : frozenset of tuple
        Nodes of which it was asked.
    part, parts : int
        Part of the nodes in which the lists were compared, and number of parts.
    has_answered : bool
        Whether there was an answer.
    """

    at: float
    is_accepted: bool
    sampled_at: float
    kept: frozenset = frozenset()
    unknown: frozenset = frozenset()
    asked: frozenset = frozenset()
    part: int = 0
    parts: int = 1
    has_answered: bool = False

    def is_known(self, earlier):
        """Return whether it is known if the probed node accepts this one instead."""
        if not self.is_accepted:
            return True
        return self.unknown.isdisjoint(earlier) and all(
            node in self.asked or is_in_part(node, self.part, self.parts)
            for node in earlier
        )

    def is_positive(self, earlier):
        """Return whether the probed node accepts this one in place of earlier ones."""
        return self.is_accepted and (self.kept | self.unknown).isdisjoint(earlier)


class PendingProbe(Struct, frozen=True):
    """A probe without an answer.

    Parameters
    ----------
    node : tuple
        Address of the probed node.
    at : float
        Time of the probe, in seconds of the node's clock.
    sampled_at : float
        See `ProbeOutcome`.
    left : tuple of tuple
        Nodes of which it asks.
    part, parts : int
        See `ProbeOutcome`.
    """

    node: tuple
    at: float
    sampled_at: float
    left: tuple = ()
    part: int = 0
    parts: int = 1


class Tally(Struct, frozen=True):
    """Recent outcomes of probes, as an estimate of the share of accepting nodes.

    Parameters
    ----------
    positive, known : int
        Nodes that accept this one, and nodes of which that is known.
    others : int
        Number of the other nodes.
    """

    positive: int
    known: int
    others: int

    @property
    def is_majority(self):
        """Whether most nodes accept this one, which does so itself."""
        return 2 * (self.positive + 1) > self.others + 1

    @property
    def share(self):
        """Share of positive answers."""
        return self.positive / self.known if self.known else 0.0

    def exceeds_half(self, errors):
        """Return whether the share exceeds one half by some standard errors.

        Notes
        -----
        The standard error is that of a sample without replacement from nodes of which
        one half accept: it is zero when all nodes are known.
        """
        if self.others <= MAX_SAMPLE or self.known == self.others:
            return self.is_majority
        if self.positive < MIN_CONFIRMATIONS:
            return False
        unknown = (self.others - self.known) / (self.others - 1)
        return self.share > 0.5 + errors * sqrt(0.25 / self.known * unknown)


class Quorum(Struct):
    """Samples nodes to find out whether this node may grant.

    A coordinator that is cut off keeps its node list, and other nodes get a new
    coordinator. Both would grant the whole rate. While most answers are positive, the
    number of probes doesn't depend on the size of the fleet.

    Nodes that reach this node may also reach the coordinator that it replaces, or one
    that it never knew. So for an organisation, nodes whose lists have one of the
    `earlier` nodes, which come before it there and are not in the list of this node, do
    not confirm it.

    Parameters
    ----------
    rng : random.Random
        Chooses the nodes.
    others : tuple
        Addresses of the other nodes.

    Notes
    -----
    The sample has to be random, or the answers do not tell the share in the fleet. So a
    node belongs to it for `VALID_SECONDS`, whatever it answers and however often it is
    probed. In doubt the sample grows, in fleets of up to some 200 nodes to all of them.
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

    def start_round(self, now, left=(), earlier=frozenset(), parts=1):
        """Return (node, number) of the probes to send now, if any are due.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        left : tuple of tuple
            Addresses of nodes that are not in the node list, of which the probes ask.
        earlier : frozenset of tuple
            Those of them in whose place the node wants to be confirmed.
        parts : int
            Number of parts of the node list, of which each probe has one.
        """
        self._settle(now)
        tally = self._count(now, earlier)
        is_certain = tally.exceeds_half(CERTAIN_ERRORS)
        # A doubtful node repeats its probes: requests may wait for the answers.
        interval = PROBE_INTERVAL_SECONDS if is_certain else PROBE_TIMEOUT_SECONDS
        if not self.others or now - self.probed_at < interval:
            return []
        if self.is_confirmed(now, was_confirmed=self.unconfirmed_since is None):
            self.unconfirmed_since = None
        elif self.unconfirmed_since is None:
            self.unconfirmed_since = now
        self.probed_at = now
        retried = [] if is_certain else self._choose_retried(earlier)
        added = self._choose_added(self._get_size(tally, is_certain))
        # A retried node may be chosen again if few nodes are not in the sample.
        chosen = dict.fromkeys(added, now)
        chosen.update((node, self.outcomes[node].sampled_at) for node in retried)
        probes = []
        for node, sampled_at in chosen.items():
            self.number += 1
            part = self.rng.randrange(parts) if parts > 1 else 0
            probe = PendingProbe(node, now, sampled_at, left, part, parts)
            self.pending[self.number] = probe
            probes.append((node, self.number))
        return probes

    def _get_size(self, tally, is_certain):
        """Return the number of nodes to add to the sample in a round."""
        if not self.outcomes:
            return MAX_SAMPLE
        if not is_certain:
            return ADDED_SAMPLE
        return ROUND_SAMPLE if tally.share >= CLEAR_SHARE else MAX_SAMPLE

    def _choose_added(self, count):
        """Return nodes that are not in the sample, then those longest in it."""
        unknown = [node for node in self.others if node not in self.outcomes]
        if len(unknown) >= count:
            return self.rng.sample(unknown, count)
        known = sorted(self.outcomes, key=lambda node: self.outcomes[node].sampled_at)
        return unknown + known[: count - len(unknown)]

    def _choose_retried(self, earlier):
        """Return the nodes of the sample that have not accepted this one.

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
        negative.sort(key=lambda node: self.outcomes[node].at)
        return negative[:RETRIED_SAMPLE]

    def _settle(self, now):
        """Count probes without an answer as negative, and drop old outcomes."""
        for number, probe in list(self.pending.items()):
            if now - probe.at > PROBE_TIMEOUT_SECONDS:
                del self.pending[number]
                outcome = ProbeOutcome(probe.at, False, probe.sampled_at)
                self.outcomes[probe.node] = outcome
        self.outcomes = {
            node: outcome
            for node, outcome in self.outcomes.items()
            if now - outcome.sampled_at <= VALID_SECONDS
        }

    def record_answer(self, reply, sender, now):
        """Record the QuotaProbeReply of a node.

        Returns
        -------
        ProbeOutcome or None
            None if no probe of that number to that node is open.
        """
        probe = self.pending.get(reply.number)
        if probe is None or probe.node != sender:
            return None
        del self.pending[reply.number]
        kept, unknown = (
            frozenset(probe.left[i] for i in positions if i < len(probe.left))
            for positions in (reply.kept, reply.unknown)
        )
        outcome = ProbeOutcome(
            probe.at,
            reply.is_accepted,
            probe.sampled_at,
            kept,
            unknown | frozenset(reply.unlisted),
            frozenset(probe.left),
            probe.part,
            probe.parts,
            True,
        )
        self.outcomes[sender] = outcome
        if self.is_confirmed(now):
            self.unconfirmed_since = None
        return outcome

    def is_rejected(self, now):
        """Return whether most nodes have not accepted this node for some time."""
        return (
            self.unconfirmed_since is not None
            and now - self.unconfirmed_since > REJECTED_SECONDS
        )

    def is_confirmed(self, now, earlier=frozenset(), was_confirmed=False):
        """Return whether most nodes have accepted this node recently.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        earlier : frozenset of tuple
            Addresses of nodes in whose place they have to accept it.
        was_confirmed : bool
            Whether the node grants already: then it goes on while most nodes may accept
            it, as a sample may be unlucky.
        """
        if not self.others:
            return True
        errors = HELD_ERRORS if was_confirmed else CONFIRMED_ERRORS
        return self._count(now, earlier).exceeds_half(errors)

    def list_recent(self, now):
        """Return (node, ProbeOutcome) of the recent outcomes."""
        return [
            (node, outcome)
            for node, outcome in self.outcomes.items()
            if now - outcome.sampled_at <= VALID_SECONDS
        ]

    def _count(self, now, earlier):
        """Return the Tally of the recent outcomes."""
        known = [
            outcome.is_positive(earlier)
            for _, outcome in self.list_recent(now)
            if outcome.is_known(earlier)
        ]
        return Tally(sum(known), len(known), len(self.others))
