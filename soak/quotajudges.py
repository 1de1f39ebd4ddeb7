"""Judges of quotas and fair shares, by what callers and endpoints recorded."""

from bisect import bisect_left
from collections import Counter, defaultdict

from matrix.evidence import Violation

__all__ = [
    "ANSWERED",
    "MIN_REQUESTS",
    "OVER_QUOTA",
    "UNAUTHENTICATED",
    "check_bounds",
    "check_refusals",
    "check_shares",
    "compute_bound",
    "count_max_arrivals",
]

# Tolerance of a quota: window in seconds, share of the quota of a window, and requests
# in a window. All nodes of the tests have these settings.
WINDOW_SECONDS, OVERSHOOT, SLACK = 5.0, 0.1, 20.0
ANSWERED, UNAUTHENTICATED, OVER_QUOTA = 200, 401, 429
# An organisation must be served at least this part of the share that all are served.
FAIR_PART = 0.25
# Share of the requests inside a quota that nodes must admit. A decision that takes over
# 12 ms is a refusal, which happens where nodes stand still beside other processes.
MIN_ADMITTED_SHARE = 0.99
# With fewer requests, the share of an organisation is too random to be judged.
MIN_REQUESTS = 30


def compute_bound(rate, burst):
    """Return the arrivals that a quota allows in any 5 s.

    Parameters
    ----------
    rate : float
        Requests per second over all nodes.
    burst : float
        Requests in addition to the rate.
    """
    return (WINDOW_SECONDS * rate + burst) * (1 + OVERSHOOT) + SLACK


def count_max_arrivals(times):
    """Return the maximum number of arrivals, at times in seconds, in any 5 s."""
    times = sorted(times)
    return max(
        (bisect_left(times, at + WINDOW_SECONDS) - i for i, at in enumerate(times)),
        default=0,
    )


def check_bounds(arrivals, quotas):
    """Yield violations of the bound on arrivals at endpoints in any 5 s.

    Parameters
    ----------
    arrivals : list of tuple
        Organisation and time in seconds of each request that an endpoint ran.
    quotas : dict
        Rate and burst of each organisation with a quota, by name.
    """
    times = defaultdict(list)
    for organisation, at in arrivals:
        times[organisation].append(at)
    for name, (rate, burst) in quotas.items():
        allowed = compute_bound(rate, burst)
        most = count_max_arrivals(times[name])
        if most > allowed:
            what = f"{most} requests ran within 5 s, {allowed:.0f} are allowed"
            yield Violation(name, what)
        if not most:
            yield Violation(name, "none of its requests ran")


def check_refusals(answers, calm_since, modest, greedy):
    """Yield violations of quotas by what callers got.

    Parameters
    ----------
    answers : list of tuple
        Organisation, start time in seconds and status of each request.
    calm_since : float
        Time in seconds from which no fault lasts and nodes have recovered.
    modest, greedy : str
        The organisation that is far below its quota, and the one far beyond.
    """
    calm = Counter((name, status) for name, at, status in answers if at >= calm_since)
    sent = sum(count for (name, _), count in calm.items() if name == modest)
    refused = calm[modest, OVER_QUOTA]
    if refused > (1 - MIN_ADMITTED_SHARE) * sent:
        yield Violation(modest, f"{refused} of {sent} requests got 429 without a fault")
    if sent < MIN_REQUESTS:
        yield Violation(modest, f"only {sent} requests were sent without a fault")
    if not calm[greedy, OVER_QUOTA]:
        yield Violation(greedy, "no request got 429 at four times the quota")


def check_shares(answers, since, until, when):
    """Yield a violation for each organisation served much less often than all.

    Parameters
    ----------
    answers : list of tuple
        Organisation, start time in seconds and status of each request.
    since, until : float
        Requests that start between these times in seconds are counted.
    when : str
        Names that time.

    Notes
    -----
    Requests refused for the organisation's own quota, or for an invalid key, did not
    compete for endpoints and are not counted.
    """
    sent, served = Counter(), Counter()
    for name, at, status in answers:
        if since <= at < until and status not in (OVER_QUOTA, UNAUTHENTICATED):
            sent[name] += 1
            served[name] += status == ANSWERED
    if not served.total():
        yield Violation("organisations", f"no request was served {when}")
        return
    overall = served.total() / sent.total()
    for name, count in sent.items():
        share = served[name] / count
        if count >= MIN_REQUESTS and share < FAIR_PART * overall:
            what = (
                f"{share:.2f} of {count} requests served {when}, of all {overall:.2f}"
            )
            yield Violation(name, what)
