"""Declaration files: YAML with several services per file, findings with lines."""

from pathlib import Path

import yaml

from hingesill_core.configuration.declaration import validate_declaration
from hingesill_core.findings import Finding, Findings

__all__ = ["load_declarations"]

SUFFIXES = {".yaml", ".yml"}


def load_declarations(path):
    """Read all declarations below a path.

    Parameters
    ----------
    path : str or Path
        A file, or a folder whose YAML files are read in order of their names.

    Returns
    -------
    declarations : list of ServiceDeclaration
        The valid declarations.
    findings : Findings
        The findings, each with its file and line.
    """
    findings = Findings()
    declarations = []
    locations = {}
    for file in list_files(Path(path), findings):
        for location, declaration in read_file(file, findings):
            record_service(declaration, location, locations, findings)
            declarations.append(declaration)
    check_route_conflicts(declarations, findings)
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
    """Yield each valid declaration of a file with its location."""
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
        findings.add(f"{file}:{line}", getattr(error, "problem", str(error)))
        return
    for node, value in zip(nodes, values):
        local = Findings()
        declaration = validate_declaration(value, local)
        for finding in local:
            findings.items.append(locate_in_file(file, node, finding))
        if declaration is not None:
            yield f"{file}:{node.start_mark.line + 1}", declaration


def locate_in_file(file, node, finding):
    """Add file and line to a finding whose place is a dotted path."""
    line = node.start_mark.line + 1 if node else 1
    for part in finding.place.split("."):
        node = find_child(node, part)
        if node is None:
            break
        line = node.start_mark.line + 1
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


def record_service(declaration, location, locations, findings):
    """Record the location of a service; report a second declaration."""
    first = locations.setdefault(declaration.service, location)
    if first != location:
        findings.add(
            location,
            f"the service {declaration.service} is declared at {first} as well",
        )


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
