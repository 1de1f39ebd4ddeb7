"""When a store that was lost is called again, by one node of many.

It answers an outage of the store: each call that it refuses is paid like any other, and
all nodes would call again at once when it returns.
"""

import random

from hingesill_node.control.backoff import Backoff

__all__ = ["FLEET_CALLS_PER_SECOND", "StoreBackoff"]

FIRST_PAUSE = 0.1
# Of the few relays; with its jitter they find a store that is back within 0.75 s, and
# before the followers that found it read for themselves.
LONGEST_RELAY_PAUSE = 0.5
# Longest pause of a node that may hear of the store's return from a relay, in seconds.
# With jitter and `RELAYS_FIRST_SECONDS` it stays below the time until a change is due.
LONGEST_FOLLOWER_PAUSE = 1.3
# Calls a second of all followers together to a lost store, whatever the fleet's size.
FLEET_CALLS_PER_SECOND = 60.0
# Head start of the relays once a follower finds the store back, in seconds.
RELAYS_FIRST_SECONDS = 0.8
# One that had not noticed the outage, as its patience with the relays ends just after
# it, waits less: a change must be in force within 2 s, and the relays may be cut off.
# If such followers read at once, a short outage would cost a read of each node.
RELAYS_SOON_SECONDS = 0.4


class StoreBackoff:
    """The pauses of one node; times in seconds of its clock.

    Attributes
    ----------
    until : float
        The store is left alone until then.
    has_unread_return : bool
        The store was found back, and nothing has been read of it since.
    """

    def __init__(self):
        self.until = float("-inf")
        self.has_unread_return = False
        rng = random.Random()
        self._relay = Backoff(FIRST_PAUSE, LONGEST_RELAY_PAUSE, rng)
        self._follower = Backoff(FIRST_PAUSE, LONGEST_FOLLOWER_PAUSE, rng)
        self._rng = rng

    def pause(self, is_relay, nodes, now):
        """Leave the store alone for a while after a call that failed.

        Parameters
        ----------
        is_relay : bool
            This node watches the store for others.
        nodes : int
            Of the fleet.
        now : float
            The time.
        """
        if is_relay:
            self.until = now + self._relay.get_pause()
            return
        part = nodes / FLEET_CALLS_PER_SECOND * self._rng.uniform(0.5, 1.5)
        self.until = now + max(part, self._follower.get_pause())

    def let_relays_go_first(self, now, was_lost):
        """Take note that a follower found the store to answer.

        Parameters
        ----------
        now : float
            The time.
        was_lost : bool
            The follower knew that the store did not answer.
        """
        self.has_unread_return = True
        wait = RELAYS_FIRST_SECONDS if was_lost else RELAYS_SOON_SECONDS
        self.until = now + wait

    def take_turn(self):
        """Tell whether the relays had their turn, and let this node take its own."""
        had_turn, self.has_unread_return = self.has_unread_return, False
        return had_turn

    def record_update(self):
        """Take note that a relay tells what the store holds."""
        self.has_unread_return = False
        self._follower.reset()

    def record_answer(self):
        """Take note that the store has answered."""
        self._relay.reset()
        self._follower.reset()
