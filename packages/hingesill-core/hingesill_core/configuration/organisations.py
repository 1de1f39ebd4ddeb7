"""Declarations of organisations: in an operator's files, and as stored documents."""

import json
from functools import lru_cache
from typing import Annotated

from pydantic import AfterValidator, Field, StringConstraints, ValidationError

from hingesill_core.configuration.log import ORGANISATION_PREFIX, is_organisation
from hingesill_core.configuration.strictmodel import StrictModel
from hingesill_core.findings import Findings
from hingesill_core.organisations.organisation import Organisation, digest_key

__all__ = [
    "ORGANISATION_FIELDS",
    "OrganisationDeclaration",
    "build_organisation",
    "describe_conflict",
    "find_key_conflicts",
    "parse_organisation",
    "validate_organisation",
]

ORGANISATION_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
MAX_KEYS = 1000
MAX_RANK = 1000
MAX_RATE = 1_000_000
MAX_CACHED_DOCUMENTS = 8192

# Characters that a caller can send in `Authorization: Bearer`.
KeyPattern = StringConstraints(pattern=r"^[!-~]{1,4096}$")
DigestPattern = StringConstraints(pattern=r"^[0-9a-f]{64}$")
Rate = Annotated[float, Field(ge=0, le=MAX_RATE, allow_inf_nan=False)]


class OrganisationDocument(StrictModel):
    """An organisation as it is stored in the change log.

    Notes
    -----
    ``routes`` is empty and required: nodes of builds without organisations read the
    routes of every document in the log when they accept a change.
    """

    organisation: str = Field(pattern=ORGANISATION_NAME)
    key_digests: list[Annotated[str, DigestPattern]] = Field(max_length=MAX_KEYS)
    rank: int | None = Field(ge=0, le=MAX_RANK)
    rate: Rate
    burst: Rate
    routes: list[str] = Field(max_length=0)

    @property
    def document_name(self):
        """Name of the document in the change log."""
        return f"{ORGANISATION_PREFIX}{self.organisation}"


class OrganisationDeclaration(StrictModel):
    """An organisation as an operator declares it in a file.

    Notes
    -----
    ``keys`` holds digests once it is validated, so that neither a `repr` nor a document
    contains a key.
    """

    organisation: str = Field(pattern=ORGANISATION_NAME)
    keys: list[Annotated[str, KeyPattern, AfterValidator(digest_key)]] = Field(
        default=[], max_length=MAX_KEYS
    )
    key_digests: list[Annotated[str, DigestPattern]] = Field(
        default=[], max_length=MAX_KEYS
    )
    rank: int | None = Field(default=None, ge=0, le=MAX_RANK)
    rate: Rate = 0.0
    burst: Rate = 0.0

    @property
    def document_name(self):
        """Name of its document in the change log."""
        return f"{ORGANISATION_PREFIX}{self.organisation}"

    @property
    def label(self):
        """Kind and name, for messages."""
        return f"organisation {self.organisation}"

    def list_key_places(self):
        """Return (place, digest) of each key."""
        return [
            (f"{name}.{index}", digest)
            for name in ("keys", "key_digests")
            for index, digest in enumerate(getattr(self, name))
        ]

    def encode_document(self):
        """Return the document to store, as JSON bytes; equal ones for equal content."""
        document = OrganisationDocument(
            organisation=self.organisation,
            key_digests=sorted(digest for _, digest in self.list_key_places()),
            rank=self.rank,
            rate=self.rate,
            burst=self.burst,
            routes=[],
        )
        return document.model_dump_json().encode()


ORGANISATION_FIELDS = frozenset(OrganisationDeclaration.model_fields)


def validate_organisation(raw, findings, place=""):
    """Return the OrganisationDeclaration of a mapping, or None with findings."""
    try:
        return OrganisationDeclaration.model_validate(raw)
    except ValidationError as error:
        add_findings(error, findings, place)
        return None


def parse_organisation(document, findings, place=""):
    """Return the OrganisationDocument in JSON, or None with findings."""
    try:
        return OrganisationDocument.model_validate_json(document)
    except ValidationError as error:
        add_findings(error, findings, place)
        return None


def add_findings(error, findings, place):
    """Add the findings of a ValidationError, without any part of the input.

    Notes
    -----
    The name of an unknown field is input as well: it could be a key that was written
    at the wrong place.
    """
    for item in error.errors(include_input=False, include_url=False):
        known = item["type"] != "extra_forbidden"
        path = ".".join(str(part) for part in item["loc"]) if known else ""
        message = item["msg"] if known else "has an unknown field"
        findings.add(f"{place}{path or 'declaration'}", message)


def build_organisation(document):
    """Return the Organisation of a validated OrganisationDocument."""
    return Organisation(
        document.organisation,
        tuple(document.key_digests),
        document.rank,
        document.rate,
        document.burst,
    )


@lru_cache(MAX_CACHED_DOCUMENTS)
def list_digests(document):
    """Return the digests in a stored document, cached as for routes."""
    return tuple(json.loads(document).get("key_digests", ()))


def find_key_conflicts(replica, changes):
    """Return a finding for each key that would belong to two organisations.

    Parameters
    ----------
    replica : Replica
        The state before the changes.
    changes : tuple of ServiceChange
        Validated declarations.

    Returns
    -------
    Findings
        With the key's place, but neither the key nor its digest.
    """
    findings = Findings()
    changed = [change for change in changes if is_organisation(change.service)]
    if not any(change.document for change in changed):
        return findings
    names = {change.service for change in changed}
    owners = {}
    for name, versioned in replica.services.items():
        if is_organisation(name) and name not in names and versioned.document:
            owners.update(dict.fromkeys(list_digests(versioned.document), name))
    for change in changed:
        for index, digest in enumerate(list_digests(change.document or "{}")):
            place = f"{change.service}.key_digests.{index}"
            owner = owners.get(digest)
            if owner is not None:
                findings.add(place, describe_conflict(owner, change.service))
            owners.setdefault(digest, change.service)
    return findings


def describe_conflict(owner, name):
    """Return the message about a key that an organisation has already."""
    if owner == name:
        return "is declared twice"
    return f"is also a key of {owner.removeprefix(ORGANISATION_PREFIX)}"
