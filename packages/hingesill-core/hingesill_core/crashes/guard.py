"""One node's guard of endpoints against requests under which they end."""

from msgspec import Struct

from hingesill_core.crashes.attribution import (
    MIN_CRASHES,
    find_basis,
    is_certain,
)
from hingesill_core.crashes.gossip import Gossip
from hingesill_core.crashes.history import CrashHistory, EndpointCrash
from hingesill_core.crashes.messages import GossipItem, GossipKind
from hingesill_core.crashes.quarantine import Quarantine, QuarantinedRequest

__all__ = ["CrashGuard", "SOURCE_STORE", "QuarantineStarted", "QuarantineEnded"]

# How often what is too old is looked for.
FORGET_SECONDS = 10.0
# Who told of a hold.
SOURCE_STORE = "store"
SOURCE_NODE = "node"
SOURCE_CRASHES = "endings"
# In gossip a hold goes before any number of endings.
HELD_RANK = 100


class QuarantineStarted(Struct, frozen=True):
    """A request is held back from now on."""

    fingerprint: str
    request: QuarantinedRequest
    endings: tuple
    source: str


class QuarantineEnded(Struct, frozen=True):
    """A request that was held back may be sent again."""

    fingerprint: str
    reason: str


class CrashGuard:
    """Remembers, over tries and nodes, under which requests endpoints ended.

    Each try has an id of its own and comes to any node, so neither a try nor a node can
    know that a request ends each endpoint that begins to run it. Nodes tell each other
    of each ending; a request with three is held back by all of them, for a moment or,
    once nothing else explains them, for long. Without that it would end endpoint after
    endpoint as long as its caller comes again.

    Parameters
    ----------
    rng : random.Random
        For gossip.
    observe : callable
        Called with each QuarantineStarted and QuarantineEnded.

    Notes
    -----
    All times are seconds of one clock of the node, which goes on while it is suspended.
    """

    def __init__(self, rng, observe=lambda change: None):
        self.observe = observe
        self.history = CrashHistory()
        self.quarantine = Quarantine()
        self.gossip = Gossip(rng)
        self.nodes = 1
        self._forget_at = 0.0

    @property
    def is_idle(self):
        """Whether nothing at all is known against any request."""
        return not self.history and not self.quarantine

    def find_quarantine(self, fingerprints, now):
        """Return the QuarantinedRequest of a request that must not be sent, or None.

        Parameters
        ----------
        fingerprints : tuple of str
            Of the request, the narrowest first.
        now : float
            The time.
        """
        for fingerprint in fingerprints:
            held = self.quarantine.get(fingerprint)
            if held is not None and held.is_active(now):
                return held
        return None

    def is_suspect(self, fingerprints):
        """Tell whether an endpoint ended under a request and none answered it since."""
        return any(self.history.get_crashes(name) for name in fingerprints)

    def is_cleared(self, fingerprint):
        """Tell whether a request that others may hold back was answered meanwhile."""
        was_answered = self.history.get_answered(fingerprint) > float("-inf")
        return was_answered and self.quarantine.get(fingerprint) is None

    def may_send_again(self, fingerprints, now, pending):
        """Tell whether a try that got no answer may be sent to another endpoint.

        Parameters
        ----------
        fingerprints : tuple of str
            Of the request.
        now : float
            The time.
        pending : int
            Endpoints that may have ended under it, which is being looked at.
        """
        if self.find_quarantine(fingerprints, now) is not None:
            return False
        if pending and any(
            self.quarantine.is_on_probation(name, now) for name in fingerprints
        ):
            return False
        known = max(len(self.history.get_crashes(name)) for name in fingerprints)
        return known + pending < MIN_CRASHES

    def record_crash(self, fingerprints, endpoint, now):
        """Take that an endpoint ended while it had a request of this node."""
        self._take_ending(fingerprints, EndpointCrash(endpoint, now), now)

    def record_answer(self, fingerprints, now):
        """Take that an endpoint answered a request of this node."""
        known = tuple(
            name
            for name in fingerprints
            if name in self.history or self.quarantine.get(name) is not None
        )
        if known:
            self._take_answer(known, now)

    def apply_item(self, told, now):
        """Take what another node told."""
        at = now - told.age
        if told.kind is GossipKind.ENDED:
            self._take_ending(told.fingerprints, EndpointCrash(told.endpoint, at), now)
        elif told.kind is GossipKind.ANSWERED:
            self._take_answer(told.fingerprints, at)
        else:
            request = QuarantinedRequest(at, now + told.left, told.times)
            for fingerprint in told.fingerprints:
                self.adopt(fingerprint, request, SOURCE_NODE)

    def adopt(self, fingerprint, request, source):
        """Hold a request back for long, as another node does.

        Parameters
        ----------
        fingerprint : str
            Of the request.
        request : QuarantinedRequest
            For how long; times of this node's clock.
        source : str
            Who told; what comes from the store is not passed on, as all read it.
        """
        known = self.quarantine.get(fingerprint)
        if known is not None and known.times >= request.times:
            return
        if request.since <= self.history.get_answered(fingerprint):
            return
        self.quarantine.adopt(fingerprint, request)
        self._begin_hold(fingerprint, request, source)

    def list_items(self, now):
        """Return all that is known, for a node that has just started."""
        held = self.quarantine.list_long(now)
        told = [build_held(name, request, now) for name, request in held.items()]
        told += [
            GossipItem(GossipKind.ENDED, (name,), now - ending.at, ending.endpoint)
            for name, ending in self.history.list_crashes()
            if name not in held
        ]
        return told

    def start_round(self, peers, now):
        """Return whom to tell now, and the Told for them.

        Notes
        -----
        News wait as keys; their ages are those of the moment at which they are sent.
        """
        chosen, keys = self.gossip.start_round(peers)
        told = (self._build_told(key, now) for key in keys)
        return chosen, [piece for piece in told if piece is not None]

    def _build_told(self, key, now):
        kind, fingerprints, endpoint, at = key
        if kind is GossipKind.HELD:
            held = self.find_quarantine(fingerprints, now)
            if held is None or not held.times:
                return None
            return build_held(fingerprints[0], held, now)
        return GossipItem(kind, fingerprints, now - at, endpoint)

    def _take_ending(self, fingerprints, ending, now):
        news = [
            name for name in fingerprints if self.history.record_crash(name, ending)
        ]
        if not news:
            return
        counts = [len(self.history.get_crashes(name)) for name in fingerprints]
        key = (GossipKind.ENDED, fingerprints, ending.endpoint, ending.at)
        self.gossip.add(key, self.nodes, rank=max(counts))
        narrower = 0
        for fingerprint, count in zip(fingerprints, counts):
            # A wider one says no more if all that ended did so under the narrower.
            if count > narrower:
                narrower = count
                self._judge(fingerprint, now)

    def _judge(self, fingerprint, now):
        """Hold a request back if enough is known against it."""
        endings = self.history.get_crashes(fingerprint)
        is_on_probation = self.quarantine.is_on_probation(fingerprint, now)
        if is_on_probation or len(endings) >= MIN_CRASHES:
            self._hold(fingerprint, endings, now)

    def _hold(self, fingerprint, endings, now):
        """Hold a request back, for long if it is certain that it ends endpoints."""
        before = self.quarantine.get(fingerprint)
        is_active = before is not None and before.is_active(now)
        if is_active and before.times:
            return
        was_held = before is not None and before.times > 0
        held = self.quarantine.list_certain() - {fingerprint}
        certain = is_certain(self.history, fingerprint, held, was_held)
        if is_active and not certain:
            return
        since = find_basis(endings)
        request = self.quarantine.hold(fingerprint, since, now, certain)
        self._begin_hold(fingerprint, request, SOURCE_CRASHES)

    def _begin_hold(self, fingerprint, request, source):
        if source != SOURCE_STORE and request.times:
            key = (GossipKind.HELD, (fingerprint,), "", request.since)
            self.gossip.add(key, self.nodes, rank=HELD_RANK)
        endings = self.history.get_crashes(fingerprint)
        self.observe(QuarantineStarted(fingerprint, request, endings, source))

    def _take_answer(self, fingerprints, at):
        news = [name for name in fingerprints if self.history.record_answer(name, at)]
        released = [name for name in fingerprints if self._release(name, at)]
        if news or released:
            self.gossip.add((GossipKind.ANSWERED, fingerprints, "", at), self.nodes)

    def _release(self, fingerprint, at):
        """Let a request go that was answered at a time; return whether it was held."""
        held = self.quarantine.get(fingerprint)
        if held is None or held.since > at:
            return False
        self.quarantine.release(fingerprint)
        self.observe(QuarantineEnded(fingerprint, "answered"))
        return True

    def forget(self, now):
        """Forget what is too old; a request whose hold is over begins its trial."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_SECONDS
        self.history.forget(now)
        self.quarantine.forget(now)


def build_held(fingerprint, request, now):
    """Return the Told of a request that is held back for long."""
    return GossipItem(
        GossipKind.HELD,
        (fingerprint,),
        now - request.since,
        left=request.until - now,
        times=request.times,
    )
