"""The modules of a node's start in one file, found without searching for each.

A node imports hundreds of modules before it serves, and searching the path for them
and reading each makes most of a start's calls of the system. A bundle names where each
module's compiled code lies within one file, which stays open.

`open_bundle` comes before all other imports; so this module loads nothing else.
"""

import marshal
import os
import sys
from importlib.machinery import ModuleSpec

__all__ = ["BundleFinder", "open_bundle", "write_bundle"]

# Bytes of the index's length at the start of the file.
LENGTH_BYTES = 8


class BundleFinder:
    """Finds and loads the modules of a bundle; see `importlib.abc.MetaPathFinder`.

    Parameters
    ----------
    number : int
        File descriptor of the bundle.
    begin : int
        Where the code begins in it.
    index : dict
        Source file, whether it is a package, whether it runs late, offset and size of
        the compiled code, by the module's name.
    """

    def __init__(self, number, begin, index):
        self._number = number
        self._begin = begin
        self._index = index

    def find_spec(self, name, path=None, target=None):
        """Return the spec of a module in the bundle, else None."""
        entry = self._index.get(name)
        if entry is None:
            return None
        origin, is_package, is_late, _, _ = entry
        loader = self._make_late(self) if is_late else self
        spec = ModuleSpec(name, loader, origin=origin, is_package=is_package)
        spec.has_location = True
        if is_package:
            # What the bundle lacks is searched for where the package lies.
            spec.submodule_search_locations.append(os.path.dirname(origin))
        return spec

    def _make_late(self, loader):
        """Return a loader that runs a module when something of it is first used."""
        # Imported here, as what it needs is in the bundle too.
        from importlib.util import LazyLoader

        return LazyLoader(loader)

    def create_module(self, spec):
        """Leave the making of the module to the import system."""

    def exec_module(self, module):
        """Run the module's code."""
        _, _, _, offset, size = self._index[module.__spec__.name]
        code = marshal.loads(os.pread(self._number, size, self._begin + offset))
        exec(code, module.__dict__)


def open_bundle(path):
    """Import from a bundle from now on.

    Returns
    -------
    str
        Why it is not used; empty if it is.
    """
    try:
        number = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        length = int.from_bytes(os.pread(number, LENGTH_BYTES, 0), "big")
        if length > os.fstat(number).st_size:
            return f"{path}: cut short"
        version, index = marshal.loads(os.pread(number, length, LENGTH_BYTES))
    except (OSError, ValueError, EOFError, TypeError) as error:
        return f"{path}: {error}"
    if version != sys.version:
        os.close(number)
        return f"{path}: made by {version}"
    sys.meta_path.insert(0, BundleFinder(number, LENGTH_BYTES + length, index))
    return ""


def write_bundle(path, modules, late=()):
    """Write the compiled code of modules to a bundle.

    Parameters
    ----------
    path : str
        The file.
    modules : iterable of module
        Those without a source file are left out.
    late : collection of str
        Names of modules that run when something of them is first used.

    Returns
    -------
    int
        How many modules the bundle holds.

    Notes
    -----
    It takes the place of an earlier bundle at once: were one written over, processes
    that start meanwhile would look for its code at the places of the earlier one, and
    end.
    """
    blocks = []
    index = {}
    offset = 0
    for spec in list_sources(modules):
        block = marshal.dumps(spec.loader.get_code(spec.name))
        is_package = spec.submodule_search_locations is not None
        is_late = spec.name in late
        index[spec.name] = (spec.origin, is_package, is_late, offset, len(block))
        blocks.append(block)
        offset += len(block)
    head = marshal.dumps((sys.version, index))
    unfinished = f"{path}.unfinished"
    with open(unfinished, "wb") as file:
        file.write(len(head).to_bytes(LENGTH_BYTES, "big"))
        file.write(head)
        file.writelines(blocks)
    os.replace(unfinished, path)
    return len(index)


def list_sources(modules):
    """Yield the specs of the modules that have a source file."""
    for module in modules:
        spec = getattr(module, "__spec__", None)
        if spec is not None and str(spec.origin).endswith(".py"):
            yield spec
