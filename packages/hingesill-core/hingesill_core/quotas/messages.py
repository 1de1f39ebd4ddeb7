"""Messages between nodes about the quotas of organisations."""

from msgspec import Struct

__all__ = [
    "QuotaProbe",
    "QuotaProbeReply",
    "QuotaRelay",
    "QuotaReply",
    "QuotaReport",
]


class QuotaReport(Struct, frozen=True, array_like=True, tag=1):
    """A node's report to the coordinator of an organisation.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    link : int
        Identifies the node's counters and its current coordinator; another value means
        that the node or its choice of the coordinator is new.
    number : int
        Sequence number of the reports of this link.
    seen : int
        Number of the last report whose reply the node has applied.
    taken : float
        Tokens that the node has got under this link and has not returned.
    held : float
        Unused tokens at the node.
    share : float
        Requests per second of the node's valid lease; 0 without one.
    seconds : float
        Remaining validity of that lease.
    demand : float
        Requests per second that the node has received recently.
    wanted : int
        Tokens for which requests are waiting.
    node_list : int
        Checksum of the node's list of nodes; 0 if leases of nodes that left this list
        may be valid, which the coordinator may not know of.
    """

    organisation: str
    link: int
    number: int
    seen: int = 0
    taken: float = 0.0
    held: float = 0.0
    share: float = 0.0
    seconds: float = 0.0
    demand: float = 0.0
    wanted: int = 0
    node_list: int = 0


class QuotaReply(Struct, frozen=True, array_like=True, tag=2):
    """A coordinator's reply to a report.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    link, number : int
        Those of the report.
    share : float
        Requests per second that the node may use on its own; 0 for no lease.
    seconds : float
        Validity of the lease from the time at which the report was sent.
    tokens : int
        Tokens for waiting requests, those of earlier replies that the report does not
        confirm included.
    retry_after : float
        Seconds until the next token is available; 0 if all wanted tokens were given.
    """

    organisation: str
    link: int
    number: int
    share: float = 0.0
    seconds: float = 0.0
    tokens: int = 0
    retry_after: float = 0.0


class QuotaProbe(Struct, frozen=True, array_like=True, tag=3):
    """A coordinator's question whether a node accepts it.

    Parameters
    ----------
    number : int
        Sequence number of the sender's probes.
    organisation : str
        Organisation of which the sender has become the coordinator; the receiver
        answers with a QuotaReport instead of a QuotaProbeReply. Empty otherwise.
    left : tuple of tuple
        IP numbers and ports of nodes that are not in the sender's list of nodes, of
        which it asks.
    node_list : int
        Checksum of the sender's list of nodes.
    listed : bytes
        Checksums of the nodes that the sender knows, in one part of them; see
        `hingesill_core.quotas.nodelists`.
    part, parts : int
        Index of that part and number of parts.
    """

    number: int
    organisation: str = ""
    left: tuple[tuple[str, int], ...] = ()
    node_list: int = 0
    listed: bytes = b""
    part: int = 0
    parts: int = 1


class QuotaProbeReply(Struct, frozen=True, array_like=True, tag=4):
    """The answer to a probe, or the notice of an earlier coordinator.

    Parameters
    ----------
    number : int
        Sequence number of the probe; 0 for a notice.
    is_accepted : bool
        Whether the node list of the answering node has the coordinator.
    listed_seconds : float
        Seconds since the coordinator joined that list; 0 if it was in it when the node
        started, or joined long ago.
    kept, unknown : tuple of int
        Positions in the probe's `left` of the nodes that the list of the answering node
        has, and which answer or may do so.
    unlisted : tuple of tuple
        IP numbers and ports of nodes of that list which the sender of the probe does
        not know.
    """

    number: int
    is_accepted: bool
    listed_seconds: float = 0.0
    kept: tuple[int, ...] = ()
    unknown: tuple[int, ...] = ()
    unlisted: tuple[tuple[str, int], ...] = ()


class QuotaRelay(Struct, frozen=True, array_like=True, tag=5):
    """A report to a coordinator that the reporting node does not reach, or its reply.

    Parameters
    ----------
    message : QuotaReport or QuotaReply
        The report or reply.
    path : tuple of tuple
        IP numbers and ports of the reporting node, of the node that it takes for the
        coordinator, of a node that reaches both parts, and of the coordinator.
    """

    message: QuotaReport | QuotaReply
    path: tuple[tuple[str, int], ...]
