"""The story of one request, put together from nodes' log files."""

import json
from dataclasses import dataclass, field

__all__ = ["Line", "find_story", "read_lines", "write_story"]

# Event numbers; docs/EVENTS.md lists them.
REQUEST_EVENTS = frozenset({6001, 6002, 6003})
ENDPOINT_EVENTS = frozenset({4001, 4002, 4003, 4004})
NODE_EVENTS = range(1000, 4000)
# So many events of the node before the request are shown.
EVENTS_SHOWN = 5


@dataclass(frozen=True, slots=True)
class Line:
    """One log event.

    Parameters
    ----------
    time, node, text : str
        When, where and what happened.
    event : int
        Its number.
    fields : dict
        Everything else.
    """

    time: str
    node: str
    text: str
    event: int
    fields: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Story:
    """What the logs tell of one request.

    Parameters
    ----------
    request : Line
        Its end.
    node : list of Line
        The last events of its node before that.
    endpoints : list of Line
        Events of the endpoints that it was sent to, at any node.
    """

    request: Line
    node: list
    endpoints: list


def read_lines(files):
    """Yield the events of log files in the order of each file.

    Parameters
    ----------
    files : iterable of str
        Paths. What stands before the JSON of a line is passed over.

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
    """Return the event of a line, or None if it holds none."""
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


def find_story(lines, request_id):
    """Yield a Story for each node that ended a request of this id."""
    lines = list(lines)
    for end in lines:
        if end.event in REQUEST_EVENTS and end.fields.get("request") == request_id:
            yield Story(end, find_node_events(lines, end), find_endpoints(lines, end))


def find_node_events(lines, end):
    """Return the last events of the request's node before its end."""
    found = [
        line
        for line in lines
        if line.node == end.node and line.event in NODE_EVENTS and line.time <= end.time
    ]
    return found[-EVENTS_SHOWN:]


def find_endpoints(lines, end):
    """Return events of the endpoints that a request was sent to."""
    sent = {
        step.split()[2]
        for step in end.fields.get("steps", ())
        if len(step.split()) > 2 and step.split()[1] in ("sent", "hedged")
    }
    return [
        line
        for line in lines
        if line.event in ENDPOINT_EVENTS and line.fields.get("endpoint") in sent
    ]


def write_story(story):
    """Yield the lines of a story in plain words."""
    end = story.request
    fields = end.fields
    outcome = fields.get("outcome")
    reason = f", reason {fields['reason']}" if fields.get("reason") else ""
    yield f"{end.time} {end.node}: {end.text}"
    yield (
        f"  service {fields.get('service')}, configuration {fields.get('version')}, "
        f"outcome {outcome}{reason}, {fields.get('ms')} ms, "
        f"{fields.get('sends')} sends"
    )
    for step in fields.get("steps", ()):
        yield f"    {step}"
    yield from write_events("what the node knew", story.node)
    yield from write_events("what nodes knew of the endpoints", story.endpoints)


def write_events(title, lines):
    """Yield a titled list of events."""
    if lines:
        yield f"  {title}:"
    for line in lines:
        details = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name != "levelname"
        )
        yield f"    {line.time} {line.node}: {line.text} {details}"
