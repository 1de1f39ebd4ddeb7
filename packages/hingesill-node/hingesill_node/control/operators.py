"""The gRPC service for operators."""

import asyncio
import time

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import OperatorsServicer, PeersStub
from hingesill_core.membership.drainnotices import DrainNotice
from hingesill_node.control.messages import build_node_status

__all__ = ["Operators"]

PEER_TIMEOUT_SECONDS = 2.0
MAX_QUERIED_NODES = 500
MAX_CONCURRENT_QUERIES = 32
OPERATOR_DRAIN_SECONDS = 600.0
EXPLAIN_TIMEOUT_SECONDS = 1.0


class Operators(OperatorsServicer):
    """Serves the calls of operators.

    Parameters
    ----------
    state : ControlState
        Replica, membership and drain notices of the node.
    acceptance : Acceptance
        Validates and appends changes.
    announcer : Announcer
        Sends drain notices to other nodes.
    authoriser : object
        Decides which author may change which service.
    channels : Channels
        Channels to other nodes.
    is_ready : callable
        Returns whether the node is ready.
    explain : callable
        Takes a method, a path and a callback for the reply, and asks the hub to
        explain the route.
    """

    def __init__(
        self, state, acceptance, announcer, authoriser, channels, is_ready, explain
    ):
        self.state = state
        self.acceptance = acceptance
        self.announcer = announcer
        self.authoriser = authoriser
        self.channels = channels
        self.is_ready = is_ready
        self.explain = explain

    def _find_author(self, context, claimed=""):
        """Return the author of a call, or None if it has no valid token."""
        metadata = dict(context.invocation_metadata() or ())
        token = metadata.get("authorization", "").removeprefix("Bearer ")
        return self.authoriser.find_author(token, claimed)

    async def Apply(self, request, context):
        """Accept a change, or return the reason of its rejection."""
        author = self._find_author(context, request.author)
        if author is None:
            return pb.ApplyReply(outcome=pb.DENIED, reason="no valid token")
        if self.state.interests:
            reason = "this node holds only some services; use an entry node"
            return pb.ApplyReply(outcome=pb.UNAVAILABLE, reason=reason)
        return await self.acceptance.apply(request, author)

    async def Get(self, request, context):
        """Return the declarations in force at this node."""
        replica = self.state.replica
        reply = pb.GetReply(revision=replica.revision)
        for name in sorted(request.services or replica.services):
            current = replica.services.get(name)
            if current is None:
                continue
            document = (current.document or "").encode()
            reply.documents.add(
                service=name,
                version=current.version,
                document=document,
                author=current.author,
            )
        return reply

    async def GetOperation(self, request, context):
        """Return the outcome of an operation."""
        revision = self.state.replica.find_operation(request.operation_id)
        if revision is None and self.state.is_store_available:
            return pb.ApplyReply(
                outcome=pb.UNCHANGED,
                revision=self.state.replica.revision,
                reason="this node knows no such operation",
            )
        if revision is None:
            reason = "unknown to this node, and the store does not answer"
            return pb.ApplyReply(outcome=pb.UNKNOWN, reason=reason)
        return pb.ApplyReply(outcome=pb.ACCEPTED, revision=revision)

    async def Status(self, request, context):
        """Return the status of this node and, if requested, of the other nodes."""
        own = build_node_status(self.state, self.is_ready(), self.state.counters)
        reply = pb.StatusReply()
        reply.self.CopyFrom(own)
        if request.fleet:
            others = [
                vm
                for vm in self.state.membership.list_all()
                if vm.name != self.state.own.name
            ]
            limit = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
            queried = others[:MAX_QUERIED_NODES]
            answers = await asyncio.gather(
                *(self._query_status(vm, limit) for vm in queried)
            )
            reply.nodes.append(own)
            reply.nodes.extend(answers)
        return reply

    async def _query_status(self, vm, limit):
        """Return the status of another node, or the error of the call."""
        stub = PeersStub(self.channels.get(vm.control))
        async with limit:
            try:
                return await stub.Inspect(
                    pb.StatusRequest(), timeout=PEER_TIMEOUT_SECONDS
                )
            except grpc.aio.AioRpcError as error:
                return pb.NodeStatus(
                    node=vm.name,
                    data_centre=vm.data_centre,
                    unreachable=error.code().name,
                )

    async def Drain(self, request, context):
        """Stop new requests to an endpoint at all nodes, even without the store."""
        author = self._find_author(context)
        if author is None or not self.authoriser.may_change(author, request.service):
            return pb.DrainReply(reason="not allowed")
        if not self._has_endpoint(request.service, request.endpoint):
            reason = f"{request.service} has no endpoint {request.endpoint}"
            return pb.DrainReply(reason=reason)
        duration = 0.0 if request.cancel else OPERATOR_DRAIN_SECONDS
        notice = DrainNotice(
            request.endpoint, int(time.time() * 1000), self.state.clock() + duration
        )
        self.state.apply_drain_notices([notice])
        return pb.DrainReply(nodes_told=await self.announcer.announce([notice]))

    def _has_endpoint(self, service, endpoint):
        current = self.state.replica.services.get(service)
        return current is not None and f'"{endpoint}"' in (current.document or "")

    async def Explain(self, request, context):
        """Explain how this node would route a request now."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def resolve(reply):
            loop.call_soon_threadsafe(set_result, future, reply)

        self.explain(request.method, request.path, resolve)
        return await asyncio.wait_for(future, EXPLAIN_TIMEOUT_SECONDS)


def set_result(future, value):
    """Set the result of a future unless it is already done, as after a timeout."""
    if not future.done():
        future.set_result(value)
