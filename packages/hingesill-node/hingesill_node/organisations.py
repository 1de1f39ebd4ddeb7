"""What a node knows of the organisations, as JSON for operators."""

from msgspec import Struct
from msgspec.json import encode as encode_json

__all__ = ["OrganisationFigures", "build_figures", "encode_organisations"]


class OrganisationFigures(Struct, frozen=True):
    """Figures of one organisation at this node.

    Parameters
    ----------
    used : int
        Tokens of its quota that were used since the node started.
    refused : int
        Requests that were refused since then because its quota was used up.
    waiting : int
        Requests that wait for a token now.
    coordinator : str
        Name or address of the node that coordinates its quota; empty if there is none.
    """

    used: int = 0
    refused: int = 0
    waiting: int = 0
    coordinator: str = ""


class OrganisationEntry(Struct, frozen=True):
    """An organisation on the page, without its keys."""

    name: str
    rank: int | None
    rate: float
    burst: float
    figures: OrganisationFigures | None


class OrganisationsPage(Struct, frozen=True):
    """The page; ``organisations`` is None if callers need no keys."""

    revision: int
    organisations: list[OrganisationEntry] | None


def build_figures(usage):
    """Return the OrganisationFigures of a QuotaUsage."""
    coordinator = "" if usage.coordinator is None else "%s:%d" % usage.coordinator
    return OrganisationFigures(usage.used, usage.refused, usage.waiting, coordinator)


def encode_organisations(configuration, figures):
    """Return the organisations of a configuration as JSON bytes.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    figures : dict
        `OrganisationFigures` by name; an organisation without has none.
    """
    organisations = configuration.organisations
    entries = None
    if organisations is not None:
        entries = [
            OrganisationEntry(
                item.name, item.rank, item.rate, item.burst, figures.get(item.name)
            )
            for _, item in sorted(organisations.items())
        ]
    return encode_json(OrganisationsPage(configuration.revision, entries))
