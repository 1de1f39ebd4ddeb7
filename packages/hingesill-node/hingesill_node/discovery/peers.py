"""Nodes that tell each other what they hold: at their start, and without the store."""

import random
from urllib.parse import parse_qs, urlencode

import eventlet
from eventlet.queue import Empty, LightQueue
from msgspec import Struct

from hingesill_core.discovery.position import Position, parse_position
from hingesill_node.datapath.connections import (
    ConnectFailed,
    EndpointConnection,
)
from hingesill_node.datapath.transport import TRANSPORT_ERRORS
from hingesill_node.discovery.codec import decode_profile, decode_snapshot, encode
from hingesill_node.discovery.relayclient import FEED_PATH
from hingesill_node.discovery.reports import LARGEST_REPORT, NEWS_PATH
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["PeerApplication", "PeerClient"]

PATH = "/directory"
ANSWER_SECONDS = 0.5
LARGEST_ANSWER = 4 * 1024 * 1024
BINARY = [("Content-Type", "application/octet-stream")]
# Nodes that a starting node queries at a time, and rounds: most nodes may have started
# at one moment and not be sure of what they hold.
ASKED_TOGETHER = 4
MOST_ROUNDS = 2
# Of one round. A node that lives answers within some milliseconds; dark ones are not
# waited for longer, since callers are.
ROUND_SECONDS = 0.25


class Known(Struct, frozen=True):
    """How far a node knows: what it need not be told.

    Parameters
    ----------
    position : Position
        Of the store, the latest that it holds.
    version : int
        Of the declaration that it holds; 0 without one.
    """

    position: Position = Position()
    version: int = 0


class NothingMore(Struct, frozen=True):
    """A node that is sure of what it holds has nothing to add."""


class PeerApplication:
    """A WSGI application that tells what this node holds.

    Parameters
    ----------
    directory : Directory
        What it holds.
    feed : Feed
        Its streams to followers.
    merge_report : callable
        Takes the Profile of a follower's answers.
    is_sure : callable
        Tells whether this node has been told by others; one that starts does not pass
        on what it has only read.
    """

    def __init__(
        self, directory, feed, merge_report=lambda profile: None, is_sure=lambda: True
    ):
        self.directory = directory
        self.feed = feed
        self.merge_report = merge_report
        self.is_sure = is_sure

    def __call__(self, environ, start_response):
        """Answer one request; see PEP 3333."""
        if environ["PATH_INFO"] == FEED_PATH:
            return self._follow(environ, start_response)
        if environ["PATH_INFO"] == NEWS_PATH:
            return self._take_news(environ, start_response)
        if environ["PATH_INFO"] != PATH:
            start_response("404 Not Found", [])
            return [b""]
        return self._tell(environ, start_response)

    def _tell(self, environ, start_response):
        """Answer with all that is held here, if any of it is more."""
        if not self.is_sure():
            start_response("503 Service Unavailable", [])
            return [b""]
        asked, own = read_known(environ.get("QUERY_STRING", "")), find_known(
            self.directory
        )
        if own.position <= asked.position and own.version <= asked.version:
            start_response("204 No Content", [])
            return [b""]
        start_response("200 OK", BINARY)
        return [encode(self.directory.build_snapshot())]

    def _follow(self, environ, start_response):
        """Answer with frames that go on until the feed closes."""
        subscription = self.feed.subscribe()
        if subscription is None:
            start_response("503 Service Unavailable", [])
            return [b""]
        environ["eventlet.minimum_write_chunk_size"] = 1
        start_response("200 OK", BINARY)
        return subscription

    def _take_news(self, environ, start_response):
        """Take a follower's report."""
        length = environ.get("CONTENT_LENGTH") or ""
        if not length.isdigit() or int(length) > LARGEST_REPORT:
            start_response("413 Content Too Large", [])
            return [b""]
        try:
            profile = decode_profile(environ["wsgi.input"].read(int(length)))
        except ValueError as error:
            log_event(Event.REPORT_INVALID, detail=str(error))
            start_response("400 Bad Request", [])
            return [b""]
        self.merge_report(profile)
        start_response("204 No Content", [])
        return [b""]


def find_known(content):
    """Return how far a Directory or a Snapshot leads."""
    declared = content.declared
    return Known(content.position, declared.version if declared else 0)


def read_known(query):
    """Return the Known of a query; the least if it names none."""
    values = {name: texts[0] for name, texts in parse_qs(query).items()}
    version = values.get("version", "")
    position = parse_position(values.get("after", ""))
    return Known(position, int(version) if version.isdecimal() else 0)


class PeerClient:
    """Asks other nodes.

    Parameters
    ----------
    name : str
        The node's own, which is not asked.
    data_centre : str
        Nodes there are asked as often as all others together.
    rng : random.Random
        Chooses whom to ask.
    """

    def __init__(self, name, data_centre, rng=None):
        self.name = name
        self.data_centre = data_centre
        self.rng = rng or random.Random()

    def ask(self, directory):
        """Return a node's Snapshot if it holds more, else None."""
        node = self._choose(directory.nodes)
        answer = None if node is None else self._ask(node, find_known(directory))
        return None if isinstance(answer, NothingMore) else answer

    def ask_before_start(self, read):
        """Return what other nodes hold beyond what a node has read as it starts.

        Parameters
        ----------
        read : Snapshot
            It may be seconds old, or from a copy of the store that is.

        Returns
        -------
        list of Snapshot
            One at most; none if a node that is sure has no more, or none answered.
        """
        others = [node for node in read.nodes.values() if node.name != self.name]
        self.rng.shuffle(others)
        for begin in range(0, MOST_ROUNDS * ASKED_TOGETHER, ASKED_TOGETHER):
            asked = others[begin : begin + ASKED_TOGETHER]
            answer = self._ask_together(asked, find_known(read))
            if answer is not None:
                return [] if isinstance(answer, NothingMore) else [answer]
        return []

    def _ask_together(self, nodes, known):
        """Return the first answer of a node that is sure, or None."""
        answers = LightQueue()
        threads = [
            eventlet.spawn(lambda node=node: answers.put(self._ask(node, known)))
            for node in nodes
        ]
        try:
            with eventlet.Timeout(ROUND_SECONDS, Empty):
                for _ in nodes:
                    answer = answers.get()
                    if answer is not None:
                        return answer
        except Empty:
            return None
        finally:
            for thread in threads:
                thread.kill()
        return None

    def _ask(self, node, known):
        """Return a node's Snapshot, NothingMore, or None if it told nothing."""
        connection = EndpointConnection(node.address)
        try:
            return self._call(connection, known)
        except (ConnectFailed, ValueError, *TRANSPORT_ERRORS) as error:
            log_event(Event.PEER_SILENT, peer=node.name, detail=str(error))
            return None
        finally:
            connection.close()

    def _choose(self, nodes):
        others = [node for node in nodes.values() if node.name != self.name]
        near = [node for node in others if node.data_centre == self.data_centre]
        if near and self.rng.random() < 0.5:
            others = near
        return self.rng.choice(others) if others else None

    def _call(self, connection, known):
        connection.open()
        connection.set_time_limit(ANSWER_SECONDS)
        connection.collect()
        query = urlencode({"after": known.position, "version": known.version})
        connection.begin("GET", f"{PATH}?{query}")
        connection.putheader("Host", connection.address)
        connection.putheader("Connection", "close")
        connection.endheaders()
        connection.flush()
        response = connection.read_head()
        body = response.read_short(LARGEST_ANSWER)
        if response.status == 204:
            return NothingMore()
        return decode_snapshot(body) if response.status == 200 and body else None
