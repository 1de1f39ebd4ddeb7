"""Positions in the store's history: an era and a revision within it."""

from msgspec import Struct

__all__ = ["Position", "parse_position"]

SEPARATOR = "."


class Position(Struct, frozen=True, order=True, array_like=True):
    """A revision of the store and its era; compared as a pair.

    Parameters
    ----------
    era : int
        Number of times that the store was restored from an older copy; 0 for a store
        that does not report it.
    revision : int
        The store's revision. Revisions after a copy are assigned again once it is
        restored, so a revision alone does not tell which of two states is later.
    """

    era: int = 0
    revision: int = 0

    def __str__(self):
        return f"{self.era}{SEPARATOR}{self.revision}"


def parse_position(text):
    """Return the Position of a text; the initial position if the text is invalid."""
    era, _, revision = text.partition(SEPARATOR)
    if not (era.isdecimal() and revision.isdecimal()):
        return Position()
    return Position(int(era), int(revision))
