"""Explanations of how a node would route a request."""

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
        State of the endpoints.
    bridge : Bridge
        Runs calls on the hub's thread.
    """

    def __init__(self, blackboard, runners, bridge, clock=time.monotonic):
        self.blackboard = blackboard
        self.runners = runners
        self.bridge = bridge
        self.clock = clock

    def request_explanation(self, method, path, resolve):
        """Explain a route on the hub's thread; may be called from any thread."""
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
            reason = find_ineligibility(state, now)
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


def find_ineligibility(state, now):
    """Return why an endpoint gets no requests, or an empty string."""
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
