"""WSGI environment of a request, without a copy of its header fields."""

__all__ = ["RequestEnvironment"]

FIELD_PREFIX = "HTTP_"


class RequestEnvironment(dict):
    """Variables of a request; those of header fields are looked up when needed.

    Parameters
    ----------
    fields : HeaderFields
        The request's header fields.
    **variables
        All other variables.

    Notes
    -----
    Names of fields with underscores have no variable, as in eventlet's server: they
    could not be told from names with hyphens.
    """

    def __init__(self, fields, variables):
        super().__init__(variables)
        self["headers_raw"] = fields

    def get(self, key, default=None):
        """Return a variable; several values of a field are joined with commas."""
        if not key.startswith(FIELD_PREFIX):
            return super().get(key, default)
        values = self["headers_raw"].get_all(self._find_name(key))
        return ",".join(values) if values else default

    def __contains__(self, key):
        if not key.startswith(FIELD_PREFIX):
            return super().__contains__(key)
        return self.get(key) is not None

    def _find_name(self, key):
        """Return the name of a variable's header field."""
        return key.removeprefix(FIELD_PREFIX).replace("_", "-")
