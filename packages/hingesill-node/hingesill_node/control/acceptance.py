"""Acceptance of changes by operators: validation, then an append to the change log."""

import time

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_core.configuration.changelog import (
    Accepted,
    ChangeRequest,
    Rejection,
)
from hingesill_core.configuration.declaration import parse_declaration
from hingesill_core.configuration.log import ServiceChange, is_organisation
from hingesill_core.configuration.organisations import (
    find_key_conflicts,
    parse_organisation,
)
from hingesill_core.configuration.routes import find_route_conflicts
from hingesill_core.findings import Findings
from hingesill_node.control.state import copy_replica
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Acceptance", "build_results"]

ACCEPT_TIMEOUT_SECONDS = 6.0
MAX_CHANGES_PER_CALL = 200
MAX_NAME_LENGTH = 200

OUTCOMES = {
    Rejection.CONFLICT: pb.CONFLICT,
    Rejection.UNAVAILABLE: pb.UNAVAILABLE,
    Rejection.UNKNOWN: pb.UNKNOWN,
    Rejection.STORE_BEHIND: pb.UNAVAILABLE,
    Rejection.TOO_LARGE: pb.INVALID,
    Rejection.INVALID: pb.INVALID,
}


class Acceptance:
    """Validates changes and appends them to the change log.

    Parameters
    ----------
    state : ControlState
        State that an accepted change is applied to at once.
    changelog : ChangeLog
        Change log in the store.
    store_calls : StoreCalls
        Runs the blocking calls to the store.
    authoriser : object
        Decides which author may change which service.
    """

    def __init__(self, state, changelog, store_calls, authoriser):
        self.state = state
        self.changelog = changelog
        self.store_calls = store_calls
        self.authoriser = authoriser

    async def apply(self, request, author):
        """Return the ApplyReply to a request of an authenticated author."""
        findings = self._check(request, author)
        if findings:
            return build_invalid_reply(pb.INVALID, findings)
        for change in request.changes:
            if not self.authoriser.may_change(author, change.service):
                reason = f"{author} may not change {change.service}"
                return pb.ApplyReply(outcome=pb.DENIED, reason=reason)
        changes = select_effective_changes(self.state.replica, request.changes)
        if request.dry_run or not changes:
            return self._preview(request, changes)
        return await self._append(request, author, changes)

    def _check(self, request, author):
        """Return all findings about an invalid request."""
        findings = Findings()
        if not 0 < len(request.operation_id) <= MAX_NAME_LENGTH:
            findings.add("operation_id", f"1 to {MAX_NAME_LENGTH} characters")
        if len(author) > MAX_NAME_LENGTH:
            findings.add("author", f"at most {MAX_NAME_LENGTH} characters")
        if not 0 < len(request.changes) <= MAX_CHANGES_PER_CALL:
            findings.add("changes", f"1 to {MAX_CHANGES_PER_CALL} changes per call")
        names = [change.service for change in request.changes]
        for index, change in enumerate(request.changes):
            prefix = f"changes.{index}."
            if names.index(change.service) != index:
                findings.add(f"{prefix}service", "duplicate service in one call")
            if change.document:
                self._check_document(change, prefix, findings)
        return findings

    def _check_document(self, change, prefix, findings):
        if is_organisation(change.service):
            parsed = parse_organisation(change.document, findings, prefix)
        else:
            parsed = parse_declaration(change.document, findings, prefix)
        if parsed is not None and parsed.document_name != change.service:
            findings.add(f"{prefix}service", "differs from the name in the declaration")

    def _preview(self, request, changes):
        """Return the ApplyReply of a dry run or of a request that changes nothing."""
        findings = find_conflicts(self.state.replica, build_changes(changes))
        if findings:
            return build_invalid_reply(pb.INVALID, findings)
        outcome = pb.ACCEPTED if changes else pb.UNCHANGED
        reply = pb.ApplyReply(outcome=outcome, revision=self.state.replica.revision)
        reply.results.extend(build_results(self.state.replica, request.changes))
        return reply

    async def _append(self, request, author, changes):
        deadline = time.monotonic() + ACCEPT_TIMEOUT_SECONDS
        results = build_results(self.state.replica, request.changes)
        copy = copy_replica(self.state.replica)
        change_request = ChangeRequest(
            request.operation_id,
            author,
            build_changes(changes),
            tuple(change.expected_version for change in changes),
            find_conflicts,
        )
        append_result = await self.store_calls.run(
            self.changelog.append,
            copy,
            change_request,
            lambda: time.monotonic() < deadline,
        )
        self._adopt(copy)
        return self._build_append_reply(request, author, append_result, results)

    def _adopt(self, copy):
        """Apply the entries that the call read or wrote to the state of this node."""
        since = self.state.replica.revision
        if copy.revision > since:
            self.state.adopt(copy.build_difference(since), "own write")

    def _build_append_reply(self, request, author, append_result, results):
        replica = self.state.replica
        if isinstance(append_result, Accepted):
            log_event(
                Event.CHANGE_ACCEPTED,
                operation=request.operation_id,
                author=author,
                revision=append_result.revision,
            )
            reply = pb.ApplyReply(outcome=pb.ACCEPTED, revision=append_result.revision)
            reply.results.extend(results)
            reply.reason = "already accepted" if append_result.repeated else ""
        else:
            log_event(
                Event.CHANGE_REJECTED,
                operation=request.operation_id,
                author=author,
                reason=append_result.reason.value,
                detail=append_result.detail,
            )
            reason = f"{append_result.reason.value}: {append_result.detail}"
            reply = pb.ApplyReply(outcome=OUTCOMES[append_result.reason], reason=reason)
            reply.revision = replica.revision
            reply.findings.extend(
                pb.Finding(place=f.place, message=f.message)
                for f in append_result.findings
            )
            reply.results.extend(build_results(replica, request.changes))
        return reply


def build_changes(changes):
    """Return the ServiceChanges for the changes of a request."""
    return tuple(ServiceChange(c.service, c.document.decode() or None) for c in changes)


def find_conflicts(replica, changes):
    """Return findings for routes of two services and keys of two organisations."""
    findings = find_route_conflicts(replica, changes)
    findings.extend(find_key_conflicts(replica, changes))
    return findings


def build_invalid_reply(outcome, findings):
    """Return a reply that lists findings."""
    reply = pb.ApplyReply(outcome=outcome, reason="invalid request")
    for finding in findings:
        reply.findings.add(place=finding.place, message=finding.message)
    return reply


def select_effective_changes(replica, changes):
    """Return the changes that differ from the current services."""
    return [change for change in changes if describe_change(replica, change)]


def describe_change(replica, change):
    """Return "create", "remove" or "change", or "" if a change has no effect."""
    current = replica.services.get(change.service)
    document = change.document.decode() or None
    if current is None or current.document is None:
        return "create" if document is not None else ""
    if document is None:
        return "remove"
    return "" if document == current.document else "change"


def build_results(replica, changes):
    """Return one append_result per change, with the current version of its service."""
    results = []
    for change in changes:
        current = replica.services.get(change.service)
        results.append(
            pb.ChangeResult(
                service=change.service,
                current_version=current.version if current else 0,
                changed_by=current.author if current else "",
                summary=describe_change(replica, change) or "as declared",
            )
        )
    return results
