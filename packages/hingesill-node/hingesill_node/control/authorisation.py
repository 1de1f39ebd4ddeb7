"""Authorisation of changes to services, with a registry of authorisers."""

import hmac
import json
from pathlib import Path

from hingesill_core.registry import Registry

__all__ = ["AUTHORISERS", "OpenAuthoriser", "TokenAuthoriser"]

AUTHORISERS = Registry("authoriser")
ALL_SERVICES = "*"


@AUTHORISERS.register("open")
class OpenAuthoriser:
    """Allows every change by any author; for a network with restricted access."""

    def __init__(self, path):
        """Ignore the path, which this authoriser does not need."""

    def find_author(self, token, claimed):
        """Return the claimed name of the author."""
        return claimed or "anonymous"

    def may_change(self, author, service):
        """Return whether an author may change a service: always."""
        return True


@AUTHORISERS.register("tokens")
class TokenAuthoriser:
    """Identifies authors by token; each may change a list of services.

    Parameters
    ----------
    path : str
        Path of a JSON file ``{"author": {"token": "...", "services": ["arena"]}}``;
        ``*`` stands for all services.

    Raises
    ------
    ValueError
        If the file does not have this form.
    """

    def __init__(self, path):
        try:
            self._authors = json.loads(Path(path).read_text())
            self._tokens = {n: item["token"] for n, item in self._authors.items()}
            self._services = {n: item["services"] for n, item in self._authors.items()}
        except (OSError, LookupError, TypeError, AttributeError) as error:
            raise ValueError(f"no valid authors in {path}: {error}") from error

    def find_author(self, token, claimed):
        """Return the author with this token, or None."""
        for author, known in self._tokens.items():
            if hmac.compare_digest(known.encode(), token.encode()):
                return author
        return None

    def may_change(self, author, service):
        """Return whether an author may change a service."""
        services = self._services.get(author, ())
        return ALL_SERVICES in services or service in services
