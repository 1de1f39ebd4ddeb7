"""Tests of saving the nodes' observations in the store."""

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
from hingesill_node.discovery.profiles import MIN_WRITE_INTERVAL_SECONDS, ProfileStore

STORED_SERVICE = ServiceProfile((LevelProfile(3, 1, 40.0, 0.0),))
STORED_PROFILE = Profile({"quiet": STORED_SERVICE, "removed": STORED_SERVICE})
DECLARED = DeclaredConfiguration(1, (DeclaredService("quiet", "/h", 9),), ())


class FakeStore:
    def __init__(self):
        self.saved = []
        self.failure = None

    def save(self, profile):
        self.saved.append(profile)
        return self.failure


class FakeRunners:
    """One service with the node's observations."""

    def __init__(self):
        self.slots = ConcurrencyModel()

    def observe(self, answers):
        for _ in range(answers):
            for level, ratio in ((1, 1.0), (2, 1.0), (3, 1.7)):
                self.slots.curves.record(level, 3, ratio, 0.0)

    def list_unpublished(self):
        return ["busy"] if self.slots.should_publish(0.0) else []

    def build_profiles(self, names):
        return {name: self.slots.build_profile(0.0) for name in names}

    def mark_published(self, profiles):
        self.slots.mark_published(profiles["busy"], 0.0)


class ProfileStoreTests(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.runners = FakeRunners()
        self.directory = Directory()
        self.directory.apply_snapshot(
            Snapshot(Position(0, 1), DECLARED, profile=STORED_PROFILE), 0.0
        )
        self.now = 0.0
        self.profiles = ProfileStore(
            self.store, self.directory, self.runners, lambda: True, lambda: self.now
        )

    def test_without_unpublished_observations_nothing_is_written(self):
        self.profiles.review()
        self.assertEqual(self.store.saved, [])

    def test_profiles_are_merged_with_stored_ones_of_declared_services(self):
        self.runners.observe(20)
        self.profiles.review()
        (profile,) = self.store.saved
        self.assertEqual(sorted(profile.services), ["busy", "quiet"])

    def test_observations_are_written_once(self):
        self.runners.observe(20)
        self.profiles.review()
        self.profiles.review()
        self.assertEqual(len(self.store.saved), 1)

    def test_observations_that_could_not_be_written_stay_unpublished(self):
        self.store.failure = StoreFailure("status 503")
        self.runners.observe(20)
        self.profiles.review()
        self.store.failure = None
        self.profiles.review()
        self.assertEqual(len(self.store.saved), 2)

    def test_writes_are_spaced(self):
        self.runners.observe(20)
        self.assertTrue(self.profiles.is_due())
        self.profiles.review()
        self.assertFalse(self.profiles.is_due())
        self.now = MIN_WRITE_INTERVAL_SECONDS
        self.assertTrue(self.profiles.is_due())


class PublishedProfileTests(unittest.TestCase):
    def test_a_snapshot_carries_the_profile(self):
        snapshot = decode_snapshot(
            encode(Snapshot(Position(0, 1), profile=STORED_PROFILE))
        )
        self.assertEqual(snapshot.profile, STORED_PROFILE)

    def test_only_changes_of_the_profile_replace_it(self):
        directory = Directory()
        directory.apply_snapshot(Snapshot(Position(0, 1), profile=STORED_PROFILE), 0.0)
        directory.apply_changes(Changes(Position(0, 2)), 0.0)
        self.assertEqual(directory.profile, STORED_PROFILE)
        directory.apply_changes(Changes(Position(0, 3), profile=Profile()), 0.0)
        self.assertEqual(directory.profile, Profile())
