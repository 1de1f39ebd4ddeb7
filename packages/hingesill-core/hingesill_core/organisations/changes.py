"""Changes of organisations between two versions of a declaration."""

from hashlib import blake2b

from msgspec import Struct
from msgspec.json import encode

from hingesill_core.organisations.organisation import Organisation

__all__ = [
    "OrganisationChanges",
    "apply_organisation_changes",
    "digest_organisations",
    "find_organisation_changes",
]

# Digests are sums modulo this number, which fits into a signed 64-bit integer.
DIGEST_MODULUS = 2**63


class OrganisationChanges(Struct, frozen=True):
    """The organisations that differ between two versions.

    Parameters
    ----------
    changed : dict
        Organisation by name; None for removed ones.
    digest : int
        Digest of all organisations after the change. A receiver that started from
        another table gets another digest, and needs the whole table.
    """

    changed: dict[str, Organisation | None]
    digest: int


def digest_organisations(organisations):
    """Return the digest of organisations by name.

    Notes
    -----
    It is a sum, so a change costs the hashes of the changed organisations only.
    """
    return sum(map(hash_organisation, organisations.values())) % DIGEST_MODULUS


def hash_organisation(organisation):
    """Return the hash of one organisation, 0 for None; the same at all nodes."""
    if organisation is None:
        return 0
    return int.from_bytes(blake2b(encode(organisation), digest_size=8).digest())


def find_organisation_changes(before, after, digest):
    """Return the OrganisationChanges from one dict of organisations to another.

    Parameters
    ----------
    before, after : dict
        Organisation by name.
    digest : int
        Digest of the later ones.
    """
    changed = {
        name: organisation
        for name, organisation in after.items()
        if before.get(name) != organisation
    }
    changed.update((name, None) for name in before.keys() - after.keys())
    return OrganisationChanges(changed, digest)


def apply_organisation_changes(known, digest, changes):
    """Return the organisations after changes, None if they start from others.

    Parameters
    ----------
    known : dict
        Organisation by name before the changes.
    digest : int
        Digest of the known ones.
    changes : OrganisationChanges
        The changes.
    """
    for name, organisation in changes.changed.items():
        digest += hash_organisation(organisation) - hash_organisation(known.get(name))
    if digest % DIGEST_MODULUS != changes.digest:
        return None
    merged = {**known, **changes.changed}
    return {name: value for name, value in merged.items() if value is not None}
