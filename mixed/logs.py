"""Checks of nodes' logs: no faults, and each build's commands read the other's."""

import json

from mixed.checks import require

__all__ = ["check_commands", "check_logs"]

# A report, a datagram or a limit that is not valid, a fault of a request, a fault
# of what follows the store.
FORBIDDEN_EVENTS = (4008, 4013, 4017, 6001, 3012)
# The line of a request that was refused, late, lost or sent more than once.
REQUEST_IN_TROUBLE = 6003


def check_commands(checks, mode, service, logs):
    """Check both commands on logs.

    Parameters
    ----------
    checks : Checks
        Takes the results.
    mode : str
        Shown in the results.
    service : str
        Of the requests.
    logs : iterable of tuple
        A log, the build that wrote it and the one that is to read it.
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
    """Return the last line of a request in trouble.

    Notes
    -----
    Its id begins with a letter, so that the command line takes it for no number.
    """
    lines = [json.loads(t) for t in log.read_text().splitlines() if t[:1] == "{"]
    found = [line for line in lines if line["event"] == REQUEST_IN_TROUBLE]
    found = [line for line in found if line["request"][:1].isalpha()]
    require(found, f"{log.name} has no line of a request in trouble")
    return found[-1]


def check_logs(checks, title, folder):
    """Check that no log in a folder tells of a fault."""
    with checks.check(f"{title}: no log tells of a fault") as seen:
        logs = sorted(folder.glob("*.log"))
        faults = [fault for log in logs for fault in find_faults(log)]
        require(not faults, f"{len(faults)}: " + "; ".join(faults[:3]))
        require(logs, "there are no logs")
        seen.append(f"{len(logs)} logs")


def find_faults(log):
    """Yield what no log may hold."""
    lines = log.read_text().splitlines()
    for number, line in enumerate(lines):
        if "Traceback" in line:
            yield f"{log.name}: " + " | ".join(lines[number : number + 30])
        elif line[:1] == "{" and json.loads(line)["event"] in FORBIDDEN_EVENTS:
            yield f"{log.name}: {line}"
