"""The commands: each prints what it found and returns an exit code."""

import getpass
import json
import sys
import time
import uuid

import yaml

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_cli.breakdown import collect_windows, write_windows
from hingesill_cli.client import CallFailed, Client
from hingesill_cli.trace import find_story, read_lines, write_story
from hingesill_core.configuration.files import load_declarations

__all__ = ["Commands"]

EXIT_OK = 0
EXIT_INVALID = 2
EXIT_NO_ANSWER = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5
EXIT_DENIED = 6
EXIT_LAGGING = 7
POLL_SECONDS = 0.2

EXITS = {
    pb.ACCEPTED: EXIT_OK,
    pb.UNCHANGED: EXIT_OK,
    pb.CONFLICT: EXIT_CONFLICT,
    pb.INVALID: EXIT_INVALID,
    pb.UNKNOWN: EXIT_UNKNOWN,
    pb.UNAVAILABLE: EXIT_NO_ANSWER,
    pb.DENIED: EXIT_DENIED,
}


def complain(text):
    """Print a line for the operator on the standard error."""
    print(f"hingesill: {text}", file=sys.stderr)


def report_findings(findings):
    """Print every finding; return the exit code."""
    for finding in findings:
        complain(finding)
    return EXIT_INVALID


class Commands:
    """Operate hingesill.

    Parameters
    ----------
    node, token, ca, certificate, key : str
        See `hingesill_cli.client.Client`.
    """

    def __init__(self, node="", token="", ca="", certificate="", key=""):
        self._connection = (node, token, ca, certificate, key)

    def _call(self, name, request):
        """Return the reply; None once the operator was told that there is none."""
        reply = Client(*self._connection).call(name, request)
        if isinstance(reply, CallFailed):
            complain(reply.reason)
            return None
        return reply

    def validate(self, f):
        """Check declarations without any node.

        Parameters
        ----------
        f : str
            A file or a folder.
        """
        declarations, findings = load_declarations(f)
        if findings:
            return report_findings(findings)
        for declaration in declarations:
            print(f"{declaration.service}: valid")
        return EXIT_OK

    def trace(self, request, *files):
        """Tell what became of a request, from nodes' log files.

        Parameters
        ----------
        request : str
            Its id, as the caller gave it.
        files : str
            Log files of one or more nodes.
        """
        if not files:
            complain("trace: name at least one log file")
            return EXIT_INVALID
        try:
            stories = list(find_story(read_lines(map(str, files)), str(request)))
        except OSError as error:
            complain(f"trace: {error.filename}: {error.strerror}")
            return EXIT_INVALID
        if not stories:
            complain(f"trace: no line tells of the request {request}")
            return EXIT_NO_ANSWER
        for story in stories:
            for line in write_story(story):
                print(line)
        return EXIT_OK

    def breakdown(self, *files, seconds=2.0):
        """Tell where the time of requests went, by window and service.

        Parameters
        ----------
        files : str
            Log files of one or more nodes.
        seconds : float
            Length of a window.
        """
        if not files:
            complain("breakdown: name at least one log file")
            return EXIT_INVALID
        if not isinstance(seconds, (int, float)) or seconds <= 0:
            complain("breakdown: --seconds is a number above 0")
            return EXIT_INVALID
        try:
            windows = collect_windows(read_lines(map(str, files)), seconds)
        except OSError as error:
            complain(f"breakdown: {error.filename}: {error.strerror}")
            return EXIT_INVALID
        if not windows:
            complain("breakdown: no line tells of a request")
            return EXIT_NO_ANSWER
        for line in write_windows(windows):
            print(line)
        return EXIT_OK

    def apply(self, f, dry_run=False, operation="", author="", remove=""):
        """Put declarations in force.

        Parameters
        ----------
        f : str
            A file or a folder.
        dry_run : bool
            Only say what would change.
        operation : str
            The id of this operation; repeat it after an unknown outcome.
        author : str
            Who asks; the user's name if empty.
        remove : str
            Services to remove, by commas.
        """
        declarations, findings = load_declarations(f)
        if findings:
            return report_findings(findings)
        changes = [
            pb.Change(service=d.service, document=d.model_dump_json().encode())
            for d in declarations
        ]
        names = [name for name in str(remove).split(",") if name]
        changes += [pb.Change(service=name) for name in names]
        return self._apply(changes, dry_run, operation, author)

    def remove(self, service, operation="", author=""):
        """Remove a service; its tombstone keeps it from coming back."""
        return self._apply([pb.Change(service=service)], False, operation, author)

    def _apply(self, changes, dry_run, operation, author):
        held = self._call("Get", pb.GetRequest())
        if held is None:
            return EXIT_NO_ANSWER
        versions = {document.service: document.version for document in held.documents}
        for change in changes:
            change.expected_version = versions.get(change.service, 0)
        operation = operation or uuid.uuid4().hex
        request = pb.ApplyRequest(
            operation_id=operation,
            author=author or getpass.getuser(),
            changes=changes,
            dry_run=dry_run,
        )
        reply = self._call("Apply", request)
        if reply is None:
            complain(f"it is not known what became of operation {operation}")
            return EXIT_UNKNOWN
        return self._report_apply(reply, operation, dry_run)

    def _report_apply(self, reply, operation, dry_run):
        outcome = pb.ApplyOutcome.Name(reply.outcome).lower()
        heading = "would be " if dry_run else ""
        print(f"{heading}{outcome} at revision {reply.revision} ({operation})")
        for result in reply.results:
            by = f" by {result.changed_by}" if result.changed_by else ""
            version = f"version {result.current_version}{by}"
            print(f"  {result.service}: {result.summary} ({version})")
        for finding in reply.findings:
            complain(f"{finding.place}: {finding.message}")
        if reply.reason:
            print(f"  {reply.reason}")
        return EXITS.get(reply.outcome, EXIT_NO_ANSWER)

    def get(self, *services):
        """Print declarations as they are in force, as YAML."""
        reply = self._call("Get", pb.GetRequest(services=[str(s) for s in services]))
        if reply is None:
            return EXIT_NO_ANSWER
        print(f"# revision {reply.revision}")
        for item in reply.documents:
            print(f"--- # {item.service} version {item.version} by {item.author}")
            content = json.loads(item.document) if item.document else None
            print(yaml.safe_dump(content, sort_keys=False).rstrip())
        return EXIT_OK

    def operation(self, id):
        """Say what became of an operation, by its id."""
        reply = self._call("GetOperation", pb.GetOperationRequest(operation_id=str(id)))
        if reply is None:
            return EXIT_NO_ANSWER
        return self._report_apply(reply, str(id), False)

    def status(self, wait=0.0, revision=0):
        """Print what is in force on each node.

        Parameters
        ----------
        wait : float
            Seconds to wait until every node heard from has the revision.
        revision : int
            The revision to wait for; the asked node's own if 0.
        """
        deadline = time.monotonic() + float(wait)
        while True:
            reply = self._call("Status", pb.StatusRequest(fleet=True))
            if reply is None:
                return EXIT_NO_ANSWER
            wanted = revision or max(node.revision for node in reply.nodes)
            lagging = [n for n in reply.nodes if n.unreachable or n.revision < wanted]
            if not lagging or time.monotonic() >= deadline:
                break
            time.sleep(POLL_SECONDS)
        for node in sorted(reply.nodes, key=lambda n: (n.data_centre, n.node)):
            print(describe_node(node, wanted))
        print(f"{len(reply.nodes) - len(lagging)} of {len(reply.nodes)} at {wanted}")
        return EXIT_LAGGING if lagging and wait else EXIT_OK

    def drain(self, service, endpoint, cancel=False):
        """Have all nodes give an endpoint no new work, or take that back."""
        request = pb.DrainRequest(service=service, endpoint=endpoint, cancel=cancel)
        reply = self._call("Drain", request)
        if reply is None:
            return EXIT_NO_ANSWER
        if reply.reason:
            complain(reply.reason)
            return EXIT_INVALID
        print(f"told to this node and {reply.nodes_told} others")
        return EXIT_OK

    def explain(self, method, path):
        """Say how the node would route a request now, and why."""
        request = pb.ExplainRequest(method=method.upper(), path=path)
        reply = self._call("Explain", request)
        if reply is None:
            return EXIT_NO_ANSWER
        if reply.reason:
            complain(reply.reason)
            return EXIT_INVALID
        print(f"{reply.service}, route {reply.route}, policy {reply.policy}")
        for item in reply.candidates:
            state = "eligible" if item.eligible else item.reason
            print(
                f"  {item.endpoint}: {item.score_ms:.2f} ms expected, "
                f"{item.in_flight} in flight, {item.reported_load:.1f} of others, "
                f"{state}"
            )
        return EXIT_OK


def describe_node(node, wanted):
    """Return one line on a node."""
    if node.unreachable:
        return f"{node.data_centre} {node.node}: not heard from ({node.unreachable})"
    state = "ready" if node.ready else "not ready"
    source = "relay" if node.relay else f"from {node.parent or 'nobody'}"
    lag = "" if node.revision >= wanted else f", {wanted - node.revision} behind"
    age = node.confirmed_age_ms / 1000
    confirmed = f"confirmed {age:.1f} s ago" if age < 1e9 else "never confirmed"
    return (
        f"{node.data_centre} {node.node}: revision {node.revision}{lag}, "
        f"{confirmed}, {state}, {source}"
    )
