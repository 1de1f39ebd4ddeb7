"""Commands; each prints its result and returns an exit code."""

import getpass
import json
import sys
import time
import uuid

import yaml

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_cli.breakdown import SUBJECTS, collect_windows, format_windows
from hingesill_cli.client import CallFailed, Client
from hingesill_cli.tenants import collect_rows, fetch_organisations, format_rows
from hingesill_cli.trace import (
    ANY_REQUEST,
    MAX_TRACES,
    find_traces,
    format_trace,
    read_lines,
)
from hingesill_core.configuration.files import load_declarations

__all__ = ["Commands"]

EXIT_OK = 0
EXIT_INVALID = 2
EXIT_NO_ANSWER = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5
EXIT_DENIED = 6
EXIT_LAGGING = 7
POLL_INTERVAL_SECONDS = 0.2
DEFAULT_ADMIN_ADDRESS = "127.0.0.1:8082"

EXITS = {
    pb.ACCEPTED: EXIT_OK,
    pb.UNCHANGED: EXIT_OK,
    pb.CONFLICT: EXIT_CONFLICT,
    pb.INVALID: EXIT_INVALID,
    pb.UNKNOWN: EXIT_UNKNOWN,
    pb.UNAVAILABLE: EXIT_NO_ANSWER,
    pb.DENIED: EXIT_DENIED,
}


def print_error(text):
    """Print an error message to the standard error."""
    print(f"hingesill: {text}", file=sys.stderr)


