"""Protects endpoints against requests under which they crash."""

from msgspec import Struct

from hingesill_core.crashes.attribution import (
    MIN_CRASHES,
    find_clearing_time,
    is_confirmed,
)
from hingesill_core.crashes.gossip import Gossip
from hingesill_core.crashes.history import CrashHistory, EndpointCrash
from hingesill_core.crashes.messages import GossipItem, GossipKind
from hingesill_core.crashes.quarantine import Quarantine, QuarantinedRequest

__all__ = ["CrashGuard", "SOURCE_STORE", "QuarantineStarted", "QuarantineEnded"]

# Interval between removals of expired records, in seconds.
CLEANUP_INTERVAL_SECONDS = 10.0
# Sources of a quarantine: the store, another node, or crashes that this node counted.
SOURCE_STORE = "store"
SOURCE_NODE = "node"
SOURCE_CRASHES = "endings"
# Gossip priority of a quarantine; that of crashes is their number, which is lower.
QUARANTINE_PRIORITY = 100


class QuarantineStarted(Struct, frozen=True):
    """A request is quarantined from now on."""

    fingerprint: str
    request: QuarantinedRequest
    crashes: tuple
    source: str


class QuarantineEnded(Struct, frozen=True):
    """A request was released from quarantine and may be sent again."""

    fingerprint: str
    reason: str


