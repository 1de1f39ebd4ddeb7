"""Formats of names and addresses in declarations."""

import ipaddress
import re

__all__ = ["NAME", "check_address"]

NAME = r"^[a-z][a-z0-9-]{0,62}$"
ADDRESS = re.compile(r"^(?:\[([0-9a-fA-F:]+)\]|([0-9.]+)):(\d{1,5})$")


def check_address(value):
    """Validate an IP number with a port, without a name lookup."""
    match = ADDRESS.match(value)
    if match is None:
        raise ValueError(
            "an address consists of an IP number and a port, such as 10.0.0.1:8080"
        )
    ipaddress.ip_address(match.group(1) or match.group(2))
    if not 0 < int(match.group(3)) < 65536:
        raise ValueError("a port is between 1 and 65535")
    return value
