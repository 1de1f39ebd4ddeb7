"""How far a node knows a store: which of its eras, and which revision of that."""

from msgspec import Struct

__all__ = ["Position", "parse_position"]

SEPARATOR = "."


class Position(Struct, frozen=True, order=True, array_like=True):
    """A revision with the era that it belongs to; compared as a pair.

    Parameters
    ----------
    era : int
        Rises by one each time that the store comes back from an older copy; 0 for a
        store that does not tell.
    revision : int
        Of the store. A copy's revisions are given out again, so that one alone tells
        nothing of which of two is the later.
    """

    era: int = 0
    revision: int = 0

    def __str__(self):
        return f"{self.era}{SEPARATOR}{self.revision}"


def parse_position(text):
    """Return the Position that a text stands for; the first one if it is none."""
    era, _, revision = text.partition(SEPARATOR)
    if not (era.isdecimal() and revision.isdecimal()):
        return Position()
    return Position(int(era), int(revision))
