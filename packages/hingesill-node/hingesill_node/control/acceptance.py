"""An operator's change: checked, then appended to the change log."""

import time

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_core.configuration.changelog import (
    Accepted,
    ChangeRequest,
    Rejection,
)
from hingesill_core.configuration.declaration import parse_declaration
from hingesill_core.configuration.log import ServiceChange
from hingesill_core.configuration.routes import find_route_conflicts
from hingesill_core.findings import Findings
from hingesill_node.control.state import copy_replica
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Acceptance", "build_results"]

ACCEPT_SECONDS = 6.0
MOST_CHANGES = 200
LONGEST_NAME = 200

OUTCOMES = {
    Rejection.CONFLICT: pb.CONFLICT,
    Rejection.UNAVAILABLE: pb.UNAVAILABLE,
    Rejection.UNKNOWN: pb.UNKNOWN,
    Rejection.STORE_BEHIND: pb.UNAVAILABLE,
    Rejection.TOO_LARGE: pb.INVALID,
    Rejection.INVALID: pb.INVALID,
}


class Acceptance:
    """Accepts changes at this node.

    Parameters
    ----------
    state : ControlState
        Gets an accepted change at once.
    changelog : ChangeLog
        The log in the store.
    store_calls : StoreCalls
        Runs the blocking calls.
    authoriser : object
        Tells who may change what.
    """

    def __init__(self, state, changelog, store_calls, authoriser):
        self.state = state
        self.changelog = changelog
        self.store_calls = store_calls
        self.authoriser = authoriser

    async def apply(self, request, author):
        """Return the ApplyReply to a request of a known author."""
        findings = self._check(request, author)
        if findings:
            return build_reply(pb.INVALID, findings)
        for change in request.changes:
            if not self.authoriser.may_change(author, change.service):
                reason = f"{author} may not change {change.service}"
                return pb.ApplyReply(outcome=pb.DENIED, reason=reason)
        changes = select_real_changes(self.state.replica, request.changes)
        if request.dry_run or not changes:
            return self._preview(request, changes)
        return await self._append(request, author, changes)

    def _check(self, request, author):
        """Return everything that is wrong with a request."""
        findings = Findings()
        if not 0 < len(request.operation_id) <= LONGEST_NAME:
            findings.add("operation_id", f"1 to {LONGEST_NAME} characters")
        if len(author) > LONGEST_NAME:
            findings.add("author", f"at most {LONGEST_NAME} characters")
        if not 0 < len(request.changes) <= MOST_CHANGES:
            findings.add("changes", f"1 to {MOST_CHANGES} a call")
        names = [change.service for change in request.changes]
        for index, change in enumerate(request.changes):
            place = f"changes.{index}."
            if names.index(change.service) != index:
                findings.add(f"{place}service", "stands twice in one call")
            if change.document:
                self._check_document(change, place, findings)
        return findings

    def _check_document(self, change, place, findings):
        declaration = parse_declaration(change.document, findings, place)
        if declaration is not None and declaration.service != change.service:
            findings.add(f"{place}service", "differs from the declaration's name")

    def _preview(self, request, changes):
        """Return what a request would change."""
        outcome = pb.ACCEPTED if changes else pb.UNCHANGED
        reply = pb.ApplyReply(outcome=outcome, revision=self.state.replica.revision)
        reply.results.extend(build_results(self.state.replica, request.changes))
        return reply

    async def _append(self, request, author, changes):
        deadline = time.monotonic() + ACCEPT_SECONDS
        results = build_results(self.state.replica, request.changes)
        copy = copy_replica(self.state.replica)
        wanted = ChangeRequest(
            request.operation_id,
            author,
            tuple(
                ServiceChange(c.service, c.document.decode() or None) for c in changes
            ),
            tuple(change.expected_version for change in changes),
            find_route_conflicts,
        )
        verdict = await self.store_calls.run(
            self.changelog.append, copy, wanted, lambda: time.monotonic() < deadline
        )
        self._take(copy)
        return self._answer(request, author, verdict, results)

    def _take(self, copy):
        """Put what the call read or wrote in force at this node."""
        since = self.state.replica.revision
        if copy.revision > since:
            self.state.adopt(copy.build_difference(since), "own write")

    def _answer(self, request, author, verdict, results):
        replica = self.state.replica
        if isinstance(verdict, Accepted):
            log_event(
                Event.CHANGE_ACCEPTED,
                operation=request.operation_id,
                author=author,
                revision=verdict.revision,
            )
            reply = pb.ApplyReply(outcome=pb.ACCEPTED, revision=verdict.revision)
            reply.results.extend(results)
            reply.reason = "accepted before" if verdict.repeated else ""
        else:
            log_event(
                Event.CHANGE_REJECTED,
                operation=request.operation_id,
                author=author,
                reason=verdict.reason.value,
                detail=verdict.detail,
            )
            reason = f"{verdict.reason.value}: {verdict.detail}"
            reply = pb.ApplyReply(outcome=OUTCOMES[verdict.reason], reason=reason)
            reply.revision = replica.revision
            reply.findings.extend(
                pb.Finding(place=f.place, message=f.message) for f in verdict.findings
            )
            reply.results.extend(build_results(replica, request.changes))
        return reply


def build_reply(outcome, findings):
    """Return a reply that holds findings."""
    reply = pb.ApplyReply(outcome=outcome, reason="the request is not valid")
    for finding in findings:
        reply.findings.add(place=finding.place, message=finding.message)
    return reply


def select_real_changes(replica, changes):
    """Return the changes that differ from what is held."""
    return [change for change in changes if describe_change(replica, change)]


def describe_change(replica, change):
    """Return in a word what a change does; empty if it does nothing."""
    held = replica.services.get(change.service)
    document = change.document.decode() or None
    if held is None or held.document is None:
        return "create" if document is not None else ""
    if document is None:
        return "remove"
    return "" if document == held.document else "change"


def build_results(replica, changes):
    """Return one result a change, with the version that is held."""
    results = []
    for change in changes:
        held = replica.services.get(change.service)
        results.append(
            pb.ChangeResult(
                service=change.service,
                current_version=held.version if held else 0,
                changed_by=held.author if held else "",
                summary=describe_change(replica, change) or "as declared",
            )
        )
    return results
