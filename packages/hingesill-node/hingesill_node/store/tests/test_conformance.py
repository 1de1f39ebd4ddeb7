"""Conformance tests that run on every store adapter."""

import threading
import time
import unittest

from hingesill_core.store import (
    KeyMissing,
    LeaseGranted,
    LeaseLost,
    StoreFailure,
    Unchanged,
    Value,
    VersionConflict,
    Written,
)
from hingesill_node.store.consul import ConsulStore
from hingesill_node.store.memory import MemoryStore
from hingesill_node.store.registry import open_store
from standins.store import StoreServer


class Conformance:
    """Requirements on every adapter; a mixin for the test case of each adapter."""

    def put(self, key, data, expected=0):
        self.assertIsInstance(self.store.put(key, data, expected), Written)
        return self.store.get(key).version

    def test_missing_key(self):
        self.assertEqual(self.store.get("team/none"), KeyMissing())

    def test_bytes_round_trip(self):
        data = bytes(range(256)) * 400
        self.put("team/a", data)
        self.assertEqual(self.store.get("team/a").data, data)

    def test_create_only_once(self):
        self.put("team/b", b"1")
        self.assertIsInstance(self.store.put("team/b", b"2", 0), VersionConflict)

    def test_write_with_the_version_read(self):
        version = self.put("team/c", b"1")
        newer = self.put("team/c", b"2", version)
        self.assertNotEqual(version, newer)
        self.assertIsInstance(self.store.put("team/c", b"3", version), VersionConflict)
        self.assertEqual(self.store.get("team/c").data, b"2")

    def test_deleted_key(self):
        self.put("team/d", b"1")
        self.assertIsInstance(self.store.delete("team/d"), Written)
        self.assertIsInstance(self.store.get("team/d"), KeyMissing)

    def test_watch_times_out_without_a_change(self):
        version = self.put("team/e", b"1")
        self.assertEqual(self.store.watch("team/e", version, 0.1), Unchanged())

    def test_watch_sees_a_change(self):
        version = self.put("team/f", b"1")
        timer = threading.Timer(0.1, self.store.put, ("team/f", b"2", version))
        timer.start()
        self.addCleanup(timer.join)
        seen = self.store.watch("team/f", version, 5.0)
        self.assertIsInstance(seen, Value)
        self.assertEqual(seen.data, b"2")

    def test_watch_sees_an_earlier_change_at_once(self):
        version = self.put("team/g", b"1")
        self.put("team/g", b"2", version)
        self.assertEqual(self.store.watch("team/g", version, 5.0).data, b"2")

    def test_lease_has_one_holder(self):
        held = self.store.acquire("team/lease-a", "ann", 10.0)
        self.assertIsInstance(held, LeaseGranted)
        other = self.store.acquire("team/lease-a", "ben", 10.0)
        self.assertIsInstance(other, LeaseLost)
        self.assertIsInstance(self.store.renew(held.lease, 10.0), LeaseGranted)
        self.assertIsInstance(self.store.release(held.lease), Written)
        again = self.store.acquire("team/lease-a", "ben", 10.0)
        self.assertIsInstance(again, LeaseGranted)

    def test_expired_lease_is_lost(self):
        held = self.store.acquire("team/lease-b", "ann", 0.1)
        time.sleep(0.2)
        self.assertIsInstance(
            self.store.acquire("team/lease-b", "ben", 10.0), LeaseGranted
        )
        self.assertIsInstance(self.store.renew(held.lease, 10.0), LeaseLost)


class MemoryStoreTests(Conformance, unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()

    def test_same_address_opens_same_store(self):
        self.assertIs(open_store("memory://x"), open_store("memory://x"))


class ConsulStoreTests(Conformance, unittest.TestCase):
    def setUp(self):
        self.server = StoreServer().start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.store = open_store(self.server.url)

    def test_lost_response_may_have_run(self):
        self.server.faults = {"lose_answers": 1}
        answer = self.store.put("team/h", b"1", 0)
        self.assertIsInstance(answer, StoreFailure)
        self.assertTrue(answer.may_have_run)
        self.assertEqual(self.store.get("team/h").data, b"1")

    def test_refused_connection_did_not_run(self):
        answer = ConsulStore("http://127.0.0.1:1").put("team/i", b"1", 0)
        self.assertIsInstance(answer, StoreFailure)
        self.assertFalse(answer.may_have_run)
