"""Detection of ambiguous request framing, against request smuggling."""

from hingesill_core.findings import Finding

__all__ = ["find_framing_fault"]


def find_framing_fault(fields):
    """Return a Finding on the framing of a request, or None if it is valid.

    Parameters
    ----------
    fields : HeaderFields
        The request's header fields. The parser has rejected names that are empty or
        contain white space.
    """
    lengths = fields.get_all("Content-Length")
    codings = fields.get_all("Transfer-Encoding")
    if not all(value.isascii() and value.isdigit() for value in lengths):
        return Finding("Content-Length", "is not a decimal number")
    if not all(value.strip().lower() == "chunked" for value in codings):
        return Finding("Transfer-Encoding", "must be chunked")
    if len(lengths) > 1:
        return Finding("Content-Length", "is repeated")
    if len(codings) > 1 or (codings and lengths):
        return Finding("Transfer-Encoding", "conflicts with other headers")
    return None
