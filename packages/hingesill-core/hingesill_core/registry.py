"""Registries of implementations, which decorators fill."""

__all__ = ["Registry"]


class Registry:
    """Named implementations of one kind of behaviour.

    Parameters
    ----------
    kind : str
        Kind of the implementations, for messages.
    """

    def __init__(self, kind):
        self.kind = kind
        self._entries = {}

    def register(self, name):
        """Return a decorator that registers a class or function under a name.

        Raises
        ------
        ValueError
            If the name is already registered.
        """
        if name in self._entries:
            raise ValueError(f"the {self.kind} {name!r} is registered twice")

        def decorate(implementation):
            self._entries[name] = implementation
            return implementation

        return decorate

    def get(self, name):
        """Return the implementation, or None if the name is not registered."""
        return self._entries.get(name)

    def list_names(self):
        """Return all names, sorted."""
        return sorted(self._entries)
