"""Declaration files: YAML with several documents per file, findings with lines."""

import re
from pathlib import Path

import yaml

from hingesill_core.configuration.declaration import (
    ServiceDeclaration,
    validate_declaration,
)
from hingesill_core.configuration.organisations import (
    ORGANISATION_FIELDS,
    describe_conflict,
    validate_organisation,
)
from hingesill_core.findings import Finding, Findings

__all__ = ["load_declarations"]

SUFFIXES = {".yaml", ".yml"}
# Text of the file in a message of the YAML parser; it could be a part of a key.
QUOTED = re.compile(r"""(['"])(?!<).{3,}\1""")


def load_declarations(path):
    """Read all declarations below a path.

    Parameters
    ----------
    path : str or Path
        A file, or a folder whose YAML files are read in order of their names.

    Returns
    -------
    declarations : list of ServiceDeclaration or OrganisationDeclaration
        The valid declarations.
    findings : Findings
        The findings, each with its file and line.
    """
    findings = Findings()
    declarations = []
    locations = {}
    owners = {}
    for file in list_files(Path(path), findings):
        for node, declaration in read_file(file, findings):
            location = f"{file}:{get_line(node)}"
            record_declaration(declaration, location, locations, findings)
            if not isinstance(declaration, ServiceDeclaration):
                check_keys(declaration, file, node, owners, findings)
            declarations.append(declaration)
    services = [d for d in declarations if isinstance(d, ServiceDeclaration)]
    check_route_conflicts(services, findings)
    return declarations, findings


def list_files(path, findings):
    """Yield the files to read."""
    if path.is_dir():
        files = sorted(f for f in path.iterdir() if f.suffix in SUFFIXES)
        if not files:
            findings.add(str(path), "contains no YAML file")
        yield from files
    elif path.is_file():
        yield path
    else:
        findings.add(str(path), "no such file or folder")


def read_file(file, findings):
    """Yield each valid declaration of a file with its YAML node."""
    try:
        text = file.read_text(encoding="utf-8")
        nodes = list(yaml.compose_all(text, Loader=yaml.SafeLoader))
        values = list(yaml.safe_load_all(text))
    except (OSError, UnicodeDecodeError) as error:
        findings.add(str(file), f"cannot be read: {error}")
        return
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or "cannot be parsed"
        findings.add(f"{file}:{line}", QUOTED.sub("'...'", problem))
        return
    except ValueError:
        # A timestamp that does not exist; the message could have a part of a key.
        findings.add(str(file), "a value has an invalid form")
        return
    for node, value in zip(nodes, values):
        local = Findings()
        if isinstance(value, dict) and "organisation" in value:
            check_field_names(file, node, findings)
            known = {n: value[n] for n in value if n in ORGANISATION_FIELDS}
            declaration = validate_organisation(known, local)
        else:
            declaration = validate_declaration(value, local)
        for finding in local:
            findings.items.append(locate_in_file(file, node, finding))
        if declaration is not None:
            yield node, declaration


def check_field_names(file, node, findings):
    """Report unknown fields of an organisation by line; a name could be a key."""
    for key, _ in node.value:
        if key.value not in ORGANISATION_FIELDS:
            findings.add(
                f"{file}:{get_line(key)}",
                "unknown field of an organisation, which has "
                + ", ".join(sorted(ORGANISATION_FIELDS)),
            )


def get_line(node):
    """Return the line of a YAML node, from 1."""
    return node.start_mark.line + 1 if node else 1


def locate_in_file(file, node, finding):
    """Add file and line to a finding whose place is a dotted path."""
    line = get_line(node)
    for part in finding.place.split("."):
        node = find_child(node, part)
        if node is None:
            break
        line = get_line(node)
    return Finding(f"{file}:{line}: {finding.place}", finding.message)


def find_child(node, part):
    """Return the node below a mapping's key or a sequence's index, or None."""
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == part:
                return value
    if isinstance(node, yaml.SequenceNode) and part.isdigit():
        if int(part) < len(node.value):
            return node.value[int(part)]
    return None


def record_declaration(declaration, location, locations, findings):
    """Record the location of a declaration; report a second one of the same name."""
    first = locations.setdefault(declaration.document_name, location)
    if first != location:
        findings.add(
            location, f"the {declaration.label} is declared at {first} as well"
        )


def check_keys(declaration, file, node, owners, findings):
    """Report keys that the organisation has twice or that another one has."""
    name = declaration.organisation
    for place, digest in declaration.list_key_places():
        owner = owners.get(digest)
        if owner is not None:
            finding = Finding(place, describe_conflict(owner, name))
            findings.items.append(locate_in_file(file, node, finding))
        owners.setdefault(digest, name)


def check_route_conflicts(declarations, findings):
    """Report routes that two services declare."""
    owners = {}
    for declaration in declarations:
        for index, route in enumerate(declaration.routes):
            key = (route.method, route.path)
            owner = owners.setdefault(key, declaration.service)
            if owner != declaration.service:
                findings.add(
                    f"{declaration.service}.routes.{index}",
                    f"{route.method} {route.path} is declared by {owner} already",
                )
