"""Which process has the other end of a loopback connection."""

import os
import socket
import struct
from pathlib import Path

__all__ = ["owns"]

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
HEADER = struct.Struct("=IHHII")
# Family, protocol, two unused bytes and states; then ports, addresses, interface and
# cookie of the connection.
REQUEST = struct.Struct("=BBBBI")
CONNECTION = struct.Struct("!HH16s16sIII")
ANY_COOKIE = 0xFFFFFFFF
ALL_STATES = 0xFFFFFFFF
LOOPBACK = socket.inet_aton("127.0.0.1").ljust(16, b"\0")
# Position of the inode in an answer, after its header.
INODE_OFFSET = HEADER.size + 68
MAX_ANSWER_BYTES = 8192


def ask_kernel(port, peer_port):
    """Return the inode of the socket with a local and a remote port; 0 if unknown."""
    body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
    ends = (peer_port, port, LOOPBACK, LOOPBACK, 0, ANY_COOKIE, ANY_COOKIE)
    body += CONNECTION.pack(*ends)
    size = HEADER.size + len(body)
    header = HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        sock.settimeout(1.0)
        sock.send(header + body)
        answer = sock.recv(MAX_ANSWER_BYTES)
    if HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]


def read_table(port, peer_port):
    """Return the same from the table of all connections, which takes longer."""
    ends = f" 0100007F:{peer_port:04X} 0100007F:{port:04X} "
    _, _, rest = Path("/proc/net/tcp").read_text().partition(ends)
    return int(rest.split("\n")[0].split()[6]) if rest else 0


def owns(process, port, peer_port):
    """Return whether a process of this test has the client's end of a connection."""
    try:
        inode = ask_kernel(port, peer_port)
    except OSError:
        inode = 0
    name = f"socket:[{inode or read_table(port, peer_port)}]"
    for file in Path(f"/proc/{process.pid}/fd").iterdir():
        try:
            if os.readlink(file) == name:
                return True
        except OSError:
            continue
    return False
