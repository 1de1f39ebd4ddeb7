"""A follower's side: the stream of a relay."""

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.datapath.transport import TRANSPORT_ERRORS
from hingesill_node.discovery.frames import FrameReader

__all__ = ["FEED_PATH", "RelayClient", "RelayLost"]

FEED_PATH = "/directory/feed"
# A relay answers at once; one that is frozen takes the connection and says
# nothing more.
RESPONSE_TIMEOUT_SECONDS = 0.3
# Heartbeats come every 0.4 s; after three that are missing the relay is given up.
# A change must be in force within 2 s, so the rest is for asking elsewhere.
STREAM_TIMEOUT_SECONDS = 1.2
OK = 200


class RelayLost(Exception):
    """A relay did not take this node, fell silent or ended its stream.

    Parameters
    ----------
    reason : str
        For logs.
    lives : bool
        It said so itself, so it has lost the store and will follow it again.
    """

    def __init__(self, reason, is_alive=False):
        super().__init__(reason)
        self.is_alive = is_alive


class RelayClient:
    """Reads the streams of relays, one at a time."""

    def follow(self, relay):
        """Yield the Frames of a relay as they come, without an end.

        Parameters
        ----------
        relay : NodeRecord
            Whom to follow.

        Raises
        ------
        RelayLost
            Once the relay fails in any way.
        """
        connection = EndpointConnection(relay.address)
        try:
            yield from self._read(connection)
            raise RelayLost("the stream ended", is_alive=True)
        except (ConnectFailed, ValueError, *TRANSPORT_ERRORS) as error:
            raise RelayLost(f"{type(error).__name__} {error}") from error
        finally:
            connection.close()

    def _read(self, connection):
        connection.open()
        connection.set_time_limit(RESPONSE_TIMEOUT_SECONDS)
        connection.collect()
        connection.begin("GET", FEED_PATH)
        connection.putheader("Host", connection.address)
        connection.endheaders()
        connection.flush()
        response = connection.read_head()
        if response.status != OK:
            raise RelayLost(f"status {response.status}", is_alive=True)
        connection.set_time_limit(STREAM_TIMEOUT_SECONDS)
        reader = FrameReader()
        for data in response.read_body():
            yield from reader.feed(data)
