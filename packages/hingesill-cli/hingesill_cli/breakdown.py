"""Latency breakdown by window and service or organisation, from nodes' log files."""

import re
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime

from hingesill_cli.trace import REQUEST_EVENTS, is_final_refusal

__all__ = ["SUBJECTS", "Window", "collect_windows", "format_windows"]

# Log fields by which requests can be grouped.
SUBJECTS = ("service", "organisation")
NO_SUBJECT = "-"
UNAUTHENTICATED = "unauthenticated"
# Reason with which a node refuses what another one forwards and a third one may serve.
UNREACHABLE = "endpoints-unreachable"

# Time format of log lines, with milliseconds after the comma.
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# "12ms sent i-1 3/6 x1 0ms old": time, step, endpoint and its slots in use.
SEND = re.compile(r"(\d+)ms (sent|hedged) (\S+)(?: (\d+)/\d+)?")
EMPTY_QUERY = re.compile(r"\d+ms asked(?: \(\d+ resting\))?$")
HEADER = (
    "from      {:12}  requests  wait ms 50/90  endpoint ms 50/90  all ms 50/99"
    "  hedged  sent again  asked nobody  taken slots at the send, refusals"
)


@dataclass(slots=True)
class Window:
    """Statistics of requests of one subject that ended within a time window.

    Attributes
    ----------
    wait_times, endpoint_times, total_times : list of int
        Milliseconds before the first send, from the last send to the answer, and of
        the whole request.
    hedged, retried, unqueried : int
        Number of requests with a hedged send, with a later send, and without any
        endpoint for the first load query.
    slots_in_use, refusals : Counter
        Sends by the endpoint's slots in use, and refusals by reason.
    """

    wait_times: list = field(default_factory=list)
    endpoint_times: list = field(default_factory=list)
    total_times: list = field(default_factory=list)
    hedged: int = 0
    retried: int = 0
    unqueried: int = 0
    slots_in_use: Counter = field(default_factory=Counter)
    refusals: Counter = field(default_factory=Counter)

    def record(self, fields):
        """Add a request by the fields of its log line."""
        steps = fields.get("steps", ())
        sends = [match for match in map(SEND.match, steps) if match]
        milliseconds = int(fields.get("ms", 0))
        # A forwarded request counts once, at the node that its caller used.
        is_forwarded = bool(fields.get("for_node"))
        if not is_forwarded:
            self.total_times.append(milliseconds)
        self.unqueried += any(map(EMPTY_QUERY.match, steps))
        self.hedged += any(send[2] == "hedged" for send in sends)
        self.retried += sum(send[2] == "sent" for send in sends) > 1
        self.slots_in_use.update(int(send[4]) for send in sends if send[4] is not None)
        if fields.get("reason") and not (
            is_forwarded and fields["reason"] == UNREACHABLE
        ):
            self.refusals[fields["reason"]] += 1
        if sends:
            self.wait_times.append(int(sends[0][1]))
        if sends and not fields.get("reason"):
            self.endpoint_times.append(milliseconds - int(sends[-1][1]))


def collect_windows(lines, seconds, organisation="", by="service"):
    """Return the windows by start, in seconds since the epoch, and subject.

    Parameters
    ----------
    lines : iterable of Line
        Log lines of all nodes.
    seconds : float
        Length of a window.
    organisation : str
        Only requests of this organisation; empty for all.
    by : str
        One of `SUBJECTS`.

    Notes
    -----
    Requests without a valid key have neither service nor organisation.
    """
    windows = {}
    for line in lines:
        fields = line.fields
        if is_final_refusal(line):
            fields = {"reason": UNAUTHENTICATED}
        elif line.event not in REQUEST_EVENTS:
            continue
        start = find_start(line.time, seconds)
        if start is None or organisation not in ("", fields.get("organisation")):
            continue
        key = start, fields.get(by) or NO_SUBJECT
        windows.setdefault(key, Window()).record(fields)
    return windows


def find_start(text, seconds):
    """Return the start of the window of a time, or None if it cannot be parsed."""
    try:
        at = datetime.strptime(text, TIME_FORMAT).timestamp()
    except ValueError:
        return None
    return at - at % seconds


def format_windows(windows, by="service"):
    """Yield the lines of a table, one for each window and subject in order."""
    yield HEADER.format(by)
    for (start, subject), window in sorted(windows.items()):
        time = datetime.fromtimestamp(start).strftime("%H:%M:%S")
        yield (
            f"{time}  {subject[:12]:12}  {len(window.total_times):8}"
            f"  {format_quantiles(window.wait_times, 0.5, 0.9):>13}"
            f"  {format_quantiles(window.endpoint_times, 0.5, 0.9):>17}"
            f"  {format_quantiles(window.total_times, 0.5, 0.99):>12}"
            f"  {window.hedged:6}"
            f"  {window.retried:10}  {window.unqueried:12}"
            f"  {format_counts(window.slots_in_use)}; {format_counts(window.refusals)}"
        )


def format_quantiles(values, *shares):
    """Return quantiles of values as text."""
    ordered = sorted(values)
    if not ordered:
        return "-"
    positions = (min(len(ordered) - 1, int(share * len(ordered))) for share in shares)
    return "/".join(str(ordered[position]) for position in positions)


def format_counts(counter):
    """Return a counter as text, in the order of its keys."""
    return " ".join(f"{key}:{count}" for key, count in sorted(counter.items())) or "-"
