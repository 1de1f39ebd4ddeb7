"""Table of the organisations, from the admin addresses of nodes."""

import http.client
import json
from dataclasses import dataclass

__all__ = ["OrganisationRow", "collect_rows", "fetch_organisations", "format_rows"]

TIMEOUT_SECONDS = 5.0
UNKNOWN = "-"
HEADER = ("name", "rate", "burst", "used", "refused", "waiting", "coordinator")


@dataclass(slots=True)
class OrganisationRow:
    """One organisation, with the sums of what all nodes reported.

    Attributes
    ----------
    rate, burst : float
        Its quota; a rate of 0 is none.
    used, refused : int or None
        Used tokens and refusals since the nodes started; None if no node reported them.
    waiting : int or None
        Waiting requests; None if no node reported them.
    coordinators : set of str
        Coordinators that the nodes named; more than one while they disagree.
    """

    name: str
    rate: float
    burst: float
    used: int | None = None
    refused: int | None = None
    waiting: int | None = None
    coordinators: set = None

    def add_figures(self, figures):
        """Add the figures that one node reported."""
        for field in ("used", "refused", "waiting"):
            setattr(self, field, (getattr(self, field) or 0) + figures[field])
        if figures["coordinator"]:
            self.coordinators.add(figures["coordinator"])


def fetch_organisations(address):
    """Return the page of organisations of one node.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the node's admin address.

    Raises
    ------
    OSError
        If the node does not answer.
    ValueError
        If it answers something else.
    """
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/organisations")
        response = connection.getresponse()
        body = response.read()
    except http.client.HTTPException as error:
        raise ValueError(f"no HTTP: {type(error).__name__}") from error
    finally:
        connection.close()
    if response.status != http.client.OK:
        raise ValueError(f"status {response.status}; is it the admin address?")
    page = json.loads(body)
    if not isinstance(page, dict) or "organisations" not in page:
        raise ValueError("no page of organisations")
    return page


def collect_rows(pages):
    """Return the OrganisationRows by name, with the quotas of the newest revision.

    Returns
    -------
    dict or None
        None if callers need no keys.
    """
    newest = max(pages, key=lambda page: page["revision"])
    if newest["organisations"] is None:
        return None
    rows = {
        entry["name"]: OrganisationRow(
            entry["name"], entry["rate"], entry["burst"], coordinators=set()
        )
        for entry in newest["organisations"]
    }
    for page in pages:
        for entry in page["organisations"] or ():
            if entry["name"] in rows and entry["figures"] is not None:
                rows[entry["name"]].add_figures(entry["figures"])
    return rows


def format_rows(rows):
    """Yield the lines of the table, in order of the names."""
    table = [HEADER]
    for _, row in sorted(rows.items()):
        quota = (format_number(row.rate), format_number(row.burst))
        figures = map(format_number, (row.used, row.refused, row.waiting))
        coordinators = ",".join(sorted(row.coordinators)) or UNKNOWN
        quota = quota if row.rate else ("none", UNKNOWN)
        table.append((row.name, *quota, *figures, coordinators))
    widths = [max(map(len, column)) for column in zip(*table)]
    for name, *numbers, coordinator in table:
        cells = [text.rjust(width) for text, width in zip(numbers, widths[1:])]
        yield "  ".join((name.ljust(widths[0]), *cells, coordinator))


def format_number(value):
    """Return a number with at most one decimal, or a dash for None."""
    if value is None:
        return UNKNOWN
    return f"{value:.1f}".removesuffix(".0")
