"""The faults of a soak: each begins, lasts a while, and ends."""

import signal
import time

from hingesill_core.registry import Registry
from soak.proxy import Trouble

__all__ = ["BESIDES", "FAULTS"]

# A fault takes the Scene and a random source, begins, and returns what ends it.
FAULTS = Registry("soak fault")
# The same, drawn beside those, each with luck of its own.
BESIDES = Registry("soak fault beside others")

# Time until an endpoint has ended, or serves after its start, in seconds.
ENDS_SECONDS = 0.1


def nothing():
    """End a fault that ends by itself."""


def trouble_proxy(proxies, rng, trouble):
    """Put one of the proxies in trouble; return what ends it."""
    proxy = rng.choice(proxies)
    proxy.trouble = trouble

    def end():
        proxy.trouble = Trouble()

    return end


@FAULTS.register("endpoint delayed")
def delay_endpoint(scene, rng):
    """Delay all bytes to and from an endpoint."""
    return trouble_proxy(scene.endpoint_proxies, rng, Trouble(delay=0.05))


@FAULTS.register("endpoint reset")
def reset_endpoint(scene, rng):
    """Reset some connections to an endpoint."""
    return trouble_proxy(scene.endpoint_proxies, rng, Trouble(reset_share=0.1))


@FAULTS.register("endpoint silent")
def silence_endpoint(scene, rng):
    """Let an endpoint's answers wait."""
    return trouble_proxy(scene.endpoint_proxies, rng, Trouble(silent_from=True))


@FAULTS.register("endpoint not reached")
def cut_endpoint(scene, rng):
    """Let requests to an endpoint wait."""
    return trouble_proxy(scene.endpoint_proxies, rng, Trouble(silent_to=True))


@FAULTS.register("store delayed")
def delay_store(scene, rng):
    """Delay all bytes to and from the store."""
    return trouble_proxy([scene.store_proxy], rng, Trouble(delay=0.3))


@FAULTS.register("store reset")
def reset_store(scene, rng):
    """Reset connections to the store."""
    return trouble_proxy([scene.store_proxy], rng, Trouble(reset_share=0.5))


@FAULTS.register("store silent")
def silence_store(scene, rng):
    """Let the store's answers wait, so that writes happen unheard."""
    return trouble_proxy([scene.store_proxy], rng, Trouble(silent_from=True))


@FAULTS.register("answers spoiled")
def spoil_answers(scene, rng):
    """Have an endpoint lose, cut or refuse answers."""
    endpoint = rng.choice(scene.fleet.endpoints)
    kind = rng.choice(("reset_before", "reset_after", "short", "fail_fast"))
    scene.fleet.set_faults(endpoint, service_ms=4.0, **{kind: True})
    return lambda: scene.fleet.set_faults(endpoint, service_ms=4.0)


@FAULTS.register("endpoint slow")
def slow_endpoint(scene, rng):
    """Have an endpoint work twenty times slower."""
    endpoint = rng.choice(scene.fleet.endpoints)
    scene.fleet.set_faults(endpoint, service_ms=4.0, slow_factor=20.0)
    return lambda: scene.fleet.set_faults(endpoint, service_ms=4.0)


@BESIDES.register("restarts")
def start_endpoint_again(scene, rng):
    """Have an endpoint end with all that runs there, and start again at its place.

    Notes
    -----
    It is waited for, as an endpoint that is away can be told of no other fault.
    """
    endpoint = rng.choice(scene.fleet.endpoints)
    away = rng.uniform(0.02, 0.6)
    scene.fleet.set_faults(endpoint, away_s=away)
    time.sleep(away + ENDS_SECONDS)
    return nothing


@BESIDES.register("suspensions")
def suspend_node(scene, rng):
    """Suspend a node's VM for a while."""
    node = scene.choose_node(rng)
    if node is None:
        return nothing
    node.suspension.begin(node.process)
    return lambda: node.suspension.end(node.process)


@BESIDES.register("limits")
def limit_endpoints(scene, rng):
    """Have half of the endpoints name a limit."""
    chosen = rng.sample(scene.fleet.endpoints, len(scene.fleet.endpoints) // 2)
    limit = rng.choice((0, 1, 20))
    for endpoint in chosen:
        scene.fleet.set_faults(endpoint, service_ms=4.0, limit=limit)

    def end():
        for endpoint in chosen:
            scene.fleet.set_faults(endpoint, service_ms=4.0)

    return end


@BESIDES.register("rests")
def refuse_for_a_while(scene, rng):
    """Have half of the endpoints refuse requests and ask for rests."""
    chosen = rng.sample(scene.fleet.endpoints, len(scene.fleet.endpoints) // 2)
    rest = rng.choice((0.2, 1.0, 3.0))
    for endpoint in chosen:
        scene.fleet.set_faults(endpoint, service_ms=4.0, shed_above=-1, rest_s=rest)

    def end():
        for endpoint in chosen:
            scene.fleet.set_faults(endpoint, service_ms=4.0)

    return end


@FAULTS.register("node paused")
def pause_node(scene, rng):
    """Stop a node's process and let it go on."""
    node = scene.choose_node(rng)
    if node is None:
        return nothing
    node.process.send_signal(signal.SIGSTOP)
    return lambda: node.process.send_signal(signal.SIGCONT)


@FAULTS.register("node killed")
def kill_node(scene, rng):
    """Kill a node; another takes its place."""
    node = scene.choose_node(rng)
    if node is None:
        return nothing
    scene.note_unplanned(node)
    node.process.kill()
    node.process.wait(5.0)
    return lambda: scene.replace(node)


@FAULTS.register("node stopped")
def stop_node(scene, rng):
    """Stop a node in a planned way; another takes its place."""
    node = scene.choose_node(rng)
    if node is None:
        return nothing
    scene.leaving.add(node.name)
    node.process.terminate()
    deadline = time.monotonic() + 3.0
    while node.is_ready() and time.monotonic() < deadline:
        time.sleep(0.02)
    scene.stop_using(node)
    return lambda: scene.end_stop(node)


@FAULTS.register("settings signal")
def signal_node(scene, rng):
    """Tell a node that its settings may have changed."""
    node = scene.choose_node(rng)
    if node is not None:
        node.process.send_signal(signal.SIGHUP)
    return nothing
