"""The ideal to measure routing against: one queue that sees every slot.

It knows all slots of all endpoints at every moment and binds a request to one
when it is free, preferring endpoints that are not slow just then. No balancer
of several nodes can know as much; the distance to it is what not knowing costs.
"""

import heapq
import random

__all__ = ["compute_ideal"]


def draw_slow_times(rng, seconds, noise):
    """Return the (from, until) times at which an endpoint is slow."""
    times = []
    at = noise["noise_period_s"] * (0.5 + rng.random()) / 2
    while noise and at < seconds:
        times.append((at, at + noise["noise_length_s"]))
        at += noise["noise_length_s"] + noise["noise_period_s"] * (0.5 + rng.random())
    return times


def is_slow(times, at):
    """Tell whether an endpoint is slow at a time."""
    return any(start <= at < end for start, end in times)


def compute_ideal(arrivals, endpoints, slots, service, noise, seed=0):
    """Return the time of each answer in seconds.

    Parameters
    ----------
    arrivals : list of float
        When requests come, in order.
    endpoints, slots : int
        How many, and how many slots each.
    service : float
        Mean seconds in a slot, spread evenly from half to one and a half.
    noise : dict
        The stand-in's noise settings, empty for none.
    seed : int
        Of the random source.
    """
    rng = random.Random(seed)
    end = arrivals[-1]
    slow = [draw_slow_times(rng, end, noise) if noise else [] for _ in range(endpoints)]
    free = [(0.0, number % endpoints) for number in range(endpoints * slots)]
    heapq.heapify(free)
    answers = []
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
        answers.append(start + seconds - at)
    return answers


def choose_slot(free, slow, start):
    """Return the index of a free slot, of an endpoint that is not slow if any."""
    usable = [i for i, (free_at, _) in enumerate(free) if free_at <= start]
    for index in usable:
        if not is_slow(slow[free[index][1]], start):
            return index
    return usable[0]
