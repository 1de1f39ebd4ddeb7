"""A link to one address: it paces, delays and resets connections.

As a process, ``python3 link.py TARGET COUNT`` opens that many links to one address and
prints theirs as a JSON list. Each line that it reads is a JSON list with the numbers of
the links that are cut from then on: their connections are reset, new ones too.
"""

import asyncio
import json
import random
import socket
import struct
import sys

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
        Bandwidth of each connection towards the node; 0 for no limit.
    """

    def __init__(self, target, segment_bytes=1460, bytes_per_s=125_000.0):
        self.target = target
        self.segment_bytes = segment_bytes
        self.bytes_per_s = bytes_per_s
        self.connections = {}
        self.is_cut = False
        self.address = ""

    async def start(self):
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self.pass_on, "127.0.0.1", 0, backlog=1024)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def pass_on(self, reader, writer):
        """Serve one connection."""
        if self.is_cut:
            reset_connection(writer)
            return
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
            if is_paced and self.bytes_per_s:
                await asyncio.sleep(len(data) / self.bytes_per_s)
            writer.write(data)
            await writer.drain()
        writer.close()

    def reset(self, share, rng=random):
        """Reset a share of the open connections; return their number."""
        count = round(share * len(self.connections))
        for key in rng.sample(list(self.connections), count):
            for side in self.connections[key]:
                reset_connection(side)
        return count


def reset_connection(writer):
    """Close a connection by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def main():
    """Serve until the end of the input."""
    links = [Link(sys.argv[1], 1 << 16, 0) for _ in range(int(sys.argv[2]))]
    for link in links:
        await link.start()
    print(json.dumps([link.address for link in links]), flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    async for line in reader:
        cut = json.loads(line)
        for number, link in enumerate(links):
            link.is_cut = number in cut
            if link.is_cut:
                link.reset(1.0)


if __name__ == "__main__":
    asyncio.run(main())
