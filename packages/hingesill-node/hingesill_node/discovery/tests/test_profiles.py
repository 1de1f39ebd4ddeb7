"""Tests of keeping what nodes have learnt in the store."""

import unittest

from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import (
    Changes,
    DeclaredConfiguration,
    DeclaredService,
    Snapshot,
)
from hingesill_core.routing.concurrencymodel import ConcurrencyModel
from hingesill_core.routing.profile import LevelProfile, Profile, ServiceProfile
from hingesill_core.store import StoreFailure
from hingesill_node.discovery.codec import decode_snapshot, encode
from hingesill_node.discovery.profiles import PAUSE_SECONDS, ProfileStore

KEPT = ServiceProfile((LevelProfile(3, 1, 40.0, 0.0),))
HELD = Profile({"quiet": KEPT, "removed": KEPT})
DECLARED = DeclaredConfiguration(1, (DeclaredService("quiet", "/h", 9),), ())


class FakeStore:
    def __init__(self):
        self.saved = []
        self.failure = None

    def save(self, profile):
        self.saved.append(profile)
        return self.failure


class FakeRunners:
    """One service with what is known of it at the node."""

    def __init__(self):
        self.slots = ConcurrencyModel()

    def learn(self, answers):
        for _ in range(answers):
            for level, ratio in ((1, 1.0), (2, 1.0), (3, 1.7)):
                self.slots.curves.note(level, 3, ratio, 0.0)

    def list_unpublished(self):
        return ["busy"] if self.slots.should_publish(0.0) else []

    def build_profiles(self, names):
        return {name: self.slots.build_profile(0.0) for name in names}

    def mark_published(self, profiles):
        self.slots.mark_published(profiles["busy"], 0.0)


class ProfileKeeperTests(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.runners = FakeRunners()
        self.directory = Directory()
        self.directory.adopt(Snapshot(Position(0, 1), DECLARED, profile=HELD), 0.0)
        self.now = 0.0
        self.profiles = ProfileStore(
            self.store, self.directory, self.runners, lambda: True, lambda: self.now
        )

    def test_without_news_nothing_is_written(self):
        self.profiles.review()
        self.assertEqual(self.store.saved, [])

    def test_news_are_written_beside_what_is_held_of_declared_services(self):
        self.runners.learn(20)
        self.profiles.review()
        (profile,) = self.store.saved
        self.assertEqual(sorted(profile.services), ["busy", "quiet"])

    def test_news_are_written_once(self):
        self.runners.learn(20)
        self.profiles.review()
        self.profiles.review()
        self.assertEqual(len(self.store.saved), 1)

    def test_what_could_not_be_written_stays_news(self):
        self.store.failure = StoreFailure("status 503")
        self.runners.learn(20)
        self.profiles.review()
        self.store.failure = None
        self.profiles.review()
        self.assertEqual(len(self.store.saved), 2)

    def test_writes_are_spaced(self):
        self.runners.learn(20)
        self.assertTrue(self.profiles.is_due())
        self.profiles.review()
        self.assertFalse(self.profiles.is_due())
        self.now = PAUSE_SECONDS
        self.assertTrue(self.profiles.is_due())


class SpreadingTests(unittest.TestCase):
    def test_a_snapshot_carries_the_profile(self):
        snapshot = decode_snapshot(encode(Snapshot(Position(0, 1), profile=HELD)))
        self.assertEqual(snapshot.profile, HELD)

    def test_changes_replace_it_and_others_leave_it(self):
        directory = Directory()
        directory.adopt(Snapshot(Position(0, 1), profile=HELD), 0.0)
        directory.apply(Changes(Position(0, 2)), 0.0)
        self.assertEqual(directory.profile, HELD)
        directory.apply(Changes(Position(0, 3), profile=Profile()), 0.0)
        self.assertEqual(directory.profile, Profile())
