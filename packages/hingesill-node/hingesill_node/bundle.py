"""Import of modules from one bundle file, without a search of the path for each.

A node imports hundreds of modules before it serves. The search for them in the path
and the reads make most of the system calls of a start. A bundle is one file, which
stays open, with an index of the offset of each module's compiled code.

`open_bundle` runs before all other imports, so this module imports no other module of
the package.
"""

import marshal
import os
import sys
from importlib.machinery import ModuleSpec

__all__ = ["BundleFinder", "open_bundle", "write_bundle"]

# Size in bytes of the index length at the start of the file.
LENGTH_BYTES = 8


class BundleFinder:
    """Finder and loader for modules of a bundle; see `importlib.abc.MetaPathFinder`.

    Parameters
    ----------
    descriptor : int
        File descriptor of the bundle.
    code_offset : int
        Offset of the code section in the file.
    index : dict
        Source file, whether it is a package, whether it is loaded lazily, offset and
        size of the compiled code, by the module's name.
    """

    def __init__(self, descriptor, code_offset, index):
        self._descriptor = descriptor
        self._code_offset = code_offset
        self._index = index

    def find_spec(self, name, path=None, target=None):
        """Return the spec of a module in the bundle, or None."""
        entry = self._index.get(name)
        if entry is None:
            return None
        origin, is_package, is_lazy, _, _ = entry
        loader = self._make_lazy_loader(self) if is_lazy else self
        spec = ModuleSpec(name, loader, origin=origin, is_package=is_package)
        spec.has_location = True
        if is_package:
            # Submodules missing from the bundle are searched in the package's folder.
            spec.submodule_search_locations.append(os.path.dirname(origin))
        return spec

    def _make_lazy_loader(self, loader):
        """Return a loader that runs a module on first use of an attribute."""
        # Imported here, because the modules it needs are also in the bundle.
        from importlib.util import LazyLoader

        return LazyLoader(loader)

    def create_module(self, spec):
        """Return None, so that the import system creates the module."""

    def exec_module(self, module):
        """Execute the module's code."""
        _, _, _, offset, size = self._index[module.__spec__.name]
        code = marshal.loads(
            os.pread(self._descriptor, size, self._code_offset + offset)
        )
        exec(code, module.__dict__)


def open_bundle(path):
    """Install a finder that imports from a bundle.

    Returns
    -------
    str
        Why the bundle is not used; empty if it is.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        length = int.from_bytes(os.pread(descriptor, LENGTH_BYTES, 0), "big")
        if length > os.fstat(descriptor).st_size:
            return f"{path}: the file is truncated"
        version, index = marshal.loads(os.pread(descriptor, length, LENGTH_BYTES))
    except (OSError, ValueError, EOFError, TypeError) as error:
        return f"{path}: {error}"
    if version != sys.version:
        os.close(descriptor)
        return f"{path}: made by another Python: {version}"
    sys.meta_path.insert(0, BundleFinder(descriptor, LENGTH_BYTES + length, index))
    return ""


def write_bundle(path, modules, lazy=()):
    """Write the compiled code of modules to a bundle.

    Parameters
    ----------
    path : str
        The bundle file.
    modules : iterable of module
        Modules without a source file are left out.
    lazy : collection of str
        Names of modules that are run on first use of an attribute.

    Returns
    -------
    int
        Number of modules in the bundle.

    Notes
    -----
    The file replaces an earlier bundle atomically. If it were overwritten in place,
    processes that start meanwhile would read code at the offsets of the earlier bundle
    and exit.
    """
    blocks = []
    index = {}
    offset = 0
    for spec in list_sources(modules):
        block = marshal.dumps(spec.loader.get_code(spec.name))
        is_package = spec.submodule_search_locations is not None
        is_lazy = spec.name in lazy
        index[spec.name] = (spec.origin, is_package, is_lazy, offset, len(block))
        blocks.append(block)
        offset += len(block)
    header = marshal.dumps((sys.version, index))
    temporary_path = f"{path}.unfinished"
    with open(temporary_path, "wb") as file:
        file.write(len(header).to_bytes(LENGTH_BYTES, "big"))
        file.write(header)
        file.writelines(blocks)
    os.replace(temporary_path, path)
    return len(index)


def list_sources(modules):
    """Yield the specs of the modules that have a source file."""
    for module in modules:
        spec = getattr(module, "__spec__", None)
        if spec is not None and str(spec.origin).endswith(".py"):
            yield spec
