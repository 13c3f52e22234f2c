"""Entry point of the single-file executable; loads C extensions from memory.

The archive cannot be unpacked, since hosts have no disk, and zipimport does not support
C extensions. Each extension is therefore copied to an anonymous memory file and loaded
from there. No other process is started.
"""

import importlib.machinery
import importlib.util
import os
import sys
import zipimport

SUFFIXES = importlib.machinery.EXTENSION_SUFFIXES


class MemoryExtensionFinder:
    """Meta path finder for C extensions in the running archive."""

    def __init__(self, *, archive):
        self.archive = archive
        self.importer = zipimport.zipimporter(archive)

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None if it is not found."""
        for suffix in SUFFIXES:
            member = name.replace(".", os.sep) + suffix
            try:
                data = self.importer.get_data(member)
            except OSError:
                continue
            return _spec(name, data)
        return None


def _spec(name, data):
    descriptor = os.memfd_create(name)
    os.write(descriptor, data)
    location = f"/proc/self/fd/{descriptor}"
    loader = importlib.machinery.ExtensionFileLoader(name, location)
    return importlib.util.spec_from_file_location(name, location, loader=loader)


sys.meta_path.insert(0, MemoryExtensionFinder(archive=sys.argv[0]))

from hawthornspoke.cli import main  # noqa: E402

main()
