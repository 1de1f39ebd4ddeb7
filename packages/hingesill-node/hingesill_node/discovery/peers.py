"""Nodes that tell each other what they hold while the store is out of reach."""

import random

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
AFTER = "after="
ANSWER_SECONDS = 0.5
LARGEST_ANSWER = 4 * 1024 * 1024
BINARY = [("Content-Type", "application/octet-stream")]


class PeerApplication:
    """A WSGI application that tells what this node holds.

    Parameters
    ----------
    directory : Directory
        What it holds.
    feed : Feed
        Its streams to followers.
    add_news : callable
        Takes the Profile of a follower's answers.
    """

    def __init__(self, directory, feed, add_news=lambda profile: None):
        self.directory = directory
        self.feed = feed
        self.add_news = add_news

    def __call__(self, environ, start_response):
        """Answer one request; see PEP 3333."""
        if environ["PATH_INFO"] == FEED_PATH:
            return self._follow(environ, start_response)
        if environ["PATH_INFO"] == NEWS_PATH:
            return self._take_news(environ, start_response)
        if environ["PATH_INFO"] != PATH:
            start_response("404 Not Found", [])
            return [b""]
        directory = self.directory
        if directory.revision <= read_revision(environ.get("QUERY_STRING", "")):
            start_response("204 No Content", [])
            return [b""]
        start_response("200 OK", BINARY)
        return [encode(directory.build_snapshot())]

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
        self.add_news(profile)
        start_response("204 No Content", [])
        return [b""]


def read_revision(query):
    """Return the revision of a query, 0 if there is none."""
    text = query.removeprefix(AFTER)
    return int(text) if text.isdigit() else 0


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
        if node is None:
            return None
        connection = EndpointConnection(node.address)
        try:
            return self._call(connection, directory.revision)
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

    def _call(self, connection, revision):
        connection.open()
        connection.set_time_limit(ANSWER_SECONDS)
        connection.collect()
        connection.begin("GET", f"{PATH}?{AFTER}{revision}")
        connection.putheader("Host", connection.address)
        connection.putheader("Connection", "close")
        connection.endheaders()
        connection.flush()
        response = connection.read_head()
        body = response.read_short(LARGEST_ANSWER)
        return decode_snapshot(body) if response.status == 200 and body else None
