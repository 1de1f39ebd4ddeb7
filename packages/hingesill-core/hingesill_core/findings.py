"""Findings: all faults of an input, each with its place."""

from msgspec import Struct, field

__all__ = ["Finding", "Findings"]


class Finding(Struct, frozen=True):
    """One fault of an input.

    Parameters
    ----------
    place : str
        A file with its line, a path within a declaration, or the name of a setting.
    message : str
        Description of the fault.
    """

    place: str
    message: str

    def __str__(self):
        return f"{self.place}: {self.message}"


class Findings(Struct):
    """A collection of findings, so that all faults are reported together."""

    items: list[Finding] = field(default_factory=list)

    def add(self, place, message):
        """Add one finding."""
        self.items.append(Finding(place, message))

    def extend(self, others):
        """Add all findings of another collection."""
        self.items.extend(others)

    def __bool__(self):
        return bool(self.items)

    def __iter__(self):
        return iter(self.items)

    def __len__(self):
        return len(self.items)
