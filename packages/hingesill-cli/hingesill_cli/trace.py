"""Trace of one request, assembled from nodes' log files."""

import json
from dataclasses import dataclass, field

__all__ = [
    "ANY_REQUEST",
    "Line",
    "MAX_TRACES",
    "UNAUTHENTICATED_EVENT",
    "find_traces",
    "format_trace",
    "is_final_refusal",
    "read_lines",
]

# Event numbers; docs/EVENTS.md lists them.
REQUEST_EVENTS = frozenset({6001, 6002, 6003})
# A request without a valid key. Its line has neither service nor organisation.
UNAUTHENTICATED_EVENT = 6005
ENDPOINT_EVENTS = frozenset({4001, 4002, 4003, 4004})
# Events of the node itself, with the start and the end of an outage of its paths.
NODE_EVENTS = frozenset({*range(1000, 4000), 4022, 4023})
# Number of the node's events before the end of the request that are printed.
MAX_NODE_EVENTS = 5
# The request argument that selects all IDs.
ANY_REQUEST = "all"
MAX_TRACES = 20


@dataclass(frozen=True, slots=True)
class Line:
    """One log event.

    Parameters
    ----------
    time, node, text : str
        Time, node and message.
    event : int
        Number of the event.
    fields : dict
        All other fields.
    """

    time: str
    node: str
    text: str
    event: int
    fields: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Trace:
    """Log events that concern one request.

    Parameters
    ----------
    request : Line
        Event at the end of the request.
    node : list of Line
        Last events of its node before the end.
    endpoints : list of Line
        Events of any node about the endpoints to which the request was sent.
    """

    request: Line
    node: list
    endpoints: list


def read_lines(files):
    """Yield the events of log files in the order of each file.

    Parameters
    ----------
    files : iterable of str
        Paths. Text before the JSON of a line is ignored.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    for name in files:
        with open(name, errors="replace") as file:
            for text in file:
                line = parse_line(text)
                if line is not None:
                    yield line


def parse_line(text):
    """Return the event of a line, or None if the line contains none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
        return Line(
            raw.pop("asctime"),
            raw.pop("node"),
            raw.pop("message"),
            int(raw.pop("event")),
            raw,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def find_traces(lines, request_id, organisation=""):
    """Yield a Trace for each node that completed a request with this ID.

    Parameters
    ----------
    lines : iterable of Line
        Log lines of all nodes.
    request_id : str
        ID, or `ANY_REQUEST`.
    organisation : str
        Only requests of this organisation; empty for all.
    """
    lines = list(lines)
    for end in lines:
        is_end = end.event in REQUEST_EVENTS or is_final_refusal(end)
        if not is_end or request_id not in (ANY_REQUEST, end.fields.get("request")):
            continue
        if organisation in ("", end.fields.get("organisation")):
            yield Trace(end, find_node_events(lines, end), find_endpoints(lines, end))


def is_final_refusal(line):
    """Return whether a line is the only one of a request without a valid key.

    Notes
    -----
    A request whose key is removed while it waits has a line at its end as well.
    """
    return (
        line.event == UNAUTHENTICATED_EVENT
        and line.fields.get("cause") != "key removed"
    )


def find_node_events(lines, end):
    """Return the last events of the request's node before the request's end."""
    found = [
        line
        for line in lines
        if line.node == end.node and line.event in NODE_EVENTS and line.time <= end.time
    ]
    return found[-MAX_NODE_EVENTS:]


def find_endpoints(lines, end):
    """Return events about the endpoints to which a request was sent."""
    endpoints = {
        step.split()[2]
        for step in end.fields.get("steps", ())
        if len(step.split()) > 2 and step.split()[1] in ("sent", "hedged")
    }
    return [
        line
        for line in lines
        if line.event in ENDPOINT_EVENTS and line.fields.get("endpoint") in endpoints
    ]


def format_trace(trace):
    """Yield the lines of a trace as text."""
    end = trace.request
    fields = end.fields
    if end.event == UNAUTHENTICATED_EVENT:
        yield (
            f"  {fields.get('cause')}, route {fields.get('host', '')}"
            f"{fields.get('path', '')}, configuration {fields.get('version')}, "
            "outcome not-run, reason unauthenticated, status 401"
        )
        yield from format_events("what the node knew", trace.node)
        return
    outcome = fields.get("outcome")
    organisation = fields.get("organisation")
    of = f", organisation {organisation}" if organisation else ""
    reason = f", reason {fields['reason']}" if fields.get("reason") else ""
    yield f"{end.time} {end.node}: {end.text}"
    yield (
        f"  service {fields.get('service')}{of}, "
        f"configuration {fields.get('version')}, "
        f"outcome {outcome}{reason}, {fields.get('ms')} ms, "
        f"{fields.get('sends')} sends"
    )
    for step in fields.get("steps", ()):
        yield f"    {step}"
    yield from format_events("what the node knew", trace.node)
    yield from format_events("what nodes knew of the endpoints", trace.endpoints)


def format_events(title, lines):
    """Yield the lines of a list of events with a title."""
    if lines:
        yield f"  {title}:"
    for line in lines:
        details = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name != "levelname"
        )
        yield f"    {line.time} {line.node}: {line.text} {details}"
