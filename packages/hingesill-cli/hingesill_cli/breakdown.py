"""Where the time of requests went, by window and service, from nodes' log files."""

import re
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime

from hingesill_cli.trace import REQUEST_EVENTS

__all__ = ["Window", "collect_windows", "write_windows"]

# The time format of log lines, with milliseconds after the comma.
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# "12ms sent i-1 3/6 x1 0ms old": when, what, the endpoint and its taken slots.
SEND = re.compile(r"(\d+)ms (sent|hedged) (\S+)(?: (\d+)/\d+)?")
NOBODY_ASKED = re.compile(r"\d+ms asked(?: \(\d+ resting\))?$")
HEAD = (
    "from      service       requests  wait ms 50/90  endpoint ms 50/90  all ms 50/99"
    "  hedged  sent again  asked nobody  taken slots at the send, refusals"
)


@dataclass(slots=True)
class Window:
    """The requests of one service that ended within some seconds.

    Attributes
    ----------
    waits, works, totals : list of int
        Milliseconds before the first send, from the last send to the answer, and in
        all.
    hedged, sent_again, nobody_asked : int
        Requests that had a second send beside the first, one after it, and for which
        nobody could be asked at first.
    levels, refusals : Counter
        Sends by the slots that were taken, and refusals by reason.
    """

    waits: list = field(default_factory=list)
    works: list = field(default_factory=list)
    totals: list = field(default_factory=list)
    hedged: int = 0
    sent_again: int = 0
    nobody_asked: int = 0
    levels: Counter = field(default_factory=Counter)
    refusals: Counter = field(default_factory=Counter)

    def note(self, fields):
        """Take the fields of a request's line."""
        steps = fields.get("steps", ())
        sends = [match for match in map(SEND.match, steps) if match]
        milliseconds = int(fields.get("ms", 0))
        self.totals.append(milliseconds)
        self.nobody_asked += any(map(NOBODY_ASKED.match, steps))
        self.hedged += any(send[2] == "hedged" for send in sends)
        self.sent_again += sum(send[2] == "sent" for send in sends) > 1
        self.levels.update(int(send[4]) for send in sends if send[4] is not None)
        if fields.get("reason"):
            self.refusals[fields["reason"]] += 1
        if sends:
            self.waits.append(int(sends[0][1]))
        if sends and not fields.get("reason"):
            self.works.append(milliseconds - int(sends[-1][1]))


def collect_windows(lines, seconds):
    """Return a Window by its start, in seconds of the epoch, and service.

    Parameters
    ----------
    lines : iterable of Line
        Of all nodes.
    seconds : float
        Length of a window.
    """
    windows = {}
    for line in lines:
        start = find_start(line.time, seconds)
        if line.event in REQUEST_EVENTS and start is not None:
            key = start, line.fields.get("service", "")
            windows.setdefault(key, Window()).note(line.fields)
    return windows


def find_start(text, seconds):
    """Return the start of the window that a time lies in; None if it is none."""
    try:
        at = datetime.strptime(text, TIME_FORMAT).timestamp()
    except ValueError:
        return None
    return at - at % seconds


def write_windows(windows):
    """Yield a table, a line for each window and service in order."""
    yield HEAD
    for (start, service), window in sorted(windows.items()):
        time = datetime.fromtimestamp(start).strftime("%H:%M:%S")
        yield (
            f"{time}  {service[:12]:12}  {len(window.totals):8}"
            f"  {show(window.waits, 0.5, 0.9):>13}  {show(window.works, 0.5, 0.9):>17}"
            f"  {show(window.totals, 0.5, 0.99):>12}  {window.hedged:6}"
            f"  {window.sent_again:10}  {window.nobody_asked:12}"
            f"  {show_counts(window.levels)}; {show_counts(window.refusals)}"
        )


def show(values, *shares):
    """Return quantiles of values as text."""
    ordered = sorted(values)
    if not ordered:
        return "-"
    places = (min(len(ordered) - 1, int(share * len(ordered))) for share in shares)
    return "/".join(str(ordered[place]) for place in places)


def show_counts(counter):
    """Return a counter as text, in the order of its keys."""
    return " ".join(f"{key}:{count}" for key, count in sorted(counter.items())) or "-"
