"""From a directory to the services and routes that decisions use."""

from msgspec import Struct, field

from hingesill_core.configuration.services import (
    Endpoint,
    ProbeBudget,
    SendBudget,
    Service,
)
from hingesill_core.routing.loadqueries import FRESH_REPORT_POLICY

__all__ = ["ServiceRules", "build_services"]

# Seconds of an endpoint that one probe takes; asking replies at once.
PROBE_COST = 0.001


class ServiceRules(Struct, frozen=True):
    """What the operator's settings say for all services that are found.

    Parameters
    ----------
    probes_per_second : float
        Probes an endpoint and second, over the fleet.
    probe_window : float
        Seconds over which they are counted.
    sends : SendBudget
        Extra sends a request.
    queue_limit : int
        Requests of a service that wait at a node.
    regions : dict
        The region of each data centre.
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
    Endpoints that leave or whose data centre is evacuated are not among them: they get
    no new work, no question and no probe, and idle connections to them are closed. What
    is under way there is finished.
    """
    if directory.declared is None:
        return {}
    members = {service.name: [] for service in directory.declared.services}
    for record in directory.endpoints.values():
        if record.service in members and takes_work(record, directory):
            members[record.service].append(record)
    return {
        service.name: build_service(
            service, members[service.name], directory.declared.routes, rules
        )
        for service in directory.declared.services
    }


def takes_work(record, directory):
    """Tell whether an endpoint may get new work, by what the directory holds."""
    return not record.leaving and record.data_centre not in directory.evacuated


def build_service(declared, records, routes, rules):
    """Return one service with the endpoints that were found."""
    records = sorted(records, key=lambda record: record.instance)
    return Service(
        name=declared.name,
        policy=FRESH_REPORT_POLICY,
        endpoints=tuple(
            build_endpoint(declared, record, rules.regions) for record in records
        ),
        routes=tuple(route for route in routes if leads_to(route, declared.name)),
        probes=ProbeBudget(
            per_second=rules.probes_per_second * len(records),
            window=rules.probe_window,
            capacity_share=1.0,
            cost=PROBE_COST,
            path=declared.health_path,
            pooled=True,
        ),
        sends=rules.sends,
        queue_limit=rules.queue_limit,
        places=0,
        warm_up_rate=declared.warm_up_rate,
    )


def build_endpoint(declared, record, regions):
    """Return an endpoint as the decisions see it."""
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


def leads_to(route, service):
    """Tell whether some requests of a route go to a service."""
    if route.parts:
        return any(part.service == service for part in route.parts)
    return route.service == service
