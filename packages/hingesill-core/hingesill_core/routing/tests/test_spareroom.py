"""Tests of looking for an endpoint that has room to spare."""

import random
import unittest

from hingesill_core.routing.asking import AskRules
from hingesill_core.routing.dispatcher import Dispatcher
from hingesill_core.routing.messages import Send, Ticket
from hingesill_core.routing.spareroom import SpareRoom
from hingesill_core.routing.tests.test_fresh import (
    FLEET,
    ROUTE,
    build_service,
    reply,
)

RULES = AskRules()


class SpareRoomTests(unittest.TestCase):
    def setUp(self):
        self.spare_room = SpareRoom()

    def note(self, *replies):
        for has_room in replies:
            self.spare_room.note(has_room)
        return self.spare_room.get_choosy_time(RULES)

    def test_a_node_that_has_just_started_looks_for_one(self):
        self.assertEqual(self.note(), RULES.choosy)

    def test_it_looks_on_while_half_of_the_replies_have_room(self):
        self.assertEqual(self.note(*[True, False] * 100), RULES.choosy)

    def test_where_few_have_room_the_last_slot_will_do(self):
        self.assertEqual(self.note(*[False] * 30), 0.0)

    def test_it_looks_again_once_there_is_room(self):
        self.note(*[False] * 100)
        self.assertEqual(self.note(*[True] * 15), RULES.choosy)


class BusyServiceTests(unittest.TestCase):
    """A service whose endpoints all have one slot left."""

    def test_a_new_request_takes_the_last_slot_at_once(self):
        dispatcher = Dispatcher(build_service(), FLEET, random.Random(1))
        for _ in range(30):
            dispatcher.fresh.take(reply("i0", 2), 0.0)
        dispatcher.submit(Ticket(ROUTE, 0.0, 2.0), 0.0)
        self.assertIsInstance(dispatcher.fresh.take(reply("i0", 2), 0.001), Send)
