"""Organisations of the soak and of the fault matrix, and the judge of their keys."""

from hingesill_core.reasons import Outcome
from matrix.evidence import Violation
from soak.quotajudges import UNAUTHENTICATED

__all__ = [
    "GREEDY",
    "KEYS",
    "LEAVING",
    "MODEST",
    "NO_KEY",
    "QUOTAS",
    "STEADY",
    "UNKNOWN",
    "build_documents",
    "check_keys",
]

STEADY, GREEDY, MODEST, LEAVING = "steady", "greedy", "modest", "leaving"
KEYS = {name: f"{name}-secret" for name in (STEADY, GREEDY, MODEST, LEAVING)}
# Keys of no organisation.
UNKNOWN, NO_KEY = "unknown-secret", ""
# Rate and burst.
QUOTAS = {GREEDY: (10.0, 10.0), MODEST: (100.0, 50.0)}
NAMES = {key: name for name, key in KEYS.items()}


def build_documents(names=tuple(KEYS)):
    """Return the declarations of organisations."""
    documents = []
    for name in names:
        document = {"organisation": name, "keys": [KEYS[name]]}
        if name in QUOTAS:
            document["rate"], document["burst"] = QUOTAS[name]
        documents.append(document)
    return documents


def check_keys(calls, requests):
    """Yield violations of the rules on keys.

    Parameters
    ----------
    calls : list of Call
        Calls of which the key of an organisation was valid all the time.
    requests : list of list
        Request id, organisation, Authorization and time of each request that ran.
    """
    keys = {call.request_id: call.key for call in calls}
    for request_id, organisation, authorization, _ in requests:
        if request_id not in keys:
            continue
        expected = NAMES.get(keys[request_id])
        if expected is None:
            yield Violation(request_id, "ran without a valid key")
        elif organisation != expected:
            what = f"of {expected!r} ran as {organisation!r}"
            yield Violation(request_id, what)
        if authorization:
            yield Violation(request_id, "ran with its key in the endpoint's request")
    for call in calls:
        is_refused = call.status == UNAUTHENTICATED
        if is_refused and call.key in NAMES:
            yield Violation(call.request_id, f"got 401 with the key of {call.key!r}")
        if call.outcome == Outcome.ANSWERED.value and call.key not in NAMES:
            yield Violation(call.request_id, "was answered without a valid key")
