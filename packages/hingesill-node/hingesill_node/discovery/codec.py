"""Directories and their changes as bytes, for other nodes."""

import json
import zlib
from dataclasses import asdict

from hingesill_core.configuration.services import Part, Route
from hingesill_core.discovery.records import (
    Changes,
    Declared,
    DeclaredService,
    EndpointRecord,
    Limits,
    NodeRecord,
    Snapshot,
)
from hingesill_core.routing.profile import LevelProfile, Profile, ServiceProfile

__all__ = ["decode_changes", "decode_profile", "decode_snapshot", "encode"]

# Of zlib: what goes to many nodes is encoded once, and links may be narrow.
COMPRESSION = 6


def encode(content):
    """Return a Snapshot or Changes as compressed JSON."""
    text = json.dumps(asdict(content), separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION)


def decode_snapshot(encoded):
    """Return the Snapshot that bytes hold.

    Raises
    ------
    ValueError
        If they hold none.
    """
    return decode(encoded, Snapshot)


def decode_changes(encoded):
    """Return the Changes that bytes hold; ValueError if they hold none."""
    return decode(encoded, Changes)


def decode(encoded, kind):
    """Return the content of one kind; ValueError if there is none."""
    try:
        raw = json.loads(zlib.decompress(encoded))
        return kind(
            revision=int(raw["revision"]),
            declared=decode_declared(raw["declared"]),
            endpoints=decode_records(raw["endpoints"], EndpointRecord),
            nodes=decode_records(raw["nodes"], NodeRecord),
            profile=decode_profile(raw.get("profile")),
        )
    except (zlib.error, TypeError, ValueError, LookupError, AttributeError) as error:
        name = kind.__name__.lower()
        raise ValueError(f"not a {name}: {error}") from error


def decode_records(raw, kind):
    """Return records by name; None stands for one that is gone."""
    return {
        name: None if record is None else kind(**record) for name, record in raw.items()
    }


def decode_declared(raw):
    """Return the Declared of parsed JSON, or None."""
    if raw is None:
        return None
    return Declared(
        version=int(raw["version"]),
        services=tuple(DeclaredService(**service) for service in raw["services"]),
        routes=tuple(decode_route(route) for route in raw["routes"]),
        limits=Limits(**raw["limits"]),
    )


def decode_profile(raw):
    """Return the Profile of parsed JSON, or None."""
    if raw is None:
        return None
    return Profile(
        {
            name: ServiceProfile(
                tuple(LevelProfile(**level) for level in service["levels"])
            )
            for name, service in raw["services"].items()
        }
    )


def decode_route(raw):
    """Return the Route of parsed JSON."""
    parts = tuple(Part(**part) for part in raw.pop("parts"))
    return Route(**raw, parts=parts)
