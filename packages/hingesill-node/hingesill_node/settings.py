"""Settings of a node and their validation; `environment` reads them."""

import os
import socket
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from hingesill_core.configuration.addresses import NAME, check_address
from hingesill_core.findings import Findings
from hingesill_core.validation import build_model
from hingesill_node.discovery.source import SOURCES
from hingesill_node.listeners import RECEIVE_BUFFER_BYTES

__all__ = ["Settings", "build_settings", "make_suffix"]

SUFFIX_BYTES = 4


def check_listening(value):
    """Validate an address to listen on; port 0 selects a free port."""
    host, _, port = value.rpartition(":")
    if port == "0":
        check_address(f"{host}:1")
        return value
    return check_address(value)


def check_scheme(find_registry):
    """Return a function that checks that a value's scheme is registered.

    Parameters
    ----------
    find_registry : callable
        Returns the registry. It is called only if there is a value, so that a node
        without one does not load the adapters.
    """

    def check(value):
        if not value:
            return value
        registry = find_registry()
        scheme = value.partition("://")[0]
        if registry.get(scheme) is None:
            names = ", ".join(registry.list_names())
            raise ValueError(f"the scheme must be one of {names}")
        return value

    return check


def check_authoriser(value):
    """Validate that an authoriser is registered."""
    from hingesill_node.control.authorisation import AUTHORISERS

    if AUTHORISERS.get(value) is None:
        names = ", ".join(AUTHORISERS.list_names())
        raise ValueError(f"must be one of {names}")
    return value


def make_suffix():
    """Return a random suffix that distinguishes processes of the same name."""
    return os.urandom(SUFFIX_BYTES).hex()


def make_name():
    """Return a node name that is unique over time."""
    return f"{socket.gethostname()}-{make_suffix()}"


def find_stores():
    """Return the registry of stores."""
    from hingesill_node.store.registry import STORES

    return STORES


def find_lists():
    """Return the registry of VM lists."""
    from hingesill_node.control.vmlist import LISTS

    return LISTS


