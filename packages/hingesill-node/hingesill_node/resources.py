"""Limits of what clients may use, derived from the memory and descriptors of the VM."""

import os
import resource

from msgspec import Struct

__all__ = [
    "ServerLimits",
    "compute_control_bytes",
    "compute_limits",
    "compute_request_bytes",
]

# Descriptors that are left to files.
FILE_DESCRIPTORS = 200
# Memory of a connection that sends nothing.
CONNECTION_BYTES = 16 * 1024
# The kernel takes as much again for unread bytes as they are.
UNREAD_COPIES = 2
MIN_CONNECTIONS = 4
# Part of the memory for requests and unread answers, all together.
REQUEST_MEMORY_SHARE = 0.25
# Part of the memory for requests on the control address, and on the admin address.
CONTROL_MEMORY_SHARE = 0.05
MAX_CONNECTIONS = 10_000
MEBIBYTE = 1024 * 1024


class Share(Struct, frozen=True):
    """Parts of the VM that the connections to one address may take.

    Parameters
    ----------
    descriptors, memory : float
        Parts of the descriptors without those of files, and of the memory.
    """

    descriptors: float
    memory: float


# A third of the descriptors, and more than half of the memory, are left for endpoints,
# the store and other work.
SHARES = {
    "callers": Share(0.45, 0.25),
    "forwarded": Share(0.08, 0.05),
    "control": Share(0.12, 0.06),
    "admin": Share(0.02, 0.01),
}


class ServerLimits(Struct, frozen=True):
    """Limits of one listening address.

    Parameters
    ----------
    connections : int
        Maximum number of open connections.
    head_bytes : int
        Maximum size of a request's head, including empty lines before it.
    """

    connections: int = MAX_CONNECTIONS
    head_bytes: int = 64 * 1024


def compute_limits(settings):
    """Return the ServerLimits of each address for validated settings."""
    memory = find_memory_bytes(settings)
    descriptors = settings.max_fds or read_descriptor_limit()
    unread = settings.receive_buffer_bytes
    return {
        address: ServerLimits(
            compute_connections(share, memory, descriptors, unread),
            settings.max_head_bytes,
        )
        for address, share in SHARES.items()
    }


def compute_connections(share, memory, descriptors, unread):
    """Return the number of connections that fit into a Share of the VM.

    Parameters
    ----------
    share : Share
        The address's share.
    memory : int
        Memory of the process in bytes.
    descriptors : int
        Descriptors of the process.
    unread : int
        Bytes that may lie unread on a connection.
    """
    connection = CONNECTION_BYTES + UNREAD_COPIES * unread
    by_memory = share.memory * memory / connection
    by_descriptors = share.descriptors * (descriptors - FILE_DESCRIPTORS)
    fitting = int(min(by_memory, by_descriptors, MAX_CONNECTIONS))
    return max(MIN_CONNECTIONS, fitting)


def compute_request_bytes(settings):
    """Return the bytes that requests and unread answers may take, all together."""
    return int(REQUEST_MEMORY_SHARE * find_memory_bytes(settings))


def compute_control_bytes(settings):
    """Return the bytes that requests on the control or the admin address may take."""
    return int(CONTROL_MEMORY_SHARE * find_memory_bytes(settings))


def find_memory_bytes(settings):
    """Return the bytes of memory that the process may use."""
    if settings.memory_mb:
        return settings.memory_mb * MEBIBYTE
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def read_descriptor_limit():
    """Return how many descriptors the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_CONNECTIONS * 4 if soft == resource.RLIM_INFINITY else soft
