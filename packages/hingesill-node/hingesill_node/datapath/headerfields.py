"""Header fields of one message, in about as much memory as they were received in."""

import re
from functools import lru_cache

__all__ = ["HeaderFields"]

SEPARATOR = ": "
LINE_END = "\n"
KNOWN_NAMES = 256


class HeaderFields:
    """An immutable sequence of names and values, stored as one text.

    Parameters
    ----------
    pairs : iterable of tuple of str
        Names and values; names have no colon, and neither has a line feed.

    Notes
    -----
    A tuple and two strings for each field would take up to 70 times the memory of a
    head with very short lines.
    """

    __slots__ = ("_text",)

    def __init__(self, pairs=()):
        self._text = "".join(
            f"{name}{SEPARATOR}{value}{LINE_END}" for name, value in pairs
        )

    @classmethod
    def decode(cls, lines):
        """Return the fields of lines ``name: value``, each with a line feed.

        Parameters
        ----------
        lines : bytes or bytearray
            The lines; names have no colon.
        """
        fields = cls()
        fields._text = lines.decode("latin-1")
        return fields

    def __iter__(self):
        """Yield names and values in the order received."""
        for line in self._text.split(LINE_END):
            if line:
                name, _, value = line.partition(SEPARATOR)
                yield name, value

    def __len__(self):
        return self._text.count(LINE_END)

    def __eq__(self, other):
        return list(self) == list(other)

    def __repr__(self):
        return f"HeaderFields({list(self)!r})"

    def get(self, name, default=None):
        """Return the first value of a field; names are matched in any case."""
        found = compile_pattern(name).search(self._text)
        return default if found is None else found.group(1)

    def get_all(self, name):
        """Return the values of a field in the order received."""
        return compile_pattern(name).findall(self._text)

    def count_bytes(self):
        """Return the size of the fields in bytes."""
        return len(self._text)

    def encode(self):
        """Return the fields as lines of a message's head, without an empty line."""
        return self._text.replace(LINE_END, "\r\n").encode("latin-1")


@lru_cache(KNOWN_NAMES)
def compile_pattern(name):
    """Return the pattern of a field's line; its group is the value."""
    return re.compile(
        f"^{re.escape(name)}{SEPARATOR}(.*)$", re.IGNORECASE | re.MULTILINE
    )
