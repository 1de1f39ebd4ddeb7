"""The operators' calls."""

import asyncio
import time

import grpc

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_api.generated.hingesill_pb2_grpc import OperatorsServicer, PeersStub
from hingesill_core.membership.drainnotices import DrainNotice
from hingesill_node.control.messages import build_node_status

__all__ = ["Operators"]

PEER_SECONDS = 2.0
MOST_NODES_ASKED = 500
ASKED_AT_ONCE = 32
OPERATOR_DRAIN_SECONDS = 600.0
EXPLAIN_SECONDS = 1.0


class Operators(OperatorsServicer):
    """Serves operators at this node.

    Parameters
    ----------
    state : ControlState
        The node's replica, membership and signs.
    acceptance : Acceptance
        Accepts changes.
    announcer : Announcer
        Tells drain signs to other nodes.
    authoriser : object
        Tells who may change what.
    channels : Channels
        To other nodes.
    is_ready : callable
        Tells whether the node is ready.
    explain : callable
        Given a method, a path and a function for the reply, has the hub explain
        a route.
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
        """Return the author of a call, or None if it shows no valid token."""
        metadata = dict(context.invocation_metadata() or ())
        token = metadata.get("authorization", "").removeprefix("Bearer ")
        return self.authoriser.find_author(token, claimed)

    async def Apply(self, request, context):
        """Accept a change, or say why not."""
        author = self._find_author(context, request.author)
        if author is None:
            return pb.ApplyReply(outcome=pb.DENIED, reason="no valid token")
        if self.state.interests:
            reason = "this node holds only some services; ask an entry node"
            return pb.ApplyReply(outcome=pb.UNAVAILABLE, reason=reason)
        return await self.acceptance.apply(request, author)

    async def Get(self, request, context):
        """Return declarations as they are in force here."""
        replica = self.state.replica
        reply = pb.GetReply(revision=replica.revision)
        for name in sorted(request.services or replica.services):
            held = replica.services.get(name)
            if held is None:
                continue
            document = (held.document or "").encode()
            reply.documents.add(
                service=name,
                version=held.version,
                document=document,
                author=held.author,
            )
        return reply

    async def GetOperation(self, request, context):
        """Say what became of an operation."""
        revision = self.state.replica.find_operation(request.operation_id)
        if revision is None and self.state.is_store_available:
            return pb.ApplyReply(
                outcome=pb.UNCHANGED,
                revision=self.state.replica.revision,
                reason="not among the operations that this node knows of",
            )
        if revision is None:
            reason = "not known here, and the store does not answer"
            return pb.ApplyReply(outcome=pb.UNKNOWN, reason=reason)
        return pb.ApplyReply(outcome=pb.ACCEPTED, revision=revision)

    async def Status(self, request, context):
        """Return this node's status, and the others' if asked for."""
        own = build_node_status(self.state, self.is_ready(), self.state.counters)
        reply = pb.StatusReply()
        reply.self.CopyFrom(own)
        if request.fleet:
            others = [
                vm
                for vm in self.state.membership.list_all()
                if vm.name != self.state.own.name
            ]
            limit = asyncio.Semaphore(ASKED_AT_ONCE)
            asked = others[:MOST_NODES_ASKED]
            answers = await asyncio.gather(*(self._ask(vm, limit) for vm in asked))
            reply.nodes.append(own)
            reply.nodes.extend(answers)
        return reply

    async def _ask(self, vm, limit):
        """Return another node's status, or why there is none."""
        stub = PeersStub(self.channels.get(vm.control))
        async with limit:
            try:
                return await stub.Inspect(pb.StatusRequest(), timeout=PEER_SECONDS)
            except grpc.aio.AioRpcError as error:
                return pb.NodeStatus(
                    node=vm.name,
                    data_centre=vm.data_centre,
                    unreachable=error.code().name,
                )

    async def Drain(self, request, context):
        """Have all nodes give an endpoint no new work, store or no store."""
        author = self._find_author(context)
        if author is None or not self.authoriser.may_change(author, request.service):
            return pb.DrainReply(reason="not allowed")
        if not self._has_endpoint(request.service, request.endpoint):
            reason = f"{request.service} has no endpoint {request.endpoint}"
            return pb.DrainReply(reason=reason)
        hold = 0.0 if request.cancel else OPERATOR_DRAIN_SECONDS
        sign = DrainNotice(
            request.endpoint, int(time.time() * 1000), self.state.clock() + hold
        )
        self.state.apply_drain_notices([sign])
        return pb.DrainReply(nodes_told=await self.announcer.tell([sign]))

    def _has_endpoint(self, service, endpoint):
        held = self.state.replica.services.get(service)
        return held is not None and f'"{endpoint}"' in (held.document or "")

    async def Explain(self, request, context):
        """Say how this node would route a request now, and why."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def resolve(reply):
            loop.call_soon_threadsafe(set_result, future, reply)

        self.explain(request.method, request.path, resolve)
        return await asyncio.wait_for(future, EXPLAIN_SECONDS)


def set_result(future, value):
    """Resolve a future that may have been given up on."""
    if not future.done():
        future.set_result(value)
