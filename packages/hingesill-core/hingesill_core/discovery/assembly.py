"""Builds the services that routing uses from a directory."""

from msgspec import Struct, field

from hingesill_core.configuration.services import (
    Endpoint,
    ProbeBudget,
    SendBudget,
    Service,
)
from hingesill_core.routing.loadqueries import FRESH_REPORT_POLICY

__all__ = ["ServiceRules", "build_services"]

# Processing time of an endpoint for one probe; load queries are answered at once.
PROBE_COST_SECONDS = 0.001


class ServiceRules(Struct, frozen=True):
    """Rules of the operator's settings for all discovered services.

    Parameters
    ----------
    probes_per_second : float
        Probes per endpoint and second by the whole fleet.
    probe_window : float
        Window over which probes are counted, in seconds.
    sends : SendBudget
        Extra sends per request.
    queue_limit : int
        Requests of a service that may be queued at a node.
    regions : dict
        Region by data centre.
    """

    probes_per_second: float
    probe_window: float
    sends: SendBudget
    queue_limit: int
    regions: dict[str, str] = field(default_factory=dict)


def build_services(directory, rules):
    """Return the services of a directory by name, with their endpoints.

    Notes
    -----
    Leaving endpoints and endpoints in evacuated data centres are left out: they receive
    no new requests, load queries or probes, and idle connections to them are closed.
    Requests in flight there are completed.
    """
    if directory.declared is None:
        return {}
    members = {service.name: [] for service in directory.declared.services}
    for record in directory.endpoints.values():
        if record.service in members and accepts_new_requests(record, directory):
            members[record.service].append(record)
    return {
        service.name: build_service(
            service,
            members[service.name],
            directory.declared.routes,
            rules,
            early_refusal=directory.declared.organisations is not None,
        )
        for service in directory.declared.services
    }


def accepts_new_requests(record, directory):
    """Return whether an endpoint may receive new requests."""
    return not record.leaving and record.data_centre not in directory.evacuated


def build_service(declared, records, routes, rules, early_refusal=False):
    """Return one service with its discovered endpoints."""
    records = sorted(records, key=lambda record: record.instance)
    return Service(
        name=declared.name,
        policy=FRESH_REPORT_POLICY,
        endpoints=tuple(
            build_endpoint(declared, record, rules.regions) for record in records
        ),
        routes=tuple(route for route in routes if routes_to(route, declared.name)),
        probes=ProbeBudget(
            per_second=rules.probes_per_second * len(records),
            window=rules.probe_window,
            capacity_share=1.0,
            cost=PROBE_COST_SECONDS,
            path=declared.health_path,
            pooled=True,
        ),
        sends=rules.sends,
        queue_limit=rules.queue_limit,
        places=0,
        warm_up_rate=declared.warm_up_rate,
        early_refusal=early_refusal,
    )


def build_endpoint(declared, record, regions):
    """Return an endpoint as routing uses it."""
    return Endpoint(
        address=record.address,
        data_centre=record.data_centre,
        slots=record.slots,
        connections=declared.connections,
        instance=record.instance,
        warm_in=record.warm_in,
        region=regions.get(record.data_centre, ""),
        born=record.born,
    )


def routes_to(route, service):
    """Return whether a route sends requests to a service."""
    if route.parts:
        return any(part.service == service for part in route.parts)
    return route.service == service
