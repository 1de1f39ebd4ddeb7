"""The sends of one request: started, settled, and told of."""

from hingesill_core.reasons import Outcome
from hingesill_core.routing.messages import SendResult, SendStatus
from hingesill_node.datapath.connections import ConnectFailed
from hingesill_node.datapath.messages import LiveSend
from hingesill_node.datapath.story import StepKind, describe_end, describe_report
from hingesill_node.datapath.transport import BodyFailed, connect, send_request

__all__ = ["RequestSends"]

# How a send ends that brought the endpoint's own answer.
LIVED_THROUGH = frozenset({SendStatus.ANSWERED, SendStatus.FAULT})


class RequestSends:
    """Starts and settles the sends of one request, each of them once.

    Parameters
    ----------
    runner : ServiceRunner
        The service's dispatcher with its pools.
    request : CallerRequest
        The request.
    counters : Counters
        Gets ``sends``.
    wire : OwnFormat
        The dialect.
    clock : callable
        Seconds, by which the request's time passes.
    story : Story
        Gets a step for each start and end.

    Attributes
    ----------
    lives : list of LiveSend
        All that were started, but for one whose answer is being passed on.
    """

    def __init__(self, runner, request, counters, wire, clock, story):
        self.runner = runner
        self.request = request
        self.counters = counters
        self.wire = wire
        self.clock = clock
        self.story = story
        self.lives = []

    def list_racing(self):
        """Return the sends that are under way."""
        return [live for live in self.lives if not live.settled]

    def get_outcome(self):
        """Return what is certain: a send that is under way may have run."""
        may_have_run = self.request.ticket.exposed or bool(self.list_racing())
        return Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN

    def start(self, send, proven=None):
        """Send the request.

        Parameters
        ----------
        send : Send
            As the dispatcher gave it out.
        proven : EndpointConnection or None
            One that was alive just now.

        Returns
        -------
        LiveSend, SendStatus or None
            SendStatus if it failed; None if the caller's body did not come.
        """
        pool = self.runner.find_pool(send.endpoint)
        live = LiveSend(send, pool)
        if pool is None:
            if proven is not None:
                proven.close()
            return self.end(live, SendResult(SendStatus.CONNECT_FAILED))
        self.counters.add("sends", self.runner.dispatcher.service.name)
        kind = StepKind.HEDGED if send.hedge else StepKind.SENT
        self._tell(kind, send.endpoint, self._describe_evidence(send))
        live.connection = proven
        self.lives.append(live)
        try:
            connect(live)
            if self._close_if_settled(live):
                return live
            if not self.runner.dispatcher.service_availability.may_write(
                send, self.clock()
            ):
                return self.end(live, SendResult(SendStatus.NOT_SENT), keep=True)
            send_request(live, self.request, self.clock(), self.wire)
            self._close_if_settled(live)
            return live
        except ConnectFailed:
            return self.end(live, SendResult(SendStatus.CONNECT_FAILED))
        except BodyFailed:
            self.end(live, SendResult(SendStatus.CANCELLED))
            return None
        except OSError:
            return self.end(live, SendResult(SendStatus.LOST))

    def _close_if_settled(self, live):
        """Cancel a send that was settled meanwhile; tell whether it was."""
        if live.settled and live.connection is not None:
            live.pool.discard(live.connection)
            live.connection = None
        return live.settled

    def _describe_evidence(self, send):
        """Return the report that a send went by, with its age."""
        state = self.runner.dispatcher.states.get(send.endpoint)
        if state is None or state.report is None:
            return "no report"
        age = round((send.started - state.report.received_at) * 1000)
        evidence = f"{describe_report(state.report)} {age}ms old"
        if state.is_limited():
            evidence += f" limit {state.limits.limited[send.endpoint]:g}/s"
        return evidence

    def _tell(self, kind, endpoint, detail):
        """Add a step to the request's story."""
        self.story.add(kind, self.clock(), endpoint, detail)

    def end(self, live, result, keep=False):
        """Settle a send, and keep or close its connection; return its SendStatus."""
        if live.settled:
            return result.end
        live.settled = True
        detail = describe_end(result.end, live.response)
        self._tell(StepKind.ENDED, live.send.endpoint, detail)
        self._tell_guard(live, result.end)
        connection, live.connection = live.connection, None
        if connection is not None:
            if keep:
                idle = live.response.idle_seconds if live.response else None
                live.pool.give_back(connection, idle)
            else:
                live.pool.discard(connection)
        self.runner.settle(live.send, result)
        return result.end

    def end_all(self, lives, end):
        """Settle sends that brought no answer of use."""
        for live in lives:
            self.end(live, SendResult(end))

    def _tell_guard(self, live, end):
        """Tell whether the endpoint lived through the request."""
        if end is SendStatus.LOST:
            self.handle_lost_response(live)
        elif end in LIVED_THROUGH:
            self.runner.guard.record_answer(self.request)

    def handle_lost_response(self, live):
        """Have it found out whether the endpoint ended while it had the request."""
        self.story.has_lost = True
        self.runner.guard.handle_lost_response(
            self.request, live.send.endpoint, live.pool.address
        )
