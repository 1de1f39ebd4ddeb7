"""Routes that two services claim: checked against everything that is held."""

import json
from functools import lru_cache

from hingesill_core.findings import Findings

__all__ = ["find_route_conflicts"]

MOST_DECLARATIONS = 4096


@lru_cache(MOST_DECLARATIONS)
def list_claims(document):
    """Return the (host, method, path) triples that a declaration claims.

    Notes
    -----
    Kept, so that a change of one declaration doesn't have all others parsed again.
    """
    return tuple(
        (route.get("host", ""), route["method"], route["path"].rstrip("/") or "/")
        for route in json.loads(document)["routes"]
    )


def find_route_conflicts(replica, changes):
    """Return a finding for each route that another service has already.

    Parameters
    ----------
    replica : Replica
        The state before the changes.
    changes : tuple of ServiceChange
        Checked declarations.

    Returns
    -------
    Findings
    """
    findings = Findings()
    changed = {change.service for change in changes}
    owners = {}
    for name, held in replica.services.items():
        if name not in changed and held.document is not None:
            for claim in list_claims(held.document):
                owners[claim] = name
    for change in changes:
        if change.document is None:
            continue
        for claim in list_claims(change.document):
            owner = owners.setdefault(claim, change.service)
            if owner != change.service:
                host, method, path = claim
                findings.add(
                    f"{change.service}.routes",
                    f"{method} {host}{path} belongs to {owner}",
                )
    return findings
