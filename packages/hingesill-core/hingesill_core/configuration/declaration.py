"""Models of declarations, which are validated when they enter the system."""

from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    Field,
    ValidationError,
    field_validator,
    model_serializer,
)

from hingesill_core.configuration.addresses import NAME, check_address
from hingesill_core.configuration.services import (
    DEFAULT_MAX_SENDS,
    Endpoint,
    ProbeBudget,
    Route,
    SendBudget,
    Service,
)
from hingesill_core.configuration.strictmodel import StrictModel
from hingesill_core.routing.policies import POLICIES

__all__ = [
    "EndpointDeclaration",
    "ServiceDeclaration",
    "build_service",
    "parse_declaration",
    "validate_declaration",
]

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_ENDPOINTS = 2000
MAX_ROUTES = 200


class EndpointDeclaration(StrictModel):
    """Declaration of an endpoint of a service."""

    address: Annotated[str, AfterValidator(check_address)]
    data_centre: str = Field(pattern=NAME)
    slots: int = Field(default=3, ge=1, le=1024)
    connections: int = Field(default=200, ge=1, le=100_000)


class RouteDeclaration(StrictModel):
    """Declaration of a route: requests of one method below a path prefix."""

    method: Literal[METHODS]
    path: str = Field(pattern=r"^/[^?#\s]*$", max_length=512)
    repeat: Literal["repeatable", "not_repeatable"] = "not_repeatable"
    priority: Literal["live", "deferrable"] = "live"
    timeout_ms: int = Field(default=1000, ge=1, le=600_000)
    host: str = Field(default="", max_length=253)
    target_ms: int = Field(default=0, ge=0, le=600_000)
    most_sends: int = Field(default=DEFAULT_MAX_SENDS, ge=1, le=10)
    public: bool = False

    @model_serializer(mode="wrap")
    def omit_defaults(self, serialize):
        """Omit fields that nodes of an earlier build reject, unless they are set."""
        content = serialize(self)
        if not self.public:
            del content["public"]
        return content


class ProbeDeclaration(StrictModel):
    """Budget of the probes of a service, for the whole fleet."""

    per_second: float = Field(default=0.0, ge=0, le=10_000)
    window_s: float = Field(default=10.0, ge=1, le=300)
    capacity_share: float = Field(default=0.01, ge=0, le=0.5)
    cost_ms: float = Field(default=6.0, gt=0, le=10_000)
    path: str = Field(default="/health", pattern=r"^/[^?#\s]*$", max_length=512)


class SendDeclaration(StrictModel):
    """Budget of retries and hedges, as average shares of the requests."""

    hedge_share: float = Field(default=0.04, ge=0, le=0.5)
    retry_share: float = Field(default=0.02, ge=0, le=0.5)


class ServiceDeclaration(StrictModel):
    """Declaration of a service with its endpoints and routes."""

    service: str = Field(pattern=NAME)
    policy: str = "expected_wait"
    endpoints: list[EndpointDeclaration] = Field(max_length=MAX_ENDPOINTS)
    routes: list[RouteDeclaration] = Field(min_length=1, max_length=MAX_ROUTES)
    probes: ProbeDeclaration = ProbeDeclaration()
    sends: SendDeclaration = SendDeclaration()
    queue_limit: int = Field(default=64, ge=0, le=100_000)
    places: int = Field(default=0, ge=0, le=1000)
    overload: Literal["queue", "refuse-early"] = "queue"

    @property
    def document_name(self):
        """Name of its document in the change log."""
        return self.service

    @property
    def label(self):
        """Kind and name, for messages."""
        return f"service {self.service}"

    def encode_document(self):
        """Return the document to store, as JSON bytes."""
        return self.model_dump_json().encode()

    @model_serializer(mode="wrap")
    def omit_defaults(self, serialize):
        """Omit fields that nodes of an earlier build reject, unless they are set."""
        content = serialize(self)
        if self.overload == "queue":
            del content["overload"]
        return content

    @field_validator("policy")
    @classmethod
    def check_policy(cls, value):
        """Check that the policy is registered."""
        if POLICIES.get(value) is None:
            raise ValueError(f"must be one of {', '.join(POLICIES.list_names())}")
        return value

    @field_validator("endpoints")
    @classmethod
    def check_endpoints(cls, value):
        """Check that no endpoint is declared twice."""
        reject_duplicates([endpoint.address for endpoint in value], "the endpoint")
        return value

    @field_validator("routes")
    @classmethod
    def check_routes(cls, value):
        """Check that no route is declared twice."""
        reject_duplicates([f"{r.method} {r.path}" for r in value], "the route")
        return value


def reject_duplicates(values, kind):
    """Raise ValueError if a value occurs twice."""
    seen = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{kind} {value} is declared twice")
        seen.add(value)


def validate_declaration(raw, findings, place=""):
    """Validate a mapping and collect every finding.

    Parameters
    ----------
    raw : object
        Parsed content of a file or a call.
    findings : Findings
        Receives the findings.
    place : str
        Prefix of the place of each finding.

    Returns
    -------
    ServiceDeclaration or None
        None if there was a finding.
    """
    try:
        return ServiceDeclaration.model_validate(raw)
    except ValidationError as error:
        for item in error.errors():
            path = ".".join(str(part) for part in item["loc"]) or "declaration"
            findings.add(f"{place}{path}", item["msg"])
        return None


def parse_declaration(document, findings, place=""):
    """Parse and validate a declaration in JSON bytes."""
    try:
        return ServiceDeclaration.model_validate_json(document)
    except ValidationError as error:
        for item in error.errors():
            path = ".".join(str(part) for part in item["loc"]) or "declaration"
            findings.add(f"{place}{path}", item["msg"])
        return None


def build_service(declaration):
    """Return the Service of a validated declaration."""
    name = declaration.service
    probes = declaration.probes
    return Service(
        name=name,
        policy=declaration.policy,
        endpoints=tuple(
            Endpoint(e.address, e.data_centre, e.slots, e.connections)
            for e in declaration.endpoints
        ),
        routes=tuple(build_route(name, route) for route in declaration.routes),
        probes=ProbeBudget(
            probes.per_second,
            probes.window_s,
            probes.capacity_share,
            probes.cost_ms / 1000,
            probes.path,
        ),
        sends=SendBudget(declaration.sends.hedge_share, declaration.sends.retry_share),
        queue_limit=declaration.queue_limit,
        places=declaration.places,
        early_refusal=declaration.overload == "refuse-early",
    )


def build_route(service, declaration):
    """Return the Route of a declared route."""
    return Route(
        service=service,
        method=declaration.method,
        path=declaration.path,
        repeatable=declaration.repeat == "repeatable",
        live=declaration.priority == "live",
        timeout=declaration.timeout_ms / 1000,
        host=declaration.host,
        target=declaration.target_ms / 1000,
        most_sends=declaration.most_sends,
        public=declaration.public,
    )
