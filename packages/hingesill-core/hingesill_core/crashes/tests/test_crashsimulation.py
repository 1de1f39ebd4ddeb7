"""Plays of whole fleets: requests that end endpoints, and endpoints that end by chance.

A request that ends whichever endpoint runs it may be sent for 3 s after the third end,
and three times more. Whoever was at an endpoint that ended by chance may be refused for
a moment, while hardly an endpoint is left, but not for long.
"""

import unittest

from hingesill_core.crashes.tests.crashsimulation import CrashSimulation

MOST_LATER = 3
HOT = [f"a-hot{number}" for number in range(4)]


def play_repeats(nodes, endpoints, pause, names=1, seed=1, prepare=None, **options):
    """Play requests that end endpoints beside others; return the play."""
    play = CrashSimulation(nodes, endpoints, seed, **options)
    until = 12 * pause + 12.0
    for number in range(names):
        play.repeat(f"a-bad{number}", 1.0, pause, until)
    play.load(40.0, until, HOT)
    if prepare is not None:
        prepare(play)
    play.run(until)
    return play


class RepeatTests(unittest.TestCase):
    def assert_held(self, play, most_ended=None):
        bad = {name for _, name in play.ended}
        for name in bad:
            self.assertLessEqual(play.count_later(name), MOST_LATER, name)
        self.assertLessEqual(play.long_holds, bad)
        if most_ended is not None:
            self.assertLessEqual(len(play.ended), most_ended)

    def test_in_fleets_of_all_sizes(self):
        """Without a guard 28 to 37 end in the plays of 13 nodes, 97 in one of 95."""
        for nodes, endpoints in ((1, 3), (3, 3), (13, 7), (95, 30)):
            for pause in (0.3, 2.0, 10.0):
                with self.subTest(nodes=nodes, pause=pause):
                    self.assert_held(play_repeats(nodes, endpoints, pause), 8)

    def test_1100_nodes(self):
        play = play_repeats(1100, 100, 0.5)
        self.assert_held(play, 10)
        self.assertLess(play.datagrams / 1100, 100)

    def test_several_such_requests_at_once(self):
        for seed in range(3):
            self.assert_held(play_repeats(13, 14, 1.0, names=4, seed=seed), 24)

    def test_datagrams_are_lost(self):
        self.assert_held(play_repeats(95, 30, 0.5, loss=0.3), 10)

    def test_half_of_the_nodes_are_cut_from_the_others(self):
        for seed in range(3):
            play = play_repeats(13, 14, 1.0, seed=seed, prepare=lambda p: p.cut(6))
            self.assert_held(play, 10)

    def test_nodes_start_anew_all_the_time(self):
        def restart(play):
            for number in range(100):
                play.at(number / 10, play.restart, number % 13)

        self.assert_held(play_repeats(13, 14, 1.0, prepare=restart), 8)

    def test_other_endpoints_end_meanwhile(self):
        def end_others(play):
            for begin in (1.0, 5.0, 9.0):
                play.end_endpoints(begin, 6, 0.05)

        for seed in range(3):
            self.assert_held(play_repeats(13, 14, 1.0, seed=seed, prepare=end_others))


class ChanceTests(unittest.TestCase):
    """Endpoints end one after the other or all at once, and again seconds later."""

    def test_nobody_is_held_back_for_long(self):
        for amount, endpoints, gap in ((10, 14, 0.05), (6, 7, 0.1), (14, 14, 0.0)):
            for seed in range(5):
                with self.subTest(amount=amount, gap=gap, seed=seed):
                    play = CrashSimulation(13, endpoints, seed, back_after=3.0)
                    for begin in (2.0, 6.0, 10.0):
                        play.end_endpoints(begin, amount, gap)
                    play.load(60.0, 16.0, HOT)
                    play.run(20.0)
                    self.assertEqual(play.long_holds, set())
                    refused = sum(play.refused.values())
                    self.assertLess(refused, 0.02 * play.tries)
