"""Tests of frames between a relay and its followers, intact and corrupted."""

import random
import unittest
import zlib

from msgspec.json import decode as decode_json, encode as encode_json

from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import (
    FORMAT,
    Changes,
    NodeRecord,
    QuarantineRecord,
)
from hingesill_core.routing.profile import LevelProfile, Profile, ServiceProfile
from hingesill_node.discovery.codec import (
    decode_changes,
    decode_profile,
    decode_snapshot,
    encode,
)
from hingesill_node.discovery.frames import FrameKind, FrameReader, build_frame
from hingesill_node.discovery.tests.spoiling import spoil
from hingesill_node.discovery.tests.test_follower import build_declared, build_snapshot

SEED = 33
CORRUPTED_COUNT = 2000
PROFILE = Profile({"arena": ServiceProfile((LevelProfile(6, 5, 30.0, 0.5),))})
CHANGES = Changes(
    Position(1, 7),
    build_declared(2),
    nodes={"n1": NodeRecord("n1", "10.0.0.1:80", "a", 1.0)},
    profile=PROFILE,
    evacuated={"a": 6},
    held={"f1": QuarantineRecord("f1", 5.0, 605.0, 1)},
)
SNAPSHOT = build_snapshot(5)
CONTENTS = (
    (CHANGES, decode_changes),
    (SNAPSHOT, decode_snapshot),
    (PROFILE, decode_profile),
)
FRAMES = (
    build_frame(FrameKind.WHOLE, 0.5, encode(SNAPSHOT))
    + build_frame(FrameKind.HEARTBEAT, None)
    + build_frame(FrameKind.CHANGES, None, encode(CHANGES))
)


class FormatTests(unittest.TestCase):
    """Guards against content of an earlier build that passes for complete."""

    def test_content_of_this_build(self):
        self.assertEqual(decode_snapshot(encode(SNAPSHOT)).format, FORMAT)
        self.assertEqual(decode_changes(encode(CHANGES)).format, FORMAT)

    def test_content_without_a_format(self):
        for content, decode_content in CONTENTS[:2]:
            fields = decode_json(encode_json(content))
            del fields["format"]
            encoded = zlib.compress(encode_json(fields))
            self.assertEqual(decode_content(encoded).format, 1)


class FrameTests(unittest.TestCase):
    def test_frames_are_decoded_from_any_pieces(self):
        reader = FrameReader()
        frames = [f for byte in FRAMES for f in reader.feed(bytes([byte]))]
        self.assertEqual([f.content for f in frames], [SNAPSHOT, None, CHANGES])
        self.assertEqual([f.return_age for f in frames], [0.5, None, None])

    def test_corrupted_frames_raise_only_value_errors(self):
        """A follower abandons a relay that sends such frames."""
        rng = random.Random(SEED)
        for _ in range(CORRUPTED_COUNT):
            try:
                list(FrameReader().feed(spoil(rng, FRAMES)))
            except ValueError:
                continue


class ContentTests(unittest.TestCase):
    """Content is corrupted before its compression, so that it reaches the decoder."""

    def test_corrupted_contents_raise_only_value_errors(self):
        rng = random.Random(SEED)
        for content, decode in CONTENTS:
            encoded = encode_json(content)
            for _ in range(CORRUPTED_COUNT):
                try:
                    decode(zlib.compress(spoil(rng, encoded)))
                except ValueError:
                    continue
