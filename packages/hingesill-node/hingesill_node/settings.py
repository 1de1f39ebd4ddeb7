"""The node's settings, checked; `environment` reads them."""

import os
import socket
import uuid
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

from hingesill_core.configuration.addresses import NAME, check_address
from hingesill_node.control.authorisation import AUTHORISERS
from hingesill_node.discovery.source import SOURCES

__all__ = ["Settings"]

Address = Annotated[str, AfterValidator(check_address)]


def check_listening(value):
    """Check an address to listen on; port 0 is a free one."""
    host, _, port = value.rpartition(":")
    if port == "0":
        check_address(f"{host}:1")
        return value
    return check_address(value)


def check_scheme(find_registry):
    """Return a check that a value's scheme is registered.

    Parameters
    ----------
    find_registry : callable
        Returns the registry. It is called for a value only, so that a node
        without one does not load the adapters.
    """

    def check(value):
        if not value:
            return value
        registry = find_registry()
        scheme = value.partition("://")[0]
        if registry.get(scheme) is None:
            known = ", ".join(registry.list_names())
            raise ValueError(f"the scheme is one of {known}")
        return value

    return check


def make_name():
    """Return a name that no other node ever has."""
    return f"{socket.gethostname()}-{uuid.uuid4().hex[:8]}"


def find_stores():
    """Return the registry of stores."""
    from hingesill_node.store.registry import STORES

    return STORES


def find_lists():
    """Return the registry of lists of VMs."""
    from hingesill_node.control.vmlist import LISTS

    return LISTS


class Settings(BaseModel):
    """Everything that a node is told; each field is a flag and a variable."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(
        default_factory=make_name,
        pattern=r"^[A-Za-z0-9._-]{1,100}$",
        description="The node's name; no two processes ever share one.",
    )
    vm: str = Field(
        default="",
        pattern=r"^[A-Za-z0-9._-]{0,100}$",
        description="With a directory: the VM's name, under which the node is "
        "entered; a node that starts anew there takes the old one's place. Empty for "
        "the node's name.",
    )
    team: str = Field(
        default="hingesill",
        pattern=NAME,
        description="First part of all keys in the store.",
    )
    data_centre: str = Field(
        default="local", pattern=NAME, description="Where the node runs."
    )
    address: Annotated[str, AfterValidator(check_listening)] = Field(
        default="127.0.0.1:8080", description="Where callers connect, as IP:PORT."
    )
    control_address: Annotated[str, AfterValidator(check_listening)] = Field(
        default="127.0.0.1:8081",
        description="Where operators and other nodes connect.",
    )
    admin_address: Annotated[str, AfterValidator(check_listening)] = Field(
        default="127.0.0.1:8082", description="Where /ready and /metrics are."
    )
    store: Annotated[str, AfterValidator(check_scheme(find_stores))] = Field(
        default="http://127.0.0.1:8500",
        description="The platform's key-value service.",
    )
    vm_list: Annotated[str, AfterValidator(check_scheme(find_lists))] = Field(
        default="", description="The platform's list of VMs; empty for none."
    )
    directory: Annotated[str, AfterValidator(check_scheme(lambda: SOURCES))] = Field(
        default="",
        description="A store that holds declarations and endpoints; empty to follow "
        "hingesill's own change log in `store`.",
    )
    ready_path: str = Field(
        default="/ready",
        pattern=r"^/[^?#\s]*$",
        description="Where the platform's balancer asks whether the node is ready.",
    )
    probes_per_second: float = Field(
        default=10.0,
        ge=0,
        le=1000,
        description="With a directory: probes an endpoint and second, over the fleet.",
    )
    probe_window_s: float = Field(
        default=10.0,
        ge=1,
        le=300,
        description="With a directory: seconds over which probes are counted.",
    )
    hedge_share: float = Field(
        default=0.04,
        ge=0,
        le=0.5,
        description="With a directory: hedges that a request earns.",
    )
    retry_share: float = Field(
        default=0.02,
        ge=0,
        le=0.5,
        description="With a directory: retries that a request earns.",
    )
    extra_sends: float = Field(
        default=0.0,
        ge=0,
        le=100_000,
        description="With a directory: hedges and retries that the fleet may make at "
        "once; 0 for ten a node.",
    )
    queue_limit: int = Field(
        default=64,
        ge=0,
        le=100_000,
        description="With a directory: requests of a service that wait at the node.",
    )
    services: str = Field(
        default="", description="Hold only these, by commas; empty for all."
    )
    fleet_limit: int = Field(
        default=18,
        ge=1,
        le=100_000,
        description="The most node processes that ever run at once.",
    )
    strength: float = Field(
        default=1.0,
        gt=0,
        le=1024,
        description="With a directory: processor time that the node may use, in cores. "
        "The strongest nodes of a data centre watch the store for the others.",
    )
    reuse_port: bool = Field(
        default=False, description="Share the callers' port with other nodes."
    )
    max_body_bytes: int = Field(
        default=64 * 1024 * 1024, ge=0, description="Longest body passed on."
    )
    balancer_lag_s: float = Field(
        default=3.0,
        ge=0,
        le=300,
        description="How long the platform's balancer may still send after /ready "
        "says no.",
    )
    stop_bound_s: float = Field(
        default=60.0,
        ge=0,
        le=3600,
        description="How long a planned stop waits for requests in flight.",
    )
    isolation_s: float = Field(
        default=30.0,
        ge=1,
        le=3600,
        description="A node that hears neither store nor nodes is not ready after "
        "this.",
    )
    authoriser: Literal[tuple(AUTHORISERS.list_names())] = Field(
        default="open", description="Who may change what."
    )
    authors_file: str = Field(default="", description="For the authoriser tokens.")
    tls_certificate: str = Field(
        default="", description="Certificate of the control port, PEM."
    )
    tls_key: str = Field(default="", description="Its key, PEM.")
    tls_ca: str = Field(default="", description="Whose certificates are taken, PEM.")
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="Lowest level of log events."
    )
    switch_interval_s: float = Field(
        default=0.0005,
        ge=0.00001,
        le=0.1,
        description="How long a thread may keep the interpreter.",
    )
    probing: bool = Field(default=True, description="Take part in probing.")

    @model_validator(mode="after")
    def check_files(self):
        """Check that the files named can be read."""
        for name in ("tls_certificate", "tls_key", "tls_ca", "authors_file"):
            path = getattr(self, name)
            if path and not os.access(path, os.R_OK):
                raise ValueError(f"{name}: {path} cannot be read")
        if bool(self.tls_certificate) != bool(self.tls_key):
            raise ValueError("tls_certificate and tls_key go together")
        if self.authoriser == "tokens" and not self.authors_file:
            raise ValueError("authors_file is needed for the authoriser tokens")
        return self
