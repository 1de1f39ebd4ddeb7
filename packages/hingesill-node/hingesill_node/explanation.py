"""Why a node would route a request as it does."""

import time

from hingesill_api.generated import hingesill_pb2 as pb

__all__ = ["Explainer"]


class Explainer:
    """Explains routes on the hub's thread.

    Parameters
    ----------
    blackboard : Blackboard
        The configuration in force.
    runners : RunnerTable
        What is known of the endpoints.
    bridge : Bridge
        Leads to the hub.
    """

    def __init__(self, blackboard, runners, bridge, clock=time.monotonic):
        self.blackboard = blackboard
        self.runners = runners
        self.bridge = bridge
        self.clock = clock

    def ask(self, method, path, resolve):
        """Have the hub explain a route; from any thread."""
        self.bridge.post(lambda: resolve(self.explain(method, path)))

    def explain(self, method, path):
        """Return the ExplainReply for a request."""
        route = self.blackboard.configuration.routes.find(method, path)
        if route is None:
            return pb.ExplainReply(reason="no route covers this method and path")
        dispatcher = self.runners.get(route.service).dispatcher
        now = self.clock()
        reply = pb.ExplainReply(
            service=route.service,
            route=f"{route.method} {route.path}",
            policy=dispatcher.service.policy,
        )
        for state in dispatcher.states.values():
            reason = find_bar(state, now)
            reply.candidates.add(
                endpoint=state.identity,
                eligible=not reason,
                reason=reason,
                score_ms=state.estimate_wait(now) * dispatcher.latency.median * 1000,
                in_flight=state.in_flight,
                reported_load=state.estimate_peer_load(now),
            )
        reply.candidates.sort(key=lambda candidate: candidate.score_ms)
        return reply


def find_bar(state, now):
    """Return what keeps requests from an endpoint, or an empty string."""
    if state.is_draining(now):
        return "it is leaving"
    if state.health.is_ejected(now):
        return "it was ejected after failures"
    if not state.health.accepts_traffic():
        return "it awaits a trial"
    if state.availability.is_backing_off(now):
        return "it asked for a rest"
    if state.in_flight >= state.send_limit:
        return "this node's places there are taken"
    return ""
