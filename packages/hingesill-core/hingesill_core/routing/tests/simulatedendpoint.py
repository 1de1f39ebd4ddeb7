"""An endpoint of a played load: its slots, its queue, and what is wrong for a while."""

from hingesill_core.ratelimits.reportedlimits import NO_LIMIT, ParsedLimit
from hingesill_core.routing.load_report import LoadReport
from hingesill_core.routing.messages import SendResult, SendStatus
from hingesill_core.routing.tests.workloads import FaultPeriod

__all__ = ["DATA_CENTRES", "SLOTS", "SimulatedEndpoint"]

DATA_CENTRES = 6
SLOTS = 3
QUEUE = 6
# Work times spread like the logarithm of a normal value.
WORK_SPREAD = 0.3
# With three slots taken work takes longer.
KNEE_FACTOR = 1.7


class SimulatedEndpoint:
    """An endpoint with slots and a queue."""

    def __init__(self, play, number):
        self.play = play
        self.number = number
        self.place = number / play.load.endpoints
        self.identity = f"i{number:04}"
        self.data_centre = f"dc{number % DATA_CENTRES}"
        self.running = {}
        self.queue = []
        self.arrivals = []

    def find_spell(self):
        """Return the Spell that is on now, or None."""
        for spell in self.play.load.spells:
            is_on = spell.begin <= self.play.now < spell.end
            if is_on and spell.first <= self.place < spell.last:
                return spell
        return None

    def report(self):
        """Return its word on its load."""
        taken = len(self.running) + len(self.queue)
        return LoadReport(taken, self.play.now, 0, SLOTS)

    def get_warm_in(self):
        """Return the seconds for which it is cold."""
        spell = self.find_spell()
        return spell.end - self.play.now if spell is not None and spell.cold else 0.0

    def is_unhealthy(self):
        """Tell whether it says that it is not well."""
        spell = self.find_spell()
        return spell is not None and spell.ill

    def name_limit(self):
        """Return what the head of an answer names as its limit."""
        spell = self.find_spell()
        return NO_LIMIT if spell is None else ParsedLimit(spell.limit)

    def arrive(self, node, send):
        """Take a request, or refuse it."""
        self.arrivals.append(self.play.now)
        spell = self.find_spell()
        is_shed = spell is not None and self.play.rng.random() < spell.shed
        if spell is not None and spell.down:
            self._tell(node, send, SendStatus.LOST)
        elif is_shed or len(self.queue) >= QUEUE:
            self._tell(node, send, SendStatus.REFUSED)
        elif len(self.running) < SLOTS:
            self._begin(node, send)
        else:
            self.queue.append((node, send))

    def _begin(self, node, send):
        self.running[send] = node
        spell = self.find_spell()
        kind = self.play.kinds[send.ticket.route]
        seconds = kind.work * self.play.rng.lognormvariate(0.0, WORK_SPREAD)
        seconds *= spell.slowness if spell else 1.0
        seconds *= KNEE_FACTOR if len(self.running) == SLOTS else 1.0
        self.play.after(seconds, self._finish, node, send)

    def _finish(self, node, send):
        if send not in self.running:
            return
        self._free(send)
        spell = self.find_spell() or FaultPeriod(0.0, 0.0)
        luck = self.play.rng.random()
        if luck < spell.broken:
            self._tell(node, send, SendStatus.LOST)
        elif luck >= spell.broken + spell.lost:
            self._tell(node, send, SendStatus.ANSWERED)

    def _free(self, send):
        del self.running[send]
        if self.queue:
            self._begin(*self.queue.pop(0))

    def cancel(self, send):
        """Stop the work on a request whose connection is closed."""
        if send in self.running:
            self._free(send)
        self.queue = [item for item in self.queue if item[1] is not send]

    def _tell(self, node, send, end):
        way = self.play.get_way(node, self)
        self.play.after(way, node.end, send, SendResult(end, self.report()))
