"""The node's settings, checked; `environment` reads them."""

import os
import socket
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from hingesill_core.configuration.addresses import NAME, check_address
from hingesill_core.findings import Findings
from hingesill_core.validation import build_model
from hingesill_node.discovery.source import SOURCES

__all__ = ["Settings", "build_settings", "make_suffix"]

SUFFIX_BYTES = 4


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


def check_authoriser(value):
    """Check that an authoriser is registered."""
    from hingesill_node.control.authorisation import AUTHORISERS

    if AUTHORISERS.get(value) is None:
        known = ", ".join(AUTHORISERS.list_names())
        raise ValueError(f"it is one of {known}")
    return value


def make_suffix():
    """Return random characters that tell a process from all others of its name."""
    return os.urandom(SUFFIX_BYTES).hex()


def make_name():
    """Return a name that no other node ever has."""
    return f"{socket.gethostname()}-{make_suffix()}"


def find_stores():
    """Return the registry of stores."""
    from hingesill_node.store.registry import STORES

    return STORES


def find_lists():
    """Return the registry of lists of VMs."""
    from hingesill_node.control.vmlist import LISTS

    return LISTS


class Settings(Struct, frozen=True, kw_only=True):
    """Everything that a node is told; each field is a flag and a variable.

    Notes
    -----
    `build_settings` checks what is given; the class by itself checks no types.
    """

    name: Annotated[
        str,
        Meta(
            pattern="^[A-Za-z0-9._-]{1,100}$",
            description="The node's name; no two processes ever share one.",
        ),
    ] = field(default_factory=make_name)
    vm: Annotated[
        str,
        Meta(
            pattern="^[A-Za-z0-9._-]{0,100}$",
            description="With a directory: the VM's name, under which the node is "
            "entered; a node that starts anew there takes the old one's "
            "place. Empty for the node's name.",
        ),
    ] = ""
    team: Annotated[
        str, Meta(pattern=NAME, description="First part of all keys in the store.")
    ] = "hingesill"
    data_centre: Annotated[
        str, Meta(pattern=NAME, description="Where the node runs.")
    ] = "local"
    regions: Annotated[
        str,
        Meta(
            pattern=r"^([^=,\s]+=[^=,\s]+(,[^=,\s]+=[^=,\s]+)*)?$",
            description="With a directory: the region of each data centre, as "
            "DATA_CENTRE=REGION by commas.",
        ),
    ] = ""
    address: Annotated[str, Meta(description="Where callers connect, as IP:PORT.")] = (
        "127.0.0.1:8080"
    )
    control_address: Annotated[
        str, Meta(description="Where operators and other nodes connect.")
    ] = "127.0.0.1:8081"
    admin_address: Annotated[
        str, Meta(description="Where /ready and /metrics are.")
    ] = "127.0.0.1:8082"
    store: Annotated[str, Meta(description="The platform's key-value service.")] = (
        "http://127.0.0.1:8500"
    )
    vm_list: Annotated[
        str, Meta(description="The platform's list of VMs; empty for none.")
    ] = ""
    directory: Annotated[
        str,
        Meta(
            description="A store that holds declarations and endpoints; empty to "
            "follow hingesill's own change log in `store`.",
        ),
    ] = ""
    ready_path: Annotated[
        str,
        Meta(
            pattern=r"^/[^?#\s]*$",
            description="Where the platform's balancer asks whether the node is ready.",
        ),
    ] = "/ready"
    probes_per_second: Annotated[
        float,
        Meta(
            ge=0,
            le=1000,
            description="With a directory: probes an endpoint and second, over the "
            "fleet.",
        ),
    ] = 10.0
    probe_window_s: Annotated[
        float,
        Meta(
            ge=1,
            le=300,
            description="With a directory: seconds over which probes are counted.",
        ),
    ] = 10.0
    hedge_share: Annotated[
        float,
        Meta(
            ge=0, le=0.5, description="With a directory: hedges that a request earns."
        ),
    ] = 0.04
    retry_share: Annotated[
        float,
        Meta(
            ge=0, le=0.5, description="With a directory: retries that a request earns."
        ),
    ] = 0.02
    store_writes_per_second: Annotated[
        float,
        Meta(
            ge=1,
            le=1_000_000,
            description="With a directory: writes a second that the store takes of all "
            "nodes together.",
        ),
    ] = 400.0
    extra_sends: Annotated[
        float,
        Meta(
            ge=0,
            le=100_000,
            description="With a directory: hedges and retries that the fleet may make "
            "at once; 0 for ten a node.",
        ),
    ] = 0.0
    queue_limit: Annotated[
        int,
        Meta(
            ge=0,
            le=100_000,
            description="With a directory: requests of a service that wait at the "
            "node.",
        ),
    ] = 64
    services: Annotated[
        str, Meta(description="Hold only these, by commas; empty for all.")
    ] = ""
    fleet_limit: Annotated[
        int,
        Meta(
            ge=1,
            le=100_000,
            description="The most node processes that ever run at once.",
        ),
    ] = 18
    strength: Annotated[
        float,
        Meta(
            gt=0,
            le=1024,
            description="With a directory: processor time that the node may use, in "
            "cores. The strongest nodes of a data centre watch the store "
            "for the others.",
        ),
    ] = 1.0
    reuse_port: Annotated[
        bool, Meta(description="Share the callers' port with other nodes.")
    ] = False
    max_body_bytes: Annotated[
        int, Meta(ge=0, description="Longest body passed on.")
    ] = (64 * 1024 * 1024)
    balancer_lag_s: Annotated[
        float,
        Meta(
            ge=0,
            le=300,
            description="How long the platform's balancer may still send after /ready "
            "says no.",
        ),
    ] = 3.0
    stop_bound_s: Annotated[
        float,
        Meta(
            ge=0,
            le=3600,
            description="How long a planned stop waits for requests in flight.",
        ),
    ] = 60.0
    isolation_s: Annotated[
        float,
        Meta(
            ge=1,
            le=3600,
            description="A node that hears neither store nor nodes is not ready after "
            "this.",
        ),
    ] = 30.0
    authoriser: Annotated[str, Meta(description="Who may change what.")] = "open"
    authors_file: Annotated[str, Meta(description="For the authoriser tokens.")] = ""
    tls_certificate: Annotated[
        str, Meta(description="Certificate of the control port, PEM.")
    ] = ""
    tls_key: Annotated[str, Meta(description="Its key, PEM.")] = ""
    tls_ca: Annotated[str, Meta(description="Whose certificates are taken, PEM.")] = ""
    log_level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        Meta(description="Lowest level of log events."),
    ] = "INFO"
    switch_interval_s: Annotated[
        float,
        Meta(
            ge=0.00001,
            le=0.1,
            description="How long a thread may keep the interpreter.",
        ),
    ] = 0.0005
    probing: Annotated[bool, Meta(description="Take part in probing.")] = True

    def __post_init__(self):
        """Check that the files named can be read."""
        for name in ("tls_certificate", "tls_key", "tls_ca", "authors_file"):
            path = getattr(self, name)
            if path and not os.access(path, os.R_OK):
                raise ValueError(f"{name}: {path} cannot be read")
        if bool(self.tls_certificate) != bool(self.tls_key):
            raise ValueError("tls_certificate and tls_key go together")
        if self.authoriser == "tokens" and not self.authors_file:
            raise ValueError("authors_file is needed for the authoriser tokens")


CHECKS = {
    "address": check_listening,
    "control_address": check_listening,
    "admin_address": check_listening,
    "store": check_scheme(find_stores),
    "vm_list": check_scheme(find_lists),
    "directory": check_scheme(lambda: SOURCES),
    "authoriser": check_authoriser,
}


def build_settings(values):
    """Return Settings, or Findings with every fault.

    Parameters
    ----------
    values : dict
        By setting's name; numbers may be given as text.
    """
    findings = Findings()
    for name in values:
        if name not in Settings.__struct_fields__:
            findings.add(name, "there is no such setting")
    return findings or build_model(Settings, values, CHECKS)
