"""A TCP proxy whose open connections can go silent while new ones work."""

import asyncio
import time

__all__ = ["Proxy"]


class Link:
    """One connection through the proxy."""

    def __init__(self):
        self.used_at = time.monotonic()
        self.is_silent = False
        self.task = None
        self.writers = ()


class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    target : str
        ``IP:PORT``.
    """

    def __init__(self, target):
        self.target = target
        self.links = set()
        self.address = ""
        self.server = None
        self.is_cut = False
        self.is_resetting = False

    async def start(self, host="127.0.0.1", port=0):
        """Listen on an address."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def silence(self, idle_seconds=0.0):
        """Drop all further bytes of idle connections; return their number."""
        now = time.monotonic()
        chosen = [x for x in self.links if now - x.used_at >= idle_seconds]
        for link in chosen:
            link.is_silent = True
        return len(chosen)

    def cut(self):
        """Let no byte pass any more, and answer no new connection."""
        self.is_cut = True
        self.silence()

    def reset(self):
        """Reset all connections, and each new one at once."""
        self.is_resetting = True
        for link in self.links:
            for writer in link.writers:
                writer.transport.abort()

    def restore(self):
        """Pass new connections on again."""
        self.is_cut = self.is_resetting = False

    async def _serve(self, reader, writer):
        if self.is_resetting:
            writer.transport.abort()
            return
        if self.is_cut:
            await reader.read()
            writer.close()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = Link()
        # The loop itself has only a weak reference to its tasks.
        link.task = asyncio.current_task()
        link.writers = (writer, far_writer)
        self.links.add(link)
        await asyncio.gather(
            self._pass(link, reader, far_writer), self._pass(link, far_reader, writer)
        )
        self.links.discard(link)

    async def _pass(self, link, reader, writer):
        try:
            while data := await reader.read(65536):
                if not link.is_silent:
                    link.used_at = time.monotonic()
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not link.is_silent:
            writer.close()
