"""Faults that a soak injects: each starts, lasts for a time, and ends."""

import signal
import time

from hingesill_core.registry import Registry
from soak.proxy import ProxyFault
from standins.partition import MODES

__all__ = ["CONCURRENT_FAULTS", "FAULTS", "stop_nodes_in_series"]

# A fault is a function of a Scene and a random source that starts the fault and
# returns the function that ends it.
FAULTS = Registry("soak fault")
# Faults started concurrently with these, each with its own random source.
CONCURRENT_FAULTS = Registry("concurrent soak fault")

# Answers and service time of endpoints while nodes are stopped in series.
ANSWER_BYTES = (400, 60_000, 300_000)
SERVICE_MS = 30.0
# The nodes' setting `balancer_lag_s`.
BALANCER_LAG_SECONDS = 0.5
# Time in seconds until an endpoint has crashed, or serves after its restart.
RESTART_SECONDS = 0.1


def do_nothing():
    """Do nothing: the fault has ended by itself."""


def inject_proxy_fault(proxies, rng, fault):
    """Inject a fault at one of the proxies; return the function that ends it."""
    proxy = rng.choice(proxies)
    proxy.fault = fault

    def end():
        proxy.fault = ProxyFault()

    return end


@FAULTS.register("endpoint delayed")
def delay_endpoint(scene, rng):
    """Delay all bytes to and from an endpoint."""
    return inject_proxy_fault(scene.endpoint_proxies, rng, ProxyFault(delay=0.05))


@FAULTS.register("endpoint reset")
def reset_endpoint(scene, rng):
    """Reset some connections to an endpoint."""
    return inject_proxy_fault(scene.endpoint_proxies, rng, ProxyFault(reset_share=0.1))


@FAULTS.register("endpoint silent")
def silence_endpoint(scene, rng):
    """Block the responses of an endpoint."""
    return inject_proxy_fault(
        scene.endpoint_proxies, rng, ProxyFault(blocked_from=True)
    )


@FAULTS.register("endpoint not reached")
def cut_endpoint(scene, rng):
    """Block the requests to an endpoint."""
    return inject_proxy_fault(scene.endpoint_proxies, rng, ProxyFault(blocked_to=True))


@FAULTS.register("store delayed")
def delay_store(scene, rng):
    """Delay all bytes to and from the store."""
    return inject_proxy_fault([scene.store_proxy], rng, ProxyFault(delay=0.3))


@FAULTS.register("store reset")
def reset_store(scene, rng):
    """Reset connections to the store."""
    return inject_proxy_fault([scene.store_proxy], rng, ProxyFault(reset_share=0.5))


@FAULTS.register("store silent")
def silence_store(scene, rng):
    """Block the store's responses, so that writes succeed unacknowledged."""
    return inject_proxy_fault([scene.store_proxy], rng, ProxyFault(blocked_from=True))


@FAULTS.register("answers spoiled")
def spoil_answers(scene, rng):
    """Make an endpoint reset, truncate or fail its responses."""
    endpoint = rng.choice(scene.fleet.endpoints)
    kind = rng.choice(("reset_before", "reset_after", "short", "fail_fast"))
    scene.fleet.set_faults(endpoint, service_ms=4.0, **{kind: True})
    return lambda: scene.fleet.set_faults(endpoint, service_ms=4.0)


@FAULTS.register("endpoint slow")
def slow_endpoint(scene, rng):
    """Make an endpoint twenty times slower."""
    endpoint = rng.choice(scene.fleet.endpoints)
    scene.fleet.set_faults(endpoint, service_ms=4.0, slow_factor=20.0)
    return lambda: scene.fleet.set_faults(endpoint, service_ms=4.0)


@CONCURRENT_FAULTS.register("restarts")
def restart_endpoint(scene, rng):
    """Make an endpoint crash, and restart it on the same port.

    Notes
    -----
    Returns only after the restart: faults can't be set at an endpoint that is down.
    """
    endpoint = rng.choice(scene.fleet.endpoints)
    away = rng.uniform(0.02, 0.6)
    scene.fleet.set_faults(endpoint, away_s=away)
    time.sleep(away + RESTART_SECONDS)
    return do_nothing