class CrashGuard:
    """Records under which requests endpoints crashed, over all attempts and nodes.

    Each attempt has its own id and may come to any node, so neither an attempt nor a
    single node shows that a request crashes each endpoint that begins to run it. Nodes
    report each crash to each other. A request with three crashes is quarantined by all
    nodes: provisionally at first, and for long once no other request explains the
    crashes. Without that it would crash endpoint after endpoint for as long as its
    caller repeats it.

    Parameters
    ----------
    rng : random.Random
        Chooses the peers of gossip rounds.
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
        self._next_cleanup_at = 0.0

    @property
    def is_idle(self):
        """Whether there are no records of any request."""
        return not self.history and not self.quarantine

    def find_quarantine(self, fingerprints, now):
        """Return the active QuarantinedRequest of a request, or None.

        Parameters
        ----------
        fingerprints : tuple of str
            Fingerprints of the request, the narrowest first.
        now : float
            Current time.
        """
        for fingerprint in fingerprints:
            quarantined = self.quarantine.get(fingerprint)
            if quarantined is not None and quarantined.is_active(now):
                return quarantined
        return None

    def is_suspect(self, fingerprints):
        """Return whether an endpoint crashed under a request not answered since."""
        return any(self.history.get_crashes(name) for name in fingerprints)

    def is_cleared(self, fingerprint):
        """Return whether a request was answered that others may still quarantine."""
        was_answered = self.history.get_answer_time(fingerprint) > float("-inf")
        return was_answered and self.quarantine.get(fingerprint) is None

    def may_send_again(self, fingerprints, now, pending):
        """Return whether an unanswered attempt may be sent to another endpoint.

        Parameters
        ----------
        fingerprints : tuple of str
            Fingerprints of the request.
        now : float
            Current time.
        pending : int
            Number of endpoints that may have crashed under the request and whose check
            is still running.
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
        """Record that an endpoint crashed while it had a request of this node."""
        self._apply_crash(fingerprints, EndpointCrash(endpoint, now), now)

    def record_answer(self, fingerprints, now):
        """Record that an endpoint answered a request of this node."""
        known = tuple(
            name
            for name in fingerprints
            if name in self.history or self.quarantine.get(name) is not None
        )
        if known:
            self._apply_answer(known, now)

    def apply_item(self, item, now):
        """Apply a gossip item of another node."""
        at = now - item.age
        if item.kind is GossipKind.CRASHED:
            self._apply_crash(item.fingerprints, EndpointCrash(item.endpoint, at), now)
        elif item.kind is GossipKind.ANSWERED:
            self._apply_answer(item.fingerprints, at)
        else:
            request = QuarantinedRequest(at, now + item.left, item.times)
            for fingerprint in item.fingerprints:
                self.apply_quarantine(fingerprint, request, SOURCE_NODE)

    def apply_quarantine(self, fingerprint, request, source):
        """Apply a confirmed quarantine that another node has begun.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        request : QuarantinedRequest
            Duration of the quarantine, in times of this node's clock.
        source : str
            SOURCE_NODE or SOURCE_STORE; quarantines from the store are not sent on by
            gossip, as all nodes read the store.
        """
        known = self.quarantine.get(fingerprint)
        if known is not None and known.times >= request.times:
            return
        if request.since <= self.history.get_answer_time(fingerprint):
            return
        self.quarantine.put(fingerprint, request)
        self._announce_quarantine(fingerprint, request, source)

    def list_items(self, now):
        """Return all crashes and quarantines, for a node that has just started."""
        quarantined = self.quarantine.list_active_confirmed(now)
        items = [
            build_quarantine_item(name, request, now)
            for name, request in quarantined.items()
        ]
        items += [
            GossipItem(GossipKind.CRASHED, (name,), now - crash.at, crash.endpoint)
            for name, crash in self.history.list_crashes()
            if name not in quarantined
        ]
        return items

    def start_round(self, peers, now):
        """Return the peers of a gossip round and the GossipItems to send to them.

        Notes
        -----
        Pending items are kept as keys, so that their ages are those at the time of
        sending.
        """
        chosen, keys = self.gossip.start_round(peers)
        items = (self._build_item(key, now) for key in keys)
        return chosen, [item for item in items if item is not None]

    def _build_item(self, key, now):
        kind, fingerprints, endpoint, at = key
        if kind is GossipKind.QUARANTINED:
            quarantined = self.find_quarantine(fingerprints, now)
            if quarantined is None or not quarantined.times:
                return None
            return build_quarantine_item(fingerprints[0], quarantined, now)
        return GossipItem(kind, fingerprints, now - at, endpoint)

    def _apply_crash(self, fingerprints, crash, now):
        added = [
            name for name in fingerprints if self.history.record_crash(name, crash)
        ]
        if not added:
            return
        counts = [len(self.history.get_crashes(name)) for name in fingerprints]
        key = (GossipKind.CRASHED, fingerprints, crash.endpoint, crash.at)
        self.gossip.add(key, self.nodes, priority=max(counts))
        narrower = 0
        for fingerprint, count in zip(fingerprints, counts):
            # A wider fingerprint adds nothing if the narrower one has all its crashes.
            if count > narrower:
                narrower = count
                self._check_crashes(fingerprint, now)

    def _check_crashes(self, fingerprint, now):
        """Quarantine a request if enough crashes count against it."""
        crashes = self.history.get_crashes(fingerprint)
        is_on_probation = self.quarantine.is_on_probation(fingerprint, now)
        if is_on_probation or len(crashes) >= MIN_CRASHES:
            self._start_quarantine(fingerprint, crashes, now)

    def _start_quarantine(self, fingerprint, crashes, now):
        """Quarantine a request, provisionally unless it explains the crashes best."""
        before = self.quarantine.get(fingerprint)
        is_active = before is not None and before.is_active(now)
        if is_active and before.times:
            return
        was_quarantined = before is not None and before.times > 0
        others = self.quarantine.list_confirmed() - {fingerprint}
        confirmed = is_confirmed(self.history, fingerprint, others, was_quarantined)
        if is_active and not confirmed:
            return
        since = find_clearing_time(crashes)
        request = self.quarantine.start(fingerprint, since, now, confirmed)
        self._announce_quarantine(fingerprint, request, SOURCE_CRASHES)

    def _announce_quarantine(self, fingerprint, request, source):
        if source != SOURCE_STORE and request.times:
            key = (GossipKind.QUARANTINED, (fingerprint,), "", request.since)
            self.gossip.add(key, self.nodes, priority=QUARANTINE_PRIORITY)
        crashes = self.history.get_crashes(fingerprint)
        self.observe(QuarantineStarted(fingerprint, request, crashes, source))

    def _apply_answer(self, fingerprints, at):
        added = [name for name in fingerprints if self.history.record_answer(name, at)]
        released = [name for name in fingerprints if self._release(name, at)]
        if added or released:
            self.gossip.add((GossipKind.ANSWERED, fingerprints, "", at), self.nodes)

    def _release(self, fingerprint, at):
        """Release a request that was answered; return whether it was quarantined."""
        quarantined = self.quarantine.get(fingerprint)
        if quarantined is None or quarantined.since > at:
            return False
        self.quarantine.release(fingerprint)
        self.observe(QuarantineEnded(fingerprint, "answered"))
        return True

    def remove_expired(self, now):
        """Remove expired records, at most once per cleanup interval."""
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + CLEANUP_INTERVAL_SECONDS
        self.history.remove_expired(now)
        self.quarantine.remove_expired(now)


def build_quarantine_item(fingerprint, request, now):
    """Return the GossipItem of a confirmed quarantine."""
    return GossipItem(
        GossipKind.QUARANTINED,
        (fingerprint,),
        now - request.since,
        left=request.until - now,
        times=request.times,
    )
