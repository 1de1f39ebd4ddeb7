"""Back-off of a node's calls to an unavailable store.

Refused calls cost as much as others, and without back-off all nodes would call the
store at once when it becomes available again.
"""

import random

from hingesill_node.control.backoff import Backoff

__all__ = ["FLEET_CALLS_PER_SECOND", "StoreBackoff"]

INITIAL_PAUSE_SECONDS = 0.1
# Maximum pause of a relay. With jitter, relays find an available store within 0.75 s,
# before the followers that found it read it themselves.
MAX_RELAY_PAUSE_SECONDS = 0.5
# Maximum pause of a follower, which may learn from a relay that the store is available.
# With jitter and `RELAY_HEAD_START_SECONDS` it stays below the time within which a
# change must be in force.
MAX_FOLLOWER_PAUSE_SECONDS = 1.0
# Maximum rate of all followers' calls together to an unavailable store, whatever the
# fleet's size.
FLEET_CALLS_PER_SECOND = 60.0
# Time that a follower leaves to the relays once it finds the store available, in
# seconds.
RELAY_HEAD_START_SECONDS = 0.8
# The same for a follower that had not noticed the outage, as its wait for the relays
# ended just after it. It is shorter, since a change must be in force within 2 s and the
# relays may be cut off. Without it a short outage would cost a read by every node.
SHORT_RELAY_HEAD_START_SECONDS = 0.4


class StoreBackoff:
    """Pauses of one node's calls to the store; times in seconds of its clock.

    Parameters
    ----------
    rng : random.Random or None
        Source of the jitter.

    Attributes
    ----------
    until : float
        Time before which the store is not called.
    is_read_pending : bool
        The store was found available again, and nothing has been read from it since.
    """

    def __init__(self, rng=None):
        self.until = float("-inf")
        self.is_read_pending = False
        rng = rng or random.Random()
        self._relay = Backoff(INITIAL_PAUSE_SECONDS, MAX_RELAY_PAUSE_SECONDS, rng)
        self._follower = Backoff(INITIAL_PAUSE_SECONDS, MAX_FOLLOWER_PAUSE_SECONDS, rng)
        self._rng = rng

    def pause(self, is_relay, nodes, now):
        """Set the pause after a failed call to the store.

        Parameters
        ----------
        is_relay : bool
            This node watches the store for other nodes.
        nodes : int
            Number of nodes in the fleet.
        now : float
            The current time.
        """
        if is_relay:
            self.until = now + self._relay.get_pause()
            return
        fleet_pause = nodes / FLEET_CALLS_PER_SECOND * self._rng.uniform(0.5, 1.5)
        self.until = now + max(fleet_pause, self._follower.get_pause())

    def yield_to_relays(self, now, was_lost):
        """Delay a follower's read after it found the store available.

        Parameters
        ----------
        now : float
            The current time.
        was_lost : bool
            The follower had noticed the outage.
        """
        self.is_read_pending = True
        wait = RELAY_HEAD_START_SECONDS if was_lost else SHORT_RELAY_HEAD_START_SECONDS
        self.until = now + wait

    def consume_pending_read(self):
        """Return whether a delayed read is pending, and clear it."""
        was_pending, self.is_read_pending = self.is_read_pending, False
        return was_pending

    def record_update(self):
        """Record that a relay has sent the store's content."""
        self.is_read_pending = False
        self._follower.reset()

    def record_answer(self):
        """Record that the store has answered."""
        self._relay.reset()
        self._follower.reset()
