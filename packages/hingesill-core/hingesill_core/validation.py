"""Validated models of inputs: every fault is reported with its place."""

import json as standard_json

from msgspec import Struct, ValidationError, convert, json
from msgspec.structs import fields

from hingesill_core.findings import Findings

__all__ = ["build_model", "decode_model", "parse_json"]

NO_CHECKS = {}


def build_model(model, raw, checks=NO_CHECKS, place=""):
    """Return a model of parsed input, or Findings with every fault.

    Parameters
    ----------
    model : type
        A ``msgspec.Struct``.
    raw : dict
        Input by field name; numbers may be strings.
    checks : dict
        Validators by field name: functions that return the value, or raise ValueError
        with a description of the fault.
    place : str
        Prefix of the field names in the findings.
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
    return findings or construct_model(model, values, place)


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
    """Return whether the type of a field is a model."""
    return isinstance(kind, type) and issubclass(kind, Struct)


def construct_model(model, values, place):
    """Return the model, or Findings with faults that involve several fields."""
    try:
        return model(**values)
    except ValueError as error:
        findings = Findings()
        findings.add(place.rstrip(".") or model.__name__, str(error))
        return findings


def decode_model(decoder, data):
    """Return the model in a JSON document.

    Parameters
    ----------
    decoder : msgspec.json.Decoder
        Decoder of the model.
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


def parse_json(data):
    """Return the content of a JSON document of any form.

    Raises
    ------
    ValueError
        If it is no JSON document, or nested too deeply.
    """
    try:
        return standard_json.loads(data)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error
