"""Exchange of directories between nodes, at their start and in outages of the store."""

import random
import time
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
from hingesill_node.discovery.reports import MAX_REPORT_BYTES, REPORT_PATH
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["PeerApplication", "PeerClient"]

DIRECTORY_PATH = "/directory"
RESPONSE_TIMEOUT_SECONDS = 0.5
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
BINARY_HEADERS = [("Content-Type", "application/octet-stream")]
# Nodes that a starting node queries at a time, and its rounds. Most nodes may have
# started at the same time, with directories that are not confirmed yet.
QUERIES_PER_ROUND = 4
MAX_QUERY_ROUNDS = 2
# A running node answers within milliseconds. Unreachable nodes must not delay the start
# further, since callers are waiting.
ROUND_TIMEOUT_SECONDS = 0.25
# Time for which a node that has not answered is queried only if no other one is known,
# in seconds: several others may have ended at the same time.
UNANSWERED_SECONDS = 3.0
# Time without an answer of any listed node after which nodes that introduced themselves
# are queried as well, in seconds.
SILENT_SECONDS = 1.0
# Time for which an introduction counts, in seconds, and the nodes that are remembered.
INTRODUCED_SECONDS = 120.0
MAX_INTRODUCED = 64


class KnownState(Struct, frozen=True):
    """State that a node has, so that only newer content is sent to it.

    Parameters
    ----------
    position : Position
        The latest position of the store that the node knows.
    version : int
        Version of its declaration; 0 without one.
    """

    position: Position = Position()
    version: int = 0


class UpToDate(Struct, frozen=True):
    """The answer of a node with a confirmed directory that has nothing newer."""


class PeerApplication:
    """A WSGI application that serves this node's directory to other nodes.

    Parameters
    ----------
    directory : Directory
        The node's directory.
    feed : Feed
        The feed for followers.
    merge_report : callable
        Called with the Profile of a follower's observations.
    is_confirmed : callable
        Returns whether other nodes have confirmed the directory; a starting node does
        not send content that it has only read from the store.
    """

    def __init__(
        self,
        directory,
        feed,
        merge_report=lambda profile: None,
        is_confirmed=lambda: True,
    ):
        self.directory = directory
        self.feed = feed
        self.merge_report = merge_report
        self.is_confirmed = is_confirmed

    def __call__(self, environ, start_response):
        """Answer one request; see PEP 3333."""
        if environ["PATH_INFO"] == FEED_PATH:
            return self._open_stream(environ, start_response)
        if environ["PATH_INFO"] == REPORT_PATH:
            return self._receive_report(environ, start_response)
        if environ["PATH_INFO"] != DIRECTORY_PATH:
            start_response("404 Not Found", [])
            return [b""]
        return self._send_snapshot(environ, start_response)

    def _send_snapshot(self, environ, start_response):
        """Respond with the directory if it is newer than the client's state."""
        if not self.is_confirmed():
            start_response("503 Service Unavailable", [])
            return [b""]
        known, own = parse_known_state(
            environ.get("QUERY_STRING", "")
        ), build_known_state(self.directory)
        if own.position <= known.position and own.version <= known.version:
            start_response("204 No Content", [])
            return [b""]
        start_response("200 OK", BINARY_HEADERS)
        return [encode(self.directory.build_snapshot())]

    def _open_stream(self, environ, start_response):
        """Respond with a stream of frames that ends when the feed closes."""
        subscription = self.feed.subscribe()
        if subscription is None:
            start_response("503 Service Unavailable", [])
            return [b""]
        environ["eventlet.minimum_write_chunk_size"] = 1
        start_response("200 OK", BINARY_HEADERS)
        return subscription

    def _receive_report(self, environ, start_response):
        """Merge a follower's report of observations."""
        length = environ.get("CONTENT_LENGTH") or ""
        if not length.isdigit() or int(length) > MAX_REPORT_BYTES:
            start_response("413 Content Too Large", [])
            return [b""]
        try:
            profile = decode_profile(environ["wsgi.input"].read(int(length)))
        except (OSError, ValueError) as error:
            log_event(Event.REPORT_INVALID, detail=str(error))
            start_response("400 Bad Request", [])
            return [b""]
        self.merge_report(profile)
        start_response("204 No Content", [])
        return [b""]


def build_known_state(content):
    """Return the KnownState of a Directory or a Snapshot."""
    declared = content.declared
    return KnownState(content.position, declared.version if declared else 0)


def parse_known_state(query):
    """Return the KnownState of a query string; missing or invalid values are zero."""
    values = {name: texts[0] for name, texts in parse_qs(query).items()}
    version = values.get("version", "")
    position = parse_position(values.get("after", ""))
    return KnownState(position, int(version) if version.isdecimal() else 0)


