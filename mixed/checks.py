"""Prints the result of each check and counts the broken ones."""

from contextlib import contextmanager

__all__ = ["Checks", "require"]


class Checks:
    """The results so far.

    Attributes
    ----------
    held, broken : int
        How many checks held, and how many did not.
    """

    def __init__(self):
        self.held = 0
        self.broken = 0

    @contextmanager
    def check(self, name):
        """Print a line for what is done within; any error there breaks the check.

        Yields
        ------
        list of str
            Takes what was seen.
        """
        seen = []
        word = "held"
        try:
            yield seen
        except Exception as error:
            self.broken += 1
            word = "BROKEN"
            seen.append(f"{type(error).__name__}: {error}")
        else:
            self.held += 1
        print(f"{word:6} {name}: {', '.join(seen)}", flush=True)


def require(condition, message):
    """Raise AssertionError with a message unless a condition holds."""
    if not condition:
        raise AssertionError(message)
