"""Checks of node logs: no faults, and log commands that read the other build's logs."""

import json

from mixed.checks import require

__all__ = ["check_commands", "check_logs"]

# Invalid report, datagram or limit, fault of a request, fault of a task that follows
# the store.
FORBIDDEN_EVENTS = (4008, 4013, 4017, 6001, 3012)
# Log event of a request that was refused, late, lost or sent more than once.
IRREGULAR_REQUEST = 6003


def check_commands(checks, mode, service, logs):
    """Check the commands ``trace`` and ``breakdown`` on logs.

    Parameters
    ----------
    checks : Checks
        Results to add to.
    mode : str
        Mode to show in the results.
    service : str
        Service of the requests.
    logs : iterable of tuple
        A log, the build that wrote it and the build that reads it.
    """
    for log, writer, reader in logs:
        name = f"{mode}: commands of {reader.name} read a log of {writer.name}"
        with checks.check(name) as seen:
            line = find_request(log)
            story = reader.run_cli("trace", line["request"], log)
            require(f"outcome {line['outcome']}" in story, story)
            require(f"service {service}" in story, story)
            table = reader.run_cli("breakdown", log)
            require(any(service in row.split() for row in table.splitlines()), table)
            seen.append(f"outcome {line['outcome']}, {len(story.splitlines())} lines")
            seen.append(f"{len(table.splitlines()) - 1} rows")


def find_request(log):
    """Return the last line of a request that was not served normally.

    Notes
    -----
    The id of the request begins with a letter, as the command line would parse some ids
    of digits as numbers.
    """
    lines = [json.loads(t) for t in log.read_text().splitlines() if t[:1] == "{"]
    found = [line for line in lines if line["event"] == IRREGULAR_REQUEST]
    found = [line for line in found if line["request"][:1].isalpha()]
    require(
        found, f"{log.name} has no line of a refused, late, lost or retried request"
    )
    return found[-1]


def check_logs(checks, title, folder):
    """Check that no log in a folder reports a fault."""
    with checks.check(f"{title}: no log reports a fault") as seen:
        logs = sorted(folder.glob("*.log"))
        faults = [fault for log in logs for fault in find_faults(log)]
        require(not faults, f"{len(faults)}: " + "; ".join(faults[:3]))
        require(logs, "there are no logs")
        seen.append(f"{len(logs)} logs")


def find_faults(log):
    """Yield the tracebacks and forbidden events of a log."""
    lines = log.read_text().splitlines()
    for number, line in enumerate(lines):
        if "Traceback" in line:
            yield f"{log.name}: " + " | ".join(lines[number : number + 30])
        elif line[:1] == "{" and json.loads(line)["event"] in FORBIDDEN_EVENTS:
            yield f"{log.name}: {line}"
