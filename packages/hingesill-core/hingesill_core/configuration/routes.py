"""Detection of routes that two services declare, over all known declarations."""

import json
from functools import lru_cache

from hingesill_core.configuration.log import is_organisation
from hingesill_core.findings import Findings

__all__ = ["find_route_conflicts"]

MAX_CACHED_DECLARATIONS = 4096


@lru_cache(MAX_CACHED_DECLARATIONS)
def list_route_keys(document):
    """Return the (host, method, path) triples of the routes in a declaration.

    Notes
    -----
    The result is cached, so that a change of one declaration does not parse all others
    again.
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
        Validated declarations.

    Returns
    -------
    Findings
    """
    findings = Findings()
    changed = {change.service for change in changes}
    owners = {}
    for name, versioned in replica.services.items():
        if is_organisation(name) or versioned.document is None:
            continue
        if name not in changed:
            for key in list_route_keys(versioned.document):
                owners[key] = name
    for change in changes:
        if change.document is None or is_organisation(change.service):
            continue
        for key in list_route_keys(change.document):
            owner = owners.setdefault(key, change.service)
            if owner != change.service:
                host, method, path = key
                findings.add(
                    f"{change.service}.routes",
                    f"{method} {host}{path} is already declared by {owner}",
                )
    return findings
