"""Cost of one changed organisation for a relay and for a follower, by their number."""

import secrets
import time

from msgspec.structs import replace

from hingesill_core.discovery.difference import find_changes
from hingesill_core.discovery.directory import Directory
from hingesill_core.discovery.position import Position
from hingesill_core.discovery.records import DeclaredConfiguration, Snapshot
from hingesill_core.organisations.changes import digest_organisations
from hingesill_core.organisations.keytable import KeyTable
from hingesill_core.organisations.organisation import Organisation, digest_key
from hingesill_node.discovery.codec import decode_changes, encode

__all__ = ["run"]

SIZES = (10, 100, 1000, 4000)
KEYS = 2
NODES = 300
REPETITIONS = 20


def build_organisation(number):
    """Return an organisation with random keys."""
    keys = tuple(digest_key(secrets.token_hex(10)) for _ in range(KEYS))
    return Organisation(f"organisation-{number}", keys, 1, 100.0, 100.0)


def build_declaration(version, organisations):
    """Return a declaration with the given organisations."""
    digest = digest_organisations(organisations)
    return DeclaredConfiguration(
        version, (), (), organisations=organisations, organisations_digest=digest
    )


def measure(count):
    """Return bytes of the table and of a change, and milliseconds of both sides."""
    organisations = {o.name: o for o in map(build_organisation, range(count))}
    before = Snapshot(Position(0, 1), build_declaration(1, organisations))
    follower = Directory()
    follower.apply_snapshot(before, 0.0)
    relay_seconds = follower_seconds = 0.0
    for version in range(2, 2 + REPETITIONS):
        organisations = {**organisations, "organisation-0": build_organisation(0)}
        after = Snapshot(
            Position(0, version), build_declaration(version, organisations)
        )
        started = time.process_time()
        encoded = encode(find_changes(before, after))
        encoded_at = time.process_time()
        changes = decode_changes(encoded)
        if not follower.can_apply(changes):
            raise RuntimeError("the follower refuses the changes")
        follower.apply_changes(changes, 0.0)
        KeyTable(follower.declared.organisations.values())
        follower_seconds += time.process_time() - encoded_at
        relay_seconds += encoded_at - started
        before = after
    milliseconds = 1000 / REPETITIONS
    return (
        len(encode(replace(before, endpoints={}))),
        len(encoded),
        relay_seconds * milliseconds,
        follower_seconds * milliseconds,
    )


def run():
    """Print the figures by number of organisations; a relay's bytes at 300 nodes."""
    print("organisations | table B | change B | relay ms | follower ms | relay KB")
    for count in SIZES:
        whole, change, relay, follower = measure(count)
        total = change * NODES / 1024
        print(
            f"{count} | {whole} | {change} | {relay:.2f} | {follower:.2f} | {total:.0f}"
        )
