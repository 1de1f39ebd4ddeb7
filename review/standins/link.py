"""A link between clients and one node: it paces, delays and resets connections."""

import asyncio
import random
import socket
import struct

__all__ = ["Link"]

RESET = struct.pack("ii", 1, 0)


class Link:
    """A listener that passes the bytes of each connection on to an address.

    Parameters
    ----------
    target : str
        Address of the node.
    segment_bytes : int
        Largest part that is passed on at once.
    bytes_per_s : float
        Bandwidth of each connection towards the node.
    """

    def __init__(self, target, segment_bytes=1460, bytes_per_s=125_000.0):
        self.target = target
        self.segment_bytes = segment_bytes
        self.bytes_per_s = bytes_per_s
        self.connections = {}
        self.address = ""

    async def start(self):
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self.pass_on, "127.0.0.1", 0, backlog=1024)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def pass_on(self, reader, writer):
        """Serve one connection."""
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        for side in (writer, far_writer):
            sock = side.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        key = object()
        self.connections[key] = (writer, far_writer)
        try:
            await asyncio.gather(
                self.copy(reader, far_writer, True), self.copy(far_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(key, None)
            writer.close()
            far_writer.close()

    async def copy(self, reader, writer, is_paced=False):
        """Pass on one direction until its end."""
        while True:
            data = await reader.read(self.segment_bytes)
            if not data:
                break
            if is_paced:
                await asyncio.sleep(len(data) / self.bytes_per_s)
            writer.write(data)
            await writer.drain()
        writer.close()

    def reset(self, share, rng=random):
        """Reset a share of the open connections; return their number."""
        count = round(share * len(self.connections))
        for key in rng.sample(list(self.connections), count):
            for side in self.connections[key]:
                sock = side.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                side.transport.abort()
        return count
