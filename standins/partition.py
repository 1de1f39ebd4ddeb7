"""Run a program whose connections to chosen addresses can be cut.

Usage: ``python partition.py FILE PROGRAM ARGUMENT...``. FILE contains a JSON object
with ``mode`` and ``addresses``; the process that cuts the program off replaces it. It
is read again at most every `CHECK_SECONDS`.
"""

import errno
import json
import os
import runpy
import socket
import sys
import time
import weakref
from pathlib import Path

from eventlet.greenio import GreenSocket

__all__ = ["MODES", "Partition", "PartitionFile"]

# silent: nothing passes in either direction, and connection attempts hang. reset:
# connections are reset, and attempts refused. kept: open connections go on, and
# attempts are refused. dark: as kept, but attempts hang.
MODES = ("silent", "reset", "kept", "dark")
CHECK_SECONDS = 0.01
# Modes in which open connections do not carry data.
CUTS_OPEN = ("silent", "reset")
HANGS = ("silent", "dark")


class PartitionFile:
    """The file by which a test cuts one process off.

    Parameters
    ----------
    file : Path
        Read by the process.
    """

    def __init__(self, file):
        self.file = Path(file)
        self.restore()

    def wrap(self, program):
        """Return the interpreter's arguments that run a program under this file."""
        return [__file__, str(self.file), program]

    def cut(self, addresses, mode="silent"):
        """Cut the process off from addresses; it is in force on return."""
        if mode not in MODES:
            raise ValueError(f"mode {mode!r} is not one of {', '.join(MODES)}")
        self._write({"mode": mode, "addresses": list(addresses)})

    def restore(self):
        """Let all connections pass again."""
        self._write({"mode": "", "addresses": []})

    def _write(self, content):
        replacement = self.file.with_suffix(".new")
        replacement.write_text(json.dumps(content))
        replacement.replace(self.file)
        # Otherwise a request that is sent next may be cut off midway.
        time.sleep(CHECK_SECONDS)


class Partition:
    """Cuts the green sockets of this process.

    Parameters
    ----------
    path : str
        File written by a `PartitionFile`.

    Notes
    -----
    A silent connection drops what is sent and never delivers anything again, unlike
    TCP, which would deliver it after the partition.
    """

    def __init__(self, path):
        self._path = path
        self._checked_at = float("-inf")
        self._version = None
        self._mode = ""
        self._addresses = frozenset()
        self._sockets = weakref.WeakKeyDictionary()
        self._silenced = weakref.WeakSet()
        self._black_hole, self._waiting = open_black_hole()

    def install(self):
        """Replace methods of `GreenSocket`."""
        connect, send, recv = GreenSocket.connect, GreenSocket.send, GreenSocket.recv
        sendall = GreenSocket.sendall

        def cut_connect(sock, address):
            self._refresh()
            if self._is_cut(address):
                if self._mode not in HANGS:
                    raise ConnectionRefusedError(errno.ECONNREFUSED, "partitioned")
                address = self._black_hole.getsockname()
            result = connect(sock, address)
            self._sockets[sock] = address
            return result

        def cut_send(sock, data, flags=0):
            if self._is_silent(sock):
                return len(data)
            return send(sock, data, flags)

        def cut_sendall(sock, data, flags=0):
            if not self._is_silent(sock):
                return sendall(sock, data, flags)

        def cut_recv(sock, *arguments):
            self._is_silent(sock)
            return recv(sock, *arguments)

        GreenSocket.connect, GreenSocket.send = cut_connect, cut_send
        GreenSocket.sendall, GreenSocket.recv = cut_sendall, cut_recv

    def _is_cut(self, address):
        return "%s:%d" % address[:2] in self._addresses

    def _is_silent(self, sock):
        """Return whether a socket drops its data; apply a changed file first."""
        self._refresh()
        return sock in self._silenced

    def _refresh(self):
        now = time.monotonic()
        if now - self._checked_at < CHECK_SECONDS:
            return
        self._checked_at = now
        version = os.stat(self._path).st_mtime_ns
        if version == self._version:
            return
        self._version = version
        content = json.loads(Path(self._path).read_text())
        self._mode, self._addresses = content["mode"], frozenset(content["addresses"])
        if self._mode in CUTS_OPEN:
            self._cut_open()

    def _cut_open(self):
        """Silence or reset the open connections to the cut addresses."""
        for sock, address in list(self._sockets.items()):
            if not self._is_cut(address):
                continue
            if self._mode == "silent":
                self._silenced.add(sock)
                continue
            try:
                sock.fd.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def open_black_hole():
    """Return a listening socket and the clients that fill its queue.

    Notes
    -----
    A full queue drops further connection attempts.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    waiting = [socket.socket() for _ in range(4)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    return listener, waiting


def main():
    """Run the program as the main module."""
    _, path, program, *arguments = sys.argv
    Partition(path).install()
    sys.argv = [program, *arguments]
    # Modules beside the program must be importable, as when it is run directly.
    sys.path[0] = str(Path(program).parent)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
