"""Lower bound for routing latency: a single queue with full knowledge of all slots.

The simulated queue knows the state of all slots of all endpoints at every moment. It
assigns a request to a slot when the slot is free and prefers endpoints that are not
slow at that time. A balancer of several nodes cannot have this knowledge; the
difference in latency is the cost of incomplete information.
"""

import heapq
import random

__all__ = ["compute_ideal"]


def draw_slow_times(rng, seconds, noise):
    """Return the (start, end) times of the periods in which an endpoint is slow."""
    times = []
    at = noise["noise_period_s"] * (0.5 + rng.random()) / 2
    while noise and at < seconds:
        times.append((at, at + noise["noise_length_s"]))
        at += noise["noise_length_s"] + noise["noise_period_s"] * (0.5 + rng.random())
    return times


def is_slow(times, at):
    """Return whether an endpoint is slow at a time."""
    return any(start <= at < end for start, end in times)


def compute_ideal(arrivals, endpoints, slots, service, noise, seed=0):
    """Return the latency of each request in seconds.

    Parameters
    ----------
    arrivals : list of float
        Arrival times of the requests, in order.
    endpoints, slots : int
        Number of endpoints, and of slots per endpoint.
    service : float
        Mean service time in seconds; times are uniform from half to one and a half
        of it.
    noise : dict
        Noise settings of the stand-in; empty for no noise.
    seed : int
        Seed of the random number generator.
    """
    rng = random.Random(seed)
    end = arrivals[-1]
    slow = [draw_slow_times(rng, end, noise) if noise else [] for _ in range(endpoints)]
    free = [(0.0, number % endpoints) for number in range(endpoints * slots)]
    heapq.heapify(free)
    latencies = []
    for at in arrivals:
        start = max(at, free[0][0])
        number = choose_slot(free, slow, start)
        free_at, endpoint = free[number]
        free[number] = free[-1]
        free.pop()
        heapq.heapify(free)
        seconds = service * (0.5 + rng.random())
        if is_slow(slow[endpoint], start):
            seconds *= noise["noise_factor"]
        heapq.heappush(free, (start + seconds, endpoint))
        latencies.append(start + seconds - at)
    return latencies


def choose_slot(free, slow, start):
    """Return the index of a free slot, preferably of an endpoint that is not slow."""
    usable = [i for i, (free_at, _) in enumerate(free) if free_at <= start]
    for index in usable:
        if not is_slow(slow[free[index][1]], start):
            return index
    return usable[0]