class PeerClient:
    """Queries other nodes for newer content.

    Parameters
    ----------
    name : str
        The node's own name; it does not query itself.
    data_centre : str
        The node's own data centre, to which at least half of the queries go.
    rng : random.Random
        Chooses the nodes to query.
    address : str
        The node's own control address.
    clock : callable
        Monotonic seconds.

    Notes
    -----
    A node that introduced itself may be any program that can send a datagram. It is
    queried only while no listed node answers, by a node that has read the store, and
    its directory counts only if it lists this node.
    """

    def __init__(self, name, data_centre, rng=None, address="", clock=time.monotonic):
        self.name = name
        self.data_centre = data_centre
        self.rng = rng or random.Random()
        self.address = address
        self.clock = clock
        # Time of the last query without an answer by address.
        self._unanswered = {}
        # Time of the last introduction by NodeRecord, the oldest first.
        self._introduced = {}
        self._queried_at = float("-inf")
        # Time of the last answer of a listed node, or of the first query after a pause.
        self._answered_at = float("-inf")

    def record_introduction(self, node):
        """Remember a node that introduced itself, for queries in an outage."""
        if node.name == self.name:
            return
        self._introduced.pop(node, None)
        self._introduced[node] = self.clock()
        self._unanswered.pop(node.address, None)
        if len(self._introduced) > MAX_INTRODUCED:
            del self._introduced[next(iter(self._introduced))]

    def fetch_newer(self, directory):
        """Return the Snapshot of another node if it is newer, else None."""
        now = self.clock()
        if now - self._queried_at > SILENT_SECONDS:
            self._answered_at = now
        self._queried_at = now
        node = self._choose(directory)
        if node is None:
            return None
        answer = self._query_node(node, build_known_state(directory))
        if answer is None:
            return None
        is_listed = directory.nodes.get(node.name) == node
        if is_listed:
            self._answered_at = self.clock()
        if isinstance(answer, UpToDate):
            return None
        if not is_listed and not self._lists_this_node(answer):
            log_event(Event.INTRODUCTION_REFUSED, peer=node.name, address=node.address)
            return None
        return answer

    def _lists_this_node(self, snapshot):
        """Return whether a Snapshot has the entry of this node."""
        own = snapshot.nodes.get(self.name)
        return own is not None and own.address == self.address

    def fetch_newer_at_start(self, read):
        """Return newer content of other nodes for a starting node.

        Parameters
        ----------
        read : Snapshot
            The node's first read, which may be stale or from an older copy of the
            store.

        Returns
        -------
        list of Snapshot
            One at most; empty if a node with a confirmed directory has nothing newer,
            or if no such node answered.
        """
        others = [node for node in read.nodes.values() if node.name != self.name]
        self.rng.shuffle(others)
        for begin in range(0, MAX_QUERY_ROUNDS * QUERIES_PER_ROUND, QUERIES_PER_ROUND):
            batch = others[begin : begin + QUERIES_PER_ROUND]
            answer = self._query_concurrently(batch, build_known_state(read))
            if answer is not None:
                return [] if isinstance(answer, UpToDate) else [answer]
        return []

    def _query_concurrently(self, nodes, known):
        """Return the first answer of a node with a confirmed directory, or None."""
        answers = LightQueue()
        threads = [
            eventlet.spawn(lambda node=node: answers.put(self._query_node(node, known)))
            for node in nodes
        ]
        try:
            with eventlet.Timeout(ROUND_TIMEOUT_SECONDS, Empty):
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

    def _query_node(self, node, known):
        """Return a node's Snapshot, UpToDate, or None if it sent neither."""
        self._unanswered[node.address] = self.clock()
        connection = EndpointConnection(node.address)
        try:
            answer = self._call(connection, known)
            self._unanswered.pop(node.address, None)
            return answer
        except (ConnectFailed, ValueError, *TRANSPORT_ERRORS) as error:
            log_event(Event.PEER_SILENT, peer=node.name, detail=str(error))
            return None
        finally:
            connection.close()

    def _choose(self, directory):
        """Return the node to query, or None if none is known."""
        nodes = directory.nodes.values()
        listed = [node for node in nodes if node.name != self.name]
        has_read = directory.declared is not None
        introduced = self._list_introduced(listed) if has_read else []
        others = self._list_answering(listed)
        is_silent = self.clock() - self._answered_at > SILENT_SECONDS
        if introduced and (not others or is_silent and self.rng.random() < 0.5):
            others = self._list_answering(introduced) or introduced
        others = others or listed
        local = [node for node in others if node.data_centre == self.data_centre]
        if local and self.rng.random() < 0.5:
            others = local
        return self.rng.choice(others) if others else None

    def _list_introduced(self, listed):
        """Return the nodes that introduced themselves and are not listed."""
        oldest = self.clock() - INTRODUCED_SECONDS
        addresses = {node.address for node in listed}
        return [
            node
            for node, at in self._introduced.items()
            if at > oldest and node.address not in addresses
        ]

    def _list_answering(self, nodes):
        """Return the nodes of which no recent query is without an answer."""
        oldest = self.clock() - UNANSWERED_SECONDS
        self._unanswered = {a: at for a, at in self._unanswered.items() if at > oldest}
        return [node for node in nodes if node.address not in self._unanswered]

    def _call(self, connection, known):
        connection.open()
        connection.set_time_limit(RESPONSE_TIMEOUT_SECONDS)
        connection.collect()
        query = urlencode({"after": known.position, "version": known.version})
        connection.begin("GET", f"{DIRECTORY_PATH}?{query}")
        connection.putheader("Host", connection.address)
        connection.putheader("Connection", "close")
        connection.endheaders()
        connection.flush()
        response = connection.read_head()
        body = response.read_short(MAX_RESPONSE_BYTES)
        if response.status == 204:
            return UpToDate()
        return decode_snapshot(body) if response.status == 200 and body else None
