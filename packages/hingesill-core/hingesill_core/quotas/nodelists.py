"""Comparison of the node lists of two nodes, by checksums of addresses."""

from zlib import crc32

__all__ = [
    "compute_checksum",
    "compute_list_checksum",
    "count_parts",
    "encode_part",
    "find_unlisted",
    "is_in_part",
]

CHECKSUM_BYTES = 4
# Mean number of nodes in a part of a list. With the other content, a datagram has less
# than 1,400 bytes.
MEAN_PART_NODES = 128


def compute_checksum(node):
    """Return the checksum of the address of a node."""
    host, port = node
    return crc32(f"{host}:{port}".encode())


def compute_list_checksum(nodes):
    """Return a checksum of a list of nodes that is not 0."""
    text = ",".join(f"{host}:{port}" for host, port in sorted(nodes))
    return crc32(text.encode()) or 1


def count_parts(nodes):
    """Return the number of parts into which a list of nodes is divided."""
    return max(1, -(-len(nodes) // MEAN_PART_NODES))


def is_in_part(node, part, parts):
    """Return whether a node belongs to a part."""
    return compute_checksum(node) % parts == part


def encode_part(nodes, part, parts):
    """Return the checksums of the nodes of a part."""
    checksums = map(compute_checksum, nodes)
    return b"".join(
        checksum.to_bytes(CHECKSUM_BYTES)
        for checksum in checksums
        if checksum % parts == part
    )


def find_unlisted(nodes, listed, part, parts):
    """Return the nodes of a part whose checksums are not in `listed`."""
    length = len(listed) - len(listed) % CHECKSUM_BYTES
    known = {
        int.from_bytes(listed[begin : begin + CHECKSUM_BYTES])
        for begin in range(0, length, CHECKSUM_BYTES)
    }
    return [
        node
        for node in nodes
        if is_in_part(node, part, parts) and compute_checksum(node) not in known
    ]
