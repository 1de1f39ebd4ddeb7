"""Paths of reports to a coordinator that the reporting node does not reach."""

from hingesill_core.quotas.messages import QuotaRelay, QuotaReport
from hingesill_core.ratelimits.coordinators import compute_weight

__all__ = ["PATH_LENGTH", "find_next", "find_path"]

PATH_LENGTH = 4


def find_path(name, sender, own, quorum, earlier, following, now):
    """Return the path of a report to the coordinator of other nodes, or None.

    Parameters
    ----------
    name : str
        Name of the organisation.
    sender, own : tuple
        Addresses of the reporting node and of this one.
    quorum : Quorum
        Has the nodes which answered that an earlier coordinator is alive, or that they
        do not list this one.
    earlier : collection of tuple
        Nodes that come before this one as the coordinator.
    following : tuple or None
        The node that is the coordinator without this one.
    now : float
        Seconds of the node's clock.
    """
    recent = quorum.list_recent(now)
    paths = [
        (node, min(kept, key=lambda node: compute_weight(name, node)))
        for node, outcome in recent
        if (kept := outcome.kept.intersection(earlier))
    ]
    if not paths and following is not None:
        paths = [
            (node, following)
            for node, outcome in recent
            if outcome.has_answered and not outcome.is_accepted and node != following
        ]
    if not paths:
        return None
    return (sender, own, *quorum.rng.choice(paths))


def find_next(relay, sender, own):
    """Return the node to which to pass on a QuotaRelay; None if it is for this one.

    Raises
    ------
    ValueError
        If it did not come by its path.
    """
    if not isinstance(relay, QuotaRelay) or len(relay.path) != PATH_LENGTH:
        raise ValueError("a relayed message without a path")
    _, substitute, middle, coordinator = relay.path
    steps = [(substitute, middle), (middle, coordinator), (coordinator, None)]
    if not isinstance(relay.message, QuotaReport):
        steps = [(coordinator, middle), (middle, substitute), (substitute, None)]
    for (source, node), (_, following) in zip(steps, steps[1:]):
        if (source, node) == (sender, own):
            return following
    raise ValueError("a relayed message that left its path")
