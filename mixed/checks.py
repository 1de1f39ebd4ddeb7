"""Results of checks, printed and counted."""

from contextlib import contextmanager

__all__ = ["Checks", "require"]


class Checks:
    """The number of passed and failed checks.

    Attributes
    ----------
    held, broken : int
        Number of checks that passed, and that failed.
    """

    def __init__(self):
        self.held = 0
        self.broken = 0

    @contextmanager
    def check(self, name):
        """Print the result of the check in the block; any exception fails the check.

        Yields
        ------
        list of str
            Details to print with the result; the block appends to it.
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
    """Raise AssertionError with a message unless a condition is true."""
    if not condition:
        raise AssertionError(message)
