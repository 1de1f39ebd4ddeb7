"""Look-up of the organisation that a key belongs to."""

__all__ = ["KeyTable"]


class KeyTable:
    """The keys of all organisations of a configuration.

    Parameters
    ----------
    organisations : iterable of Organisation
        Each key belongs to one organisation only.

    Notes
    -----
    Keys are compared by their digests: how long a look-up takes depends neither on the
    number of organisations nor on how much of a key was guessed right.
    """

    def __init__(self, organisations):
        self._by_digest = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.keys
        }

    def find(self, digest):
        """Return the Organisation of a key's digest, or None."""
        return self._by_digest.get(digest)
