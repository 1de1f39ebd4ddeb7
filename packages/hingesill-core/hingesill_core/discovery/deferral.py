"""How long updates of the store are deferred, for each kind of record.

A store that was unavailable may have lost entries of running processes, and a store
that was restored from an older copy also reports entries that were removed after the
copy was made. Running processes write their entries again.
"""

__all__ = [
    "EVACUATION_DEFERRAL_SECONDS",
    "MISSING_ENDPOINT_SECONDS",
    "MISSING_NODE_SECONDS",
    "OLDER_INCARNATION_SECONDS",
    "REVIVED_ENDPOINT_SECONDS",
    "compute_endpoint_deferral",
    "compute_evacuation_deferral",
    "compute_node_deferral",
]

# Running endpoints whose entries lapsed while the store was unavailable write them
# again within about 2 s of its return; entries missing after that are removed. A
# quarter of a second is added for network delay.
MISSING_ENDPOINT_SECONDS = 2.25
# An entry with an earlier start than the known one may be a late write of the previous
# incarnation; the newer one then writes its own entry again with its next heartbeat. If
# the entry still stands after two heartbeats, the endpoint's clock has stepped back.
OLDER_INCARNATION_SECONDS = 3.0
# A dead endpoint whose entry a restored copy brought back sends no heartbeat, so the
# entry lapses three heartbeats of 1.5 s after the store's return. An entry that still
# stands after that and the allowance for a missing endpoint belongs to a running one.
REVIVED_ENDPOINT_SECONDS = 3 * 1.5 + MISSING_ENDPOINT_SECONDS
# The operator writes evacuations that a restored copy lacks again, and removes again
# those that it revived. An evacuation that is not written again must end at some time.
EVACUATION_DEFERRAL_SECONDS = 10.0
# Nodes register again over some seconds after a restore. Until then the fleet's size is
# kept, so that shares of budgets do not grow and relays keep their role.
MISSING_NODE_SECONDS = 15.0


def compute_endpoint_deferral(known, removed, reported, returned_at, now, is_restored):
    """Return until when an update of an endpoint is deferred, or None.

    Parameters
    ----------
    known : EndpointRecord or None
        The known record.
    removed : EndpointRecord or None
        The record that was removed in the last minute.
    reported : EndpointRecord or None
        The record that the store reports; None for a removal.
    returned_at, now : float
        When the store last became available again, and the current time, in seconds of
        the node's clock.
    is_restored : bool
        The report may come from an older copy of the store.
    """
    if reported is None:
        return compute_missing_deferral(
            known, returned_at + MISSING_ENDPOINT_SECONDS, now
        )
    if known is not None and 0 < reported.born < known.born:
        return now + OLDER_INCARNATION_SECONDS
    if is_restored and is_superseded(known, removed, reported):
        return now + REVIVED_ENDPOINT_SECONDS
    return None


def compute_missing_deferral(known, deadline, now):
    """Return until when an endpoint's removal is deferred, or None.

    Notes
    -----
    A removal is deferred soon after the store's return, unless the endpoint is leaving.
    """
    is_deferred = known is not None and not known.leaving and now < deadline
    return deadline if is_deferred else None


def is_superseded(known, removed, reported):
    """Return whether the endpoint of a copy's entry was removed or drained since."""
    if known is not None:
        return known.leaving and not reported.leaving and known.born == reported.born
    return removed is not None and reported.born <= removed.born


def compute_evacuation_deferral(known, removed, reported, now, is_restored):
    """Return until when an update of an evacuation is deferred, or None.

    Notes
    -----
    Evacuations requested after the copy was made stay in force, and those withdrawn
    after it do not start again, until the operator writes them again.
    """
    if not is_restored:
        return None
    is_lost = known is not None and reported is None
    is_revived = known is None and reported is not None and reported == removed
    return now + EVACUATION_DEFERRAL_SECONDS if is_lost or is_revived else None


def compute_node_deferral(known, reported, now, is_restored):
    """Return until when an update of a node is deferred, or None."""
    is_lost = is_restored and known is not None and reported is None
    return now + MISSING_NODE_SECONDS if is_lost else None