def report_findings(findings):
    """Print all findings; return the exit code."""
    for finding in findings:
        print_error(finding)
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
        """Return the reply; if the call fails, print the error and return None."""
        reply = Client(*self._connection).call(name, request)
        if isinstance(reply, CallFailed):
            print_error(reply.reason)
            return None
        return reply

    def validate(self, f):
        """Validate declarations without a node.

        Parameters
        ----------
        f : str
            A file or a folder.
        """
        declarations, findings = load_declarations(f)
        if findings:
            return report_findings(findings)
        for declaration in declarations:
            print(f"{declaration.label}: valid")
        return EXIT_OK

    def trace(self, request, *files, organisation=""):
        """Print the trace of a request from nodes' log files.

        Parameters
        ----------
        request : str
            ID of the request, as sent by the caller; ``all`` for the last requests of
            an organisation.
        files : str
            Log files of one or more nodes.
        organisation : str
            Only requests of this organisation.
        """
        if request == ANY_REQUEST and not organisation:
            print_error("trace: all needs --organisation=NAME")
            return EXIT_INVALID
        if not files:
            print_error("trace: name at least one log file")
            return EXIT_INVALID
        try:
            lines = read_lines(map(str, files))
            traces = list(find_traces(lines, str(request), str(organisation)))
        except OSError as error:
            print_error(f"trace: {error.filename}: {error.strerror}")
            return EXIT_INVALID
        if not traces:
            of = f" of the organisation {organisation}" if organisation else ""
            print_error(f"trace: no log line has the request {request}{of}")
            return EXIT_NO_ANSWER
        for trace in traces[-MAX_TRACES:]:
            for line in format_trace(trace):
                print(line)
        return EXIT_OK

    def breakdown(self, *files, seconds=2.0, organisation="", by="service"):
        """Print a latency breakdown of requests by window and service.

        Parameters
        ----------
        files : str
            Log files of one or more nodes.
        seconds : float
            Length of a window.
        organisation : str
            Only requests of this organisation.
        by : str
            ``service``, or ``organisation`` for a line for each organisation.
        """
        if not files:
            print_error("breakdown: name at least one log file")
            return EXIT_INVALID
        if not isinstance(seconds, (int, float)) or seconds <= 0:
            print_error("breakdown: --seconds must be a number above 0")
            return EXIT_INVALID
        if by not in SUBJECTS:
            print_error(f"breakdown: --by must be one of {', '.join(SUBJECTS)}")
            return EXIT_INVALID
        try:
            lines = read_lines(map(str, files))
            windows = collect_windows(lines, seconds, str(organisation), by)
        except OSError as error:
            print_error(f"breakdown: {error.filename}: {error.strerror}")
            return EXIT_INVALID
        if not windows:
            print_error("breakdown: no line of a request in the log files")
            return EXIT_NO_ANSWER
        for line in format_windows(windows, by):
            print(line)
        return EXIT_OK

    def tenants(self, *addresses):
        """Print the organisations with their quotas and what is used of them.

        Parameters
        ----------
        addresses : str
            Admin addresses of nodes, ``IP:PORT``; used, refused and waiting are sums
            over these nodes.
        """
        pages = []
        for address in addresses or (DEFAULT_ADMIN_ADDRESS,):
            try:
                pages.append(fetch_organisations(str(address)))
            except (OSError, ValueError) as error:
                print_error(f"tenants: {address}: {error}")
        if not pages:
            return EXIT_NO_ANSWER
        rows = collect_rows(pages)
        if rows is None:
            print("no organisations: callers need no keys")
        else:
            print("\n".join(format_rows(rows)))
        return EXIT_OK if len(pages) == len(addresses or (1,)) else EXIT_NO_ANSWER

    def apply(self, f, dry_run=False, operation="", author="", remove="", check=False):
        """Apply declarations.

        Parameters
        ----------
        f : str
            A file or a folder.
        dry_run : bool
            Only print what would change.
        operation : str
            ID of this operation; pass the same ID to repeat it after an unknown
            outcome.
        author : str
            Author of the change; the user's name if empty.
        remove : str
            Services and ``organisation:NAME`` to remove, comma-separated.
        check : bool
            The same as ``dry_run``.
        """
        declarations, findings = load_declarations(f)
        if findings:
            return report_findings(findings)
        changes = [
            pb.Change(service=d.document_name, document=d.encode_document())
            for d in declarations
        ]
        names = [name for name in str(remove).split(",") if name]
        changes += [pb.Change(service=name) for name in names]
        return self._apply(changes, dry_run or check, operation, author)

    def remove(self, service, operation="", author=""):
        """Remove a service or ``organisation:NAME``, which leaves a tombstone."""
        return self._apply([pb.Change(service=service)], False, operation, author)

    def _apply(self, changes, dry_run, operation, author):
        current = self._call("Get", pb.GetRequest())
        if current is None:
            return EXIT_NO_ANSWER
        versions = {
            document.service: document.version for document in current.documents
        }
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
            print_error(f"unknown outcome of operation {operation}")
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
            print_error(f"{finding.place}: {finding.message}")
        if reply.reason:
            print(f"  {reply.reason}")
        return EXITS.get(reply.outcome, EXIT_NO_ANSWER)

    def get(self, *services):
        """Print the declarations in force as YAML."""
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
        """Print the outcome of an operation by its ID."""
        reply = self._call("GetOperation", pb.GetOperationRequest(operation_id=str(id)))
        if reply is None:
            return EXIT_NO_ANSWER
        return self._report_apply(reply, str(id), False)

    def status(self, wait=0.0, revision=0):
        """Print the revision and state of each node.

        Parameters
        ----------
        wait : float
            Maximum number of seconds to wait until all nodes have the revision.
        revision : int
            Revision to wait for; the highest of all nodes if 0.
        """
        deadline = time.monotonic() + float(wait)
        while True:
            reply = self._call("Status", pb.StatusRequest(fleet=True))
            if reply is None:
                return EXIT_NO_ANSWER
            target = revision or max(node.revision for node in reply.nodes)
            lagging = [n for n in reply.nodes if n.unreachable or n.revision < target]
            if not lagging or time.monotonic() >= deadline:
                break
            time.sleep(POLL_INTERVAL_SECONDS)
        for node in sorted(reply.nodes, key=lambda n: (n.data_centre, n.node)):
            print(describe_node(node, target))
        print(f"{len(reply.nodes) - len(lagging)} of {len(reply.nodes)} at {target}")
        return EXIT_LAGGING if lagging and wait else EXIT_OK

    def drain(self, service, endpoint, cancel=False):
        """Drain an endpoint on all nodes, or cancel the drain."""
        request = pb.DrainRequest(service=service, endpoint=endpoint, cancel=cancel)
        reply = self._call("Drain", request)
        if reply is None:
            return EXIT_NO_ANSWER
        if reply.reason:
            print_error(reply.reason)
            return EXIT_INVALID
        print(f"announced to this node and {reply.nodes_told} others")
        return EXIT_OK

    def explain(self, method, path):
        """Print how the node would route a request now, and why."""
        request = pb.ExplainRequest(method=method.upper(), path=path)
        reply = self._call("Explain", request)
        if reply is None:
            return EXIT_NO_ANSWER
        if reply.reason:
            print_error(reply.reason)
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


def describe_node(node, target):
    """Return the status line of a node."""
    if node.unreachable:
        return f"{node.data_centre} {node.node}: unreachable ({node.unreachable})"
    state = "ready" if node.ready else "not ready"
    source = "relay" if node.relay else f"from {node.parent or 'nobody'}"
    lag = "" if node.revision >= target else f", {target - node.revision} behind"
    age = node.confirmed_age_ms / 1000
    confirmed = f"confirmed {age:.1f} s ago" if age < 1e9 else "never confirmed"
    return (
        f"{node.data_centre} {node.node}: revision {node.revision}{lag}, "
        f"{confirmed}, {state}, {source}"
    )
