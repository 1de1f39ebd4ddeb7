"""The change feed that a relay streams to its followers."""

import time

from eventlet.queue import Full, LightQueue

from hingesill_core.discovery.difference import find_changes
from hingesill_node.discovery.codec import encode
from hingesill_node.discovery.frames import FrameKind, build_frame
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Feed", "Subscription"]

# Frames queued for a follower that lags behind: half a minute of heartbeats.
MAX_QUEUED_FRAMES = 64
# Followers of one relay, to bound its memory; four times the number that the selection
# of relays gives it.
MAX_FOLLOWERS = 320


class Subscription:
    """The response to one follower: an iterable of frames that ends with the feed.

    Parameters
    ----------
    feed : Feed
        The feed, which drops the subscription when the server closes the response.
    first : bytes
        The frame with the complete directory.
    """

    def __init__(self, feed, first):
        self._feed = feed
        self._queue = LightQueue(MAX_QUEUED_FRAMES)
        self._queue.put_nowait(first)
        self._ended = False

    def __iter__(self):
        return self

    def __next__(self):
        if self._ended:
            raise StopIteration
        frame = self._queue.get()
        if frame is None or self._ended:
            raise StopIteration
        return frame

    def put(self, frame):
        """Queue a frame, None for the end; close the response if the queue is full."""
        try:
            self._queue.put_nowait(frame)
        except Full:
            self.close()

    def close(self):
        """End the response; the server calls it too."""
        self._ended = True
        self._feed.remove(self)


class Feed:
    """Streams this node's directory to followers while it is in sync with the store.

    Parameters
    ----------
    directory : Directory
        The published directory.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, directory, clock=time.monotonic):
        self.directory = directory
        self.clock = clock
        self.is_open = False
        self._ended = False
        # A dict, so that followers are served in the order of subscription.
        self._followers = {}
        self._last_published = None

    @property
    def followers(self):
        """Number of followers."""
        return len(self._followers)

    def open(self):
        """Accept followers, as the directory is in sync with the store."""
        if not self.is_open and not self._ended:
            self.is_open = True
            log_event(Event.FEED_OPENED, position=str(self.directory.position))

    def close(self, reason):
        """End all streams; their readers switch to another relay at once."""
        if not self.is_open:
            return
        self.is_open = False
        log_event(Event.FEED_CLOSED, reason=reason, followers=self.followers)
        for follower in list(self._followers):
            follower.put(None)
        self._followers.clear()

    def shut_down(self, reason):
        """Close the feed permanently."""
        self._ended = True
        self.close(reason)

    def subscribe(self):
        """Return the Subscription of a new follower, or None if it is refused."""
        if not self.is_open or self.followers >= MAX_FOLLOWERS:
            return None
        snapshot = self.directory.build_snapshot()
        if not self._followers:
            self._last_published = snapshot
        subscription = Subscription(self, self._build(FrameKind.WHOLE, snapshot))
        self._followers[subscription] = None
        return subscription

    def remove(self, subscription):
        """Remove a follower's subscription."""
        self._followers.pop(subscription, None)

    def publish(self):
        """Send the changes since the last call to all followers."""
        if not self._followers:
            return
        snapshot = self.directory.build_snapshot()
        changes = find_changes(self._last_published, snapshot)
        self._last_published = snapshot
        self._send(self._build(FrameKind.CHANGES, changes))

    def send_heartbeat(self):
        """Send a heartbeat to all followers."""
        if self._followers:
            self._send(self._build(FrameKind.HEARTBEAT))

    def _build(self, kind, content=None):
        payload = b"" if content is None else encode(content)
        age = self.directory.get_return_age(self.clock())
        return build_frame(kind, age, payload)

    def _send(self, frame):
        for follower in list(self._followers):
            follower.put(frame)
