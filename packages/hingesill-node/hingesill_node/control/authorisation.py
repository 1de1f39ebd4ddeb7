"""Who may change which service: a seam with a registry of ways to tell."""

import hmac
import json
from pathlib import Path

from hingesill_core.registry import Registry

__all__ = ["AUTHORISERS", "OpenAuthoriser", "TokenAuthoriser"]

AUTHORISERS = Registry("authoriser")
ALL_SERVICES = "*"


@AUTHORISERS.register("open")
class OpenAuthoriser:
    """Everybody may change everything; for a network that is closed by itself."""

    def __init__(self, path):
        """Ignore the path."""

    def find_author(self, token, claimed):
        """Return the author's name as claimed."""
        return claimed or "anonymous"

    def may_change(self, author, service):
        """Return True."""
        return True


@AUTHORISERS.register("tokens")
class TokenAuthoriser:
    """Authors with tokens, each with the services that they may change.

    Parameters
    ----------
    path : str
        A JSON file ``{"author": {"token": "...", "services": ["arena"]}}``;
        ``*`` stands for all services.

    Raises
    ------
    ValueError
        If the file is not of this form.
    """

    def __init__(self, path):
        try:
            self._authors = json.loads(Path(path).read_text())
            self._tokens = {n: item["token"] for n, item in self._authors.items()}
            self._services = {n: item["services"] for n, item in self._authors.items()}
        except (OSError, LookupError, TypeError, AttributeError) as error:
            raise ValueError(f"{path} holds no authors: {error}") from error

    def find_author(self, token, claimed):
        """Return the author whose token it is, or None."""
        for author, known in self._tokens.items():
            if hmac.compare_digest(known.encode(), token.encode()):
                return author
        return None

    def may_change(self, author, service):
        """Tell whether an author may change a service."""
        services = self._services.get(author, ())
        return ALL_SERVICES in services or service in services
