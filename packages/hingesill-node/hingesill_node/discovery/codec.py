"""Snapshots of a directory as bytes, for other nodes."""

import json
import zlib
from dataclasses import asdict

from hingesill_core.configuration.services import Part, Route
from hingesill_core.discovery.records import (
    Declared,
    DeclaredService,
    EndpointRecord,
    Limits,
    NodeRecord,
    Snapshot,
)

__all__ = ["decode_snapshot", "encode_snapshot"]

COMPRESSION = 6


def encode_snapshot(snapshot):
    """Return a Snapshot as compressed JSON."""
    text = json.dumps(asdict(snapshot), separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION)


def decode_snapshot(encoded):
    """Return the Snapshot that bytes hold.

    Raises
    ------
    ValueError
        If they hold none.
    """
    try:
        raw = json.loads(zlib.decompress(encoded))
        return Snapshot(
            revision=int(raw["revision"]),
            declared=decode_declared(raw["declared"]),
            endpoints={
                name: EndpointRecord(**record)
                for name, record in raw["endpoints"].items()
            },
            nodes={name: NodeRecord(**record) for name, record in raw["nodes"].items()},
        )
    except (zlib.error, TypeError, ValueError, LookupError, AttributeError) as error:
        raise ValueError(f"not a snapshot: {error}") from error


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


def decode_route(raw):
    """Return the Route of parsed JSON."""
    parts = tuple(Part(**part) for part in raw.pop("parts"))
    return Route(**raw, parts=parts)