class Settings(Struct, frozen=True, kw_only=True):
    """Settings of a node; each field is a flag and an environment variable.

    Notes
    -----
    `build_settings` validates the values; the class itself checks no types.
    """

    name: Annotated[
        str,
        Meta(
            pattern="^[A-Za-z0-9._-]{1,100}$",
            description="Name of the node; never shared by two processes.",
        ),
    ] = field(default_factory=make_name)
    vm: Annotated[
        str,
        Meta(
            pattern="^[A-Za-z0-9._-]{0,100}$",
            description="With a directory: name of the VM, under which the node is "
            "registered; a node that restarts on the VM replaces the earlier "
            "registration. Empty for the node's name.",
        ),
    ] = ""
    team: Annotated[
        str, Meta(pattern=NAME, description="Prefix of all keys in the store.")
    ] = "hingesill"
    data_centre: Annotated[
        str, Meta(pattern=NAME, description="Data centre of the node.")
    ] = "local"
    regions: Annotated[
        str,
        Meta(
            pattern=r"^([^=,\s]+=[^=,\s]+(,[^=,\s]+=[^=,\s]+)*)?$",
            description="With a directory: region of each data centre, as "
            "comma-separated DATA_CENTRE=REGION.",
        ),
    ] = ""
    address: Annotated[str, Meta(description="IP:PORT for callers.")] = "127.0.0.1:8080"
    control_address: Annotated[
        str, Meta(description="IP:PORT for operators and other nodes.")
    ] = "127.0.0.1:8081"
    forward_port: Annotated[
        int,
        Meta(
            ge=0,
            le=65535,
            description="Port, on the IP of `control_address`, for requests that other "
            "nodes forward while they reach no endpoint; 0 for neither accepting nor "
            "forwarding any. Without a directory, the list of VMs has to name it too.",
        ),
    ] = 0
    admin_address: Annotated[
        str, Meta(description="IP:PORT of /ready, /metrics and /organisations.")
    ] = "127.0.0.1:8082"
    store: Annotated[
        str, Meta(description="URL of the platform's key-value service.")
    ] = "http://127.0.0.1:8500"
    vm_list: Annotated[
        str, Meta(description="URL of the platform's list of VMs; empty for none.")
    ] = ""
    directory: Annotated[
        str,
        Meta(
            description="URL of a store with declarations and endpoints; empty to "
            "follow hingesill's own change log in `store`.",
        ),
    ] = ""
    ready_path: Annotated[
        str,
        Meta(
            pattern=r"^/[^?#\s]*$",
            description="Path that the platform's balancer polls for readiness.",
        ),
    ] = "/ready"
    probes_per_second: Annotated[
        float,
        Meta(
            ge=0,
            le=1000,
            description="With a directory: probes per endpoint and second, over the "
            "whole fleet.",
        ),
    ] = 10.0
    probe_window_s: Annotated[
        float,
        Meta(
            ge=1,
            le=300,
            description="With a directory: window in seconds of the probe limit.",
        ),
    ] = 10.0
    hedge_share: Annotated[
        float,
        Meta(
            ge=0,
            le=0.5,
            description="With a directory: hedges that each request adds to the "
            "budget.",
        ),
    ] = 0.04
    retry_share: Annotated[
        float,
        Meta(
            ge=0,
            le=0.5,
            description="With a directory: retries that each request adds to the "
            "budget.",
        ),
    ] = 0.02
    store_writes_per_second: Annotated[
        float,
        Meta(
            ge=1,
            le=1_000_000,
            description="With a directory: writes per second that the store accepts "
            "from all nodes together.",
        ),
    ] = 400.0
    extra_sends: Annotated[
        float,
        Meta(
            ge=0,
            le=100_000,
            description="With a directory: burst of hedges and retries of the whole "
            "fleet; 0 for ten per node.",
        ),
    ] = 0.0
    quota_window_s: Annotated[
        float,
        Meta(
            ge=1,
            le=300,
            description="With a directory: window in seconds in which the requests of "
            "an organisation are counted against its quota.",
        ),
    ] = 5.0
    quota_overshoot: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="With a directory: share of an organisation's quota of a "
            "window that may reach endpoints in addition.",
        ),
    ] = 0.1
    quota_slack: Annotated[
        float,
        Meta(
            ge=0,
            le=100_000,
            description="With a directory: requests of an organisation that may reach "
            "endpoints in addition in a window.",
        ),
    ] = 20.0
    queue_limit: Annotated[
        int,
        Meta(
            ge=0,
            le=100_000,
            description="With a directory: maximum number of queued requests per "
            "service at the node.",
        ),
    ] = 64
    services: Annotated[
        str, Meta(description="Services to load, comma-separated; empty for all.")
    ] = ""
    fleet_limit: Annotated[
        int,
        Meta(
            ge=1,
            le=100_000,
            description="Maximum number of node processes that run at once.",
        ),
    ] = 18
    strength: Annotated[
        float,
        Meta(
            gt=0,
            le=1024,
            description="With a directory: CPU time that the node may use, in cores. "
            "The nodes with the most CPU time in a data centre watch the store for "
            "the others.",
        ),
    ] = 1.0
    reuse_port: Annotated[
        bool, Meta(description="Share the port for callers with other nodes.")
    ] = False
    max_body_bytes: Annotated[
        int,
        Meta(ge=0, description="Maximum size in bytes of a body that is passed on."),
    ] = (
        64 * 1024 * 1024
    )
    memory_mb: Annotated[
        int,
        Meta(
            ge=0,
            le=1024 * 1024,
            description="Memory in MiB that the process may use, from which the "
            "limits of connections are computed; 0 for the memory of the VM.",
        ),
    ] = 0
    max_fds: Annotated[
        int,
        Meta(
            ge=0,
            le=10_000_000,
            description="Open file descriptors that the process may use, from which "
            "the limits of connections are computed; 0 for the limit of the process.",
        ),
    ] = 0
    receive_buffer_bytes: Annotated[
        int,
        Meta(
            ge=4096,
            le=64 * 1024 * 1024,
            description="Bytes that may lie unread on each connection of a client or "
            "another node; it sends more only when these are read.",
        ),
    ] = RECEIVE_BUFFER_BYTES
    max_head_bytes: Annotated[
        int,
        Meta(
            ge=1024,
            le=1024 * 1024,
            description="Maximum size in bytes of the head of a request, and of the "
            "extensions and trailers of a chunked body.",
        ),
    ] = (
        64 * 1024
    )
    balancer_lag_s: Annotated[
        float,
        Meta(
            ge=0,
            le=300,
            description="Seconds for which the platform's balancer may still send "
            "requests after /ready reports not ready.",
        ),
    ] = 3.0
    stop_bound_s: Annotated[
        float,
        Meta(
            ge=0,
            le=3600,
            description="Seconds that a planned stop waits for requests in flight.",
        ),
    ] = 60.0
    isolation_s: Annotated[
        float,
        Meta(
            ge=1,
            le=3600,
            description="Seconds without contact to the store and to other nodes, "
            "after which a node is not ready.",
        ),
    ] = 30.0
    authoriser: Annotated[
        str, Meta(description="Authoriser, which decides who may change what.")
    ] = "open"
    authors_file: Annotated[
        str, Meta(description="File of authors for the authoriser `tokens`.")
    ] = ""
    tls_certificate: Annotated[
        str, Meta(description="Certificate of the control port, PEM file.")
    ] = ""
    tls_key: Annotated[
        str, Meta(description="Private key of that certificate, PEM file.")
    ] = ""
    tls_ca: Annotated[
        str, Meta(description="CA that signs accepted certificates, PEM file.")
    ] = ""
    log_level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        Meta(description="Lowest level of log events."),
    ] = "INFO"
    switch_interval_s: Annotated[
        float,
        Meta(
            ge=0.00001,
            le=0.1,
            description="Seconds that a thread may hold the interpreter lock.",
        ),
    ] = 0.0005
    probing: Annotated[bool, Meta(description="Take part in probing.")] = True

    def __post_init__(self):
        """Validate that files can be read and that dependent settings are given."""
        for name in ("tls_certificate", "tls_key", "tls_ca", "authors_file"):
            path = getattr(self, name)
            if path and not os.access(path, os.R_OK):
                raise ValueError(f"{name}: {path} cannot be read")
        if bool(self.tls_certificate) != bool(self.tls_key):
            raise ValueError("tls_certificate and tls_key must be given together")
        if self.authoriser == "tokens" and not self.authors_file:
            raise ValueError("the authoriser tokens requires authors_file")


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
    """Return Settings, or Findings with all errors.

    Parameters
    ----------
    values : dict
        Values by name of setting; numbers may be given as text.
    """
    findings = Findings()
    for name in values:
        if name not in Settings.__struct_fields__:
            findings.add(name, "unknown setting")
    return findings or build_model(Settings, values, CHECKS)
