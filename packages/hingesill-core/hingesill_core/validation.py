"""Checked models at the border: each fault of an input, with its place."""

from msgspec import Struct, ValidationError, convert, json
from msgspec.structs import fields

from hingesill_core.findings import Findings

__all__ = ["build_model", "decode_model"]

NO_CHECKS = {}


def build_model(model, raw, checks=NO_CHECKS, place=""):
    """Return a model of parsed input, or Findings that name every fault.

    Parameters
    ----------
    model : type
        A ``msgspec.Struct``.
    raw : dict
        The input by field; numbers may be given as text.
    checks : dict
        By field's name, a function that takes the value and raises ValueError with
        what is wrong.
    place : str
        Stands before the names of the fields in the findings.
    """
    findings = Findings()
    values = {}
    for field in fields(model):
        path = f"{place}{field.name}"
        if field.name in raw:
            value = convert_field(field, raw[field.name], checks, path)
            if isinstance(value, Findings):
                findings.extend(value)
            else:
                values[field.name] = value
        elif field.required:
            findings.add(path, "is required")
    return findings or build_whole(model, values, place)


def convert_field(field, value, checks, path):
    """Return the value of one field, or Findings."""
    if is_model(field.type) and isinstance(value, dict):
        return build_model(field.type, value, place=f"{path}.")
    findings = Findings()
    check = checks.get(field.name)
    try:
        value = convert(value, field.type, strict=False)
        return value if check is None else check(value)
    except ValueError as error:
        findings.add(path, str(error))
    return findings


def is_model(kind):
    """Tell whether the type of a field is a model of its own."""
    return isinstance(kind, type) and issubclass(kind, Struct)


def build_whole(model, values, place):
    """Return the model, or Findings with what its fields together break."""
    try:
        return model(**values)
    except ValueError as error:
        findings = Findings()
        findings.add(place.rstrip(".") or model.__name__, str(error))
        return findings


def decode_model(decoder, data):
    """Return the model that JSON holds.

    Parameters
    ----------
    decoder : msgspec.json.Decoder
        Of the model.
    data : bytes
        The document.

    Raises
    ------
    ValueError
        With every fault and its path.
    """
    try:
        return decoder.decode(data)
    except ValidationError as error:
        raw = json.decode(data)
        found = build_model(decoder.type, raw) if isinstance(raw, dict) else None
        if isinstance(found, Findings):
            raise ValueError("; ".join(str(item) for item in found)) from error
        raise
