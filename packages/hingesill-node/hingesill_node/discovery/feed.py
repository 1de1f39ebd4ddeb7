"""A relay's side of following: what it tells each of its followers."""

import time

from eventlet.queue import Full, LightQueue

from hingesill_core.discovery.difference import find_changes
from hingesill_node.discovery.codec import encode
from hingesill_node.discovery.frames import FrameKind, build_frame
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Feed", "Subscription"]

# Frames that a follower may lag behind: half a minute of heartbeats.
MAX_QUEUED_FRAMES = 64
# Streams that one relay serves, as a guard of its memory; four times what a
# relay gets by the choice of relays.
MAX_FOLLOWERS = 320


class Subscription:
    """The answer to one follower: an iterable of frames that ends with the feed.

    Parameters
    ----------
    feed : Feed
        Left when the server closes the answer.
    first : bytes
        The frame that tells everything.
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
        """Add a frame, None for the end; one that lags too far is ended."""
        try:
            self._queue.put_nowait(frame)
        except Full:
            self.close()

    def close(self):
        """End the answer; the server calls it too."""
        self._ended = True
        self._feed.remove(self)


class Feed:
    """Tells followers what this node holds, while it follows the store itself.

    Parameters
    ----------
    directory : Directory
        What is told.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, directory, clock=time.monotonic):
        self.directory = directory
        self.clock = clock
        self.is_open = False
        self._ended = False
        # A dict, so that all are told in the order in which they came.
        self._followers = {}
        self._last_published = None

    @property
    def followers(self):
        """How many nodes are told."""
        return len(self._followers)

    def open(self):
        """Take followers from now on: the directory is what the store holds."""
        if not self.is_open and not self._ended:
            self.is_open = True
            log_event(Event.FEED_OPENED, position=str(self.directory.position))

    def close(self, reason):
        """End all streams; their readers turn to another relay at once."""
        if not self.is_open:
            return
        self.is_open = False
        log_event(Event.FEED_CLOSED, reason=reason, followers=self.followers)
        for follower in list(self._followers):
            follower.put(None)
        self._followers.clear()

    def shut_down(self, reason):
        """Close for good."""
        self._ended = True
        self.close(reason)

    def subscribe(self):
        """Return the Subscription of a new follower, or None if it is not taken."""
        if not self.is_open or self.followers >= MAX_FOLLOWERS:
            return None
        snapshot = self.directory.build_snapshot()
        if not self._followers:
            self._last_published = snapshot
        subscription = Subscription(self, self._build(FrameKind.WHOLE, snapshot))
        self._followers[subscription] = None
        return subscription

    def remove(self, subscription):
        """Forget a follower."""
        self._followers.pop(subscription, None)

    def publish(self):
        """Tell all followers what has changed."""
        if not self._followers:
            return
        snapshot = self.directory.build_snapshot()
        changes = find_changes(self._last_published, snapshot)
        self._last_published = snapshot
        self._send(self._build(FrameKind.CHANGES, changes))

    def send_heartbeat(self):
        """Tell all followers that nothing else has changed."""
        if self._followers:
            self._send(self._build(FrameKind.HEARTBEAT))

    def _build(self, kind, content=None):
        payload = b"" if content is None else encode(content)
        age = self.directory.get_return_age(self.clock())
        return build_frame(kind, age, payload)

    def _send(self, frame):
        for follower in list(self._followers):
            follower.put(frame)