@CONCURRENT_FAULTS.register("suspensions")
def suspend_node(scene, rng):
    """Suspend a node's VM for a time."""
    node = scene.choose_healthy_node(rng)
    if node is None:
        return do_nothing
    node.suspension.begin(node.process)
    return lambda: node.suspension.end(node.process)


@CONCURRENT_FAULTS.register("partitions")
def partition_node(scene, rng):
    """Cut a node off from all endpoints, or from half of them."""
    node = scene.choose_healthy_node(rng)
    addresses = [proxy.address for proxy in scene.endpoint_proxies]
    if rng.random() < 0.3:
        addresses = rng.sample(addresses, len(addresses) // 2)
    mode = rng.choice(MODES)
    if node is None:
        return do_nothing
    node.partition.cut(addresses, mode)
    return node.partition.restore


@CONCURRENT_FAULTS.register("limits")
def limit_endpoints(scene, rng):
    """Make half of the endpoints report a rate limit."""
    chosen = rng.sample(scene.fleet.endpoints, len(scene.fleet.endpoints) // 2)
    limit = rng.choice((0, 1, 20))
    for endpoint in chosen:
        scene.fleet.set_faults(endpoint, service_ms=4.0, limit=limit)

    def end():
        for endpoint in chosen:
            scene.fleet.set_faults(endpoint, service_ms=4.0)

    return end


@CONCURRENT_FAULTS.register("rests")
def refuse_with_backoff(scene, rng):
    """Make half of the endpoints refuse requests with a Retry-After header."""
    chosen = rng.sample(scene.fleet.endpoints, len(scene.fleet.endpoints) // 2)
    backoff = rng.choice((0.2, 1.0, 3.0))
    for endpoint in chosen:
        scene.fleet.set_faults(endpoint, service_ms=4.0, shed_above=-1, rest_s=backoff)

    def end():
        for endpoint in chosen:
            scene.fleet.set_faults(endpoint, service_ms=4.0)

    return end


@FAULTS.register("node paused")
def pause_node(scene, rng):
    """Suspend a node's process and resume it."""
    node = scene.choose_healthy_node(rng)
    if node is None:
        return do_nothing
    node.process.send_signal(signal.SIGSTOP)
    return lambda: node.process.send_signal(signal.SIGCONT)


@FAULTS.register("node killed")
def kill_node(scene, rng):
    """Kill a node, and later start a replacement."""
    node = scene.choose_healthy_node(rng)
    if node is None:
        return do_nothing
    scene.record_unplanned(node)
    node.process.kill()
    node.process.wait(5.0)
    return lambda: scene.replace(node)


@FAULTS.register("node stopped")
def stop_node(scene, rng):
    """Stop a node gracefully, and later start a replacement."""
    node = scene.choose_healthy_node(rng)
    if node is None:
        return do_nothing
    begin_stop(scene, node)
    return lambda: scene.finish_stop(node)


def begin_stop(scene, node):
    """Send a node the stop signal; return the monotonic time of the signal."""
    scene.leaving.add(node.name)
    node.process.terminate()
    signalled_at = time.monotonic()
    while node.is_ready() and time.monotonic() < signalled_at + 3.0:
        time.sleep(0.02)
    scene.stop_using(node)
    return signalled_at


def stop_nodes_in_series(scene, rng):
    """Stop each node in turn while answers are long and idle connections are used."""
    for endpoint in scene.fleet.endpoints:
        size = rng.choice(ANSWER_BYTES)
        scene.fleet.set_faults(endpoint, service_ms=SERVICE_MS, body_bytes=size)
    for node in list(scene.fleet.nodes.values()):
        connections = scene.open_idle_connections(node, rng)
        node.process.send_signal(signal.SIGHUP)
        lag_ends_at = begin_stop(scene, node) + BALANCER_LAG_SECONDS
        connections.send_around(lag_ends_at, lag_ends_at + 0.3, node.admin)
        scene.finish_stop(node)
        connections.close()
    for endpoint in scene.fleet.endpoints:
        scene.fleet.set_faults(endpoint, service_ms=4.0)


@FAULTS.register("settings signal")
def signal_node(scene, rng):
    """Send a node the signal to reload its settings."""
    node = scene.choose_healthy_node(rng)
    if node is not None:
        node.process.send_signal(signal.SIGHUP)
    return do_nothing
