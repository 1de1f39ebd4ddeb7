"""Encodes, decodes and validates datagrams on the quotas of organisations."""

from msgspec import DecodeError
from msgspec.msgpack import Decoder, encode

from hingesill_core.quotas.messages import (
    QuotaProbe,
    QuotaProbeReply,
    QuotaRelay,
    QuotaReply,
    QuotaReport,
)
from hingesill_core.quotas.relaying import PATH_LENGTH

__all__ = ["QUOTA_PREFIX", "decode_message", "encode_message"]

MAX_NAME_LENGTH = 256
# Largest identifier or sequence number, and largest number of tokens or rate.
MAX_NUMBER = 2**63 - 1
MAX_AMOUNT = 1e12
# Maximum validity of a lease and maximum wait for a token, in seconds.
MAX_SECONDS = 3600.0
KINDS = (QuotaReport, QuotaReply, QuotaProbe, QuotaProbeReply)
DECODER = Decoder(QuotaReport | QuotaReply | QuotaProbe | QuotaProbeReply | QuotaRelay)
NAME = "organisation"
LISTS = ("left", "kept", "unknown", "unlisted")
LISTED = "listed"
# Bytes of checksums in a probe at most.
MAX_LISTED_BYTES = 1024
# Nodes that a probe names at most, and the length of their IP numbers.
MAX_NODES = 64
MAX_HOST_LENGTH = 64
MAX_PORT = 65535
NUMBERS = ("link", "number", "seen", "node_list", "part", "parts")
AMOUNTS = ("taken", "held", "share", "demand", "wanted", "tokens")
TIMES = ("seconds", "retry_after", "listed_seconds")
FLAGS = ("is_accepted",)
# First byte of each message on quotas; other datagrams between nodes have another one.
QUOTA_PREFIX = b"Q"


def list_limits(kind):
    """Return the name and the maximum of each numeric field of a message type."""
    limits = {
        **dict.fromkeys(NUMBERS, MAX_NUMBER),
        **dict.fromkeys(AMOUNTS, MAX_AMOUNT),
        **dict.fromkeys(TIMES, MAX_SECONDS),
        **dict.fromkeys(FLAGS, True),
    }
    others = (NAME, LISTED, *LISTS)
    names = [name for name in kind.__struct_fields__ if name not in others]
    return [(name, limits[name]) for name in names]


# A field without a maximum raises a KeyError when this module is loaded.
LIMITS = {kind: list_limits(kind) for kind in KINDS}


def encode_message(message):
    """Return the bytes of a message."""
    return QUOTA_PREFIX + encode(message)


def decode_message(data):
    """Return the message of a datagram.

    Raises
    ------
    ValueError
        If the datagram is no message on quotas or a value is out of range.
    """
    if data[:1] != QUOTA_PREFIX:
        raise ValueError("not a quota message: wrong first byte")
    try:
        message = DECODER.decode(data[1:])
    except (DecodeError, RecursionError) as error:
        raise ValueError(f"not a quota message: {error}") from error
    check_values(message)
    return message


def check_values(message):
    """Raise ValueError if a value of a message is out of range."""
    if isinstance(message, QuotaRelay):
        if len(message.path) != PATH_LENGTH:
            raise ValueError(f"a path of {len(message.path)} nodes")
        check_addresses(message.path)
        message = message.message
    length = len(getattr(message, NAME, ""))
    has_no_name = isinstance(message, (QuotaProbe, QuotaProbeReply))
    if length > MAX_NAME_LENGTH or not (length or has_no_name):
        raise ValueError(f"organisation has {length} characters")
    for name, limit in LIMITS[type(message)]:
        value = getattr(message, name)
        # A value that is not a number fails this comparison.
        if not 0 <= value <= limit:
            raise ValueError(f"{name} of {value} is out of range")
    check_lists(message)


def check_lists(message):
    """Raise ValueError if a list of nodes or positions is too long or invalid."""
    left, kept, unknown, unlisted = (getattr(message, name, ()) for name in LISTS)
    if max(len(left), len(kept), len(unknown), len(unlisted)) > MAX_NODES:
        raise ValueError(f"more than {MAX_NODES} nodes")
    check_addresses((*left, *unlisted))
    for position in (*kept, *unknown):
        if not 0 <= position < MAX_NODES:
            raise ValueError(f"position {position} is out of range")
    length = len(getattr(message, LISTED, b""))
    if length > MAX_LISTED_BYTES:
        raise ValueError(f"{length} bytes of checksums exceed {MAX_LISTED_BYTES}")
    if getattr(message, "parts", 1) < 1:
        raise ValueError("a list of nodes has at least one part")


def check_addresses(nodes):
    """Raise ValueError if one of these is not the address of a node."""
    for host, port in nodes:
        if len(host) > MAX_HOST_LENGTH or not 0 < port <= MAX_PORT:
            raise ValueError(f"{host[:MAX_HOST_LENGTH]}:{port} is not an address")
