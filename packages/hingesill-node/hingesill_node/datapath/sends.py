"""The sends of one request: start, settlement and logging."""

from hingesill_core.reasons import Outcome
from hingesill_core.retries.decision import DEFINITELY_NOT_RUN
from hingesill_core.routing.messages import SendResult, SendStatus
from hingesill_node.datapath.connections import ConnectFailed, PoolFull
from hingesill_node.datapath.messages import LiveSend
from hingesill_node.datapath.requesttimeline import (
    StepKind,
    describe_report,
    describe_status,
)
from hingesill_node.datapath.transport import (
    BodyFailed,
    connect,
    is_timeout,
    send_request,
)

__all__ = ["RequestSends"]

# Statuses of sends that brought an answer of the endpoint itself.
ANSWERED_STATUSES = frozenset({SendStatus.ANSWERED, SendStatus.FAULT})


class RequestSends:
    """Starts the sends of one request and settles each of them once.

    Parameters
    ----------
    runner : ServiceRunner
        The service's dispatcher with its pools.
    request : CallerRequest
        The request.
    counters : Counters
        Counts ``sends``.
    wire : OwnFormat
        The header format.
    clock : callable
        Monotonic seconds; the request's deadline is on this clock.
    timeline : RequestTimeline
        Gets a step for each start and end of a send.
    check_key : callable
        Returns the Refusal of the request if its key is no longer valid, or None.

    Attributes
    ----------
    live_sends : list of LiveSend
        All started sends, except one whose answer is streamed to the caller.
    """

    def __init__(
        self, runner, request, counters, wire, clock, timeline, check_key=lambda: None
    ):
        self.runner = runner
        self.request = request
        self.counters = counters
        self.wire = wire
        self.clock = clock
        self.timeline = timeline
        self.check_key = check_key
        self.live_sends = []

    def list_in_flight(self):
        """Return the sends that are not settled."""
        return [live for live in self.live_sends if not live.settled]

    def get_outcome(self):
        """Return the outcome: unknown if a send may have run or is in flight."""
        may_have_run = self.request.ticket.exposed or bool(self.list_in_flight())
        return Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN

    def find_stop_refusal(self):
        """Return the Refusal of a request that a planned stop would cut, or None."""
        planned_stop = self.runner.dispatcher.planned_stop
        return planned_stop.find_refusal(self.request.ticket, self.clock())

    def is_too_late(self):
        """Return whether a body that is whole now must not be passed on to its end."""
        return self.find_stop_refusal() is not None

    def start(self, send, reply_connection=None):
        """Send the request to the endpoint of a Send.

        Parameters
        ----------
        send : Send
            The dispatcher's decision.
        reply_connection : EndpointConnection or None
            The connection that carried the load reply, known to be alive.

        Returns
        -------
        LiveSend, SendStatus or None
            SendStatus if the send failed; None if the caller's body could not be
            read.
        """
        pool = self.runner.find_pool(send.endpoint)
        live = LiveSend(send, pool)
        if pool is None:
            if reply_connection is not None:
                reply_connection.close()
            return self.end(live, SendResult(SendStatus.CONNECT_FAILED))
        self.counters.add("sends", self.runner.dispatcher.service.name)
        kind = StepKind.HEDGED if send.hedge else StepKind.SENT
        self._add_step(kind, send.endpoint, self._describe_evidence(send))
        live.connection = reply_connection
        self.live_sends.append(live)
        try:
            connect(live, self.request, self.wire)
            if self._close_if_settled(live):
                return live
            # The key may have been removed, or a planned stop come near its end, while
            # the connection was opened.
            if (
                not self.runner.dispatcher.service_availability.may_write(
                    send, self.clock()
                )
                or self.check_key() is not None
                or self.is_too_late()
            ):
                return self.end(live, SendResult(SendStatus.NOT_SENT), keep=True)
            is_permitted, live.token = self.request.tokens.use(
                self.request.ticket.organisation
            )
            if not is_permitted:
                return self.end(live, SendResult(SendStatus.NOT_SENT), keep=True)
            send_request(live, self.request, self.clock(), self.wire, self.is_too_late)
            self._close_if_settled(live)
            return live
        except ConnectFailed as error:
            self._record_failed_connect(live, error)
            return self.end(live, SendResult(SendStatus.CONNECT_FAILED))
        except BodyFailed:
            self.end(live, SendResult(SendStatus.CANCELLED))
            return None
        except OSError:
            return self.end(live, SendResult(SendStatus.LOST))

    def _record_failed_connect(self, live, error):
        """Record a connection that could not be opened as evidence."""
        if isinstance(error, PoolFull):
            return
        reachability = self.runner.dispatcher.reachability
        endpoint, timed_out = live.send.endpoint, is_timeout(error)
        reachability.record_contact(endpoint, live.send.started)
        reachability.record_failure(endpoint, timed_out)

    def _close_if_settled(self, live):
        """Close the connection of a settled send; return whether it is settled."""
        if live.settled and live.connection is not None:
            live.pool.discard(live.connection)
            live.connection = None
        return live.settled

    def _describe_evidence(self, send):
        """Return the load report on which a send was based, with its age, as text."""
        state = self.runner.dispatcher.states.get(send.endpoint)
        if state is None or state.report is None:
            return "no report"
        age = round((send.started - state.report.received_at) * 1000)
        evidence = f"{describe_report(state.report)} {age}ms old"
        if state.is_limited():
            evidence += f" limit {state.limits.limited[send.endpoint]:g}/s"
        return evidence

    def _add_step(self, kind, endpoint, detail):
        """Add a step to the request's timeline."""
        self.timeline.add(kind, self.clock(), endpoint, detail)

    def end(self, live, result, keep=False):
        """Settle a send, keep or close its connection, and return its SendStatus."""
        if live.settled:
            return result.end
        live.settled = True
        detail = describe_status(result.end, live.response)
        self._add_step(StepKind.ENDED, live.send.endpoint, detail)
        self._notify_guard(live, result.end)
        if result.end in DEFINITELY_NOT_RUN:
            self.request.tokens.recover(live.token)
        connection, live.connection = live.connection, None
        if connection is not None:
            if keep:
                idle = live.response.idle_seconds if live.response else None
                live.pool.release(connection, idle)
            else:
                live.pool.discard(connection)
        self.runner.settle(live.send, result)
        return result.end

    def end_all(self, live_sends, status):
        """Settle sends whose answers are not used."""
        for live in live_sends:
            self.end(live, SendResult(status))

    def _notify_guard(self, live, status):
        """Report to the guard whether the endpoint survived the request."""
        if status is SendStatus.LOST:
            self.handle_lost_response(live)
        elif status in ANSWERED_STATUSES:
            self.runner.guard.record_answer(self.request)

    def handle_lost_response(self, live):
        """Have the guard check whether the endpoint crashed under the request."""
        self.timeline.has_lost = True
        self.runner.guard.handle_lost_response(
            self.request,
            live.send.endpoint,
            live.pool.address,
            self.runner,
        )
