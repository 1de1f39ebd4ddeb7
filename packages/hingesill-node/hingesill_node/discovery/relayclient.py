"""Client for the change feed of a relay."""

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.datapath.transport import TRANSPORT_ERRORS
from hingesill_node.discovery.frames import FrameReader

__all__ = ["FEED_PATH", "RelayClient", "RelayLost"]

FEED_PATH = "/directory/feed"
# A relay answers at once; a frozen relay accepts the connection but does not respond.
RESPONSE_TIMEOUT_SECONDS = 0.3
# Heartbeats are sent every 0.4 s; after three missing ones the relay is abandoned. A
# change must be in force within 2 s, and the remaining time is for another source.
STREAM_TIMEOUT_SECONDS = 1.2
OK = 200


class RelayLost(Exception):
    """A relay refused this node, stopped sending, or ended its stream.

    Parameters
    ----------
    reason : str
        The reason, for logs.
    is_alive : bool
        The relay refused or ended the stream itself, so it has lost the store and will
        follow it again.
    """

    def __init__(self, reason, is_alive=False):
        super().__init__(reason)
        self.is_alive = is_alive


class RelayClient:
    """Reads the streams of relays, one at a time."""

    def follow(self, relay):
        """Yield the Frames of a relay as they arrive, without end.

        Parameters
        ----------
        relay : NodeRecord
            The relay to follow.

        Raises
        ------
        RelayLost
            When the relay fails in any way.
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
