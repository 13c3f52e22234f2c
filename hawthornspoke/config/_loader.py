"""Read and merge a folder of TOML files."""

import tomllib

from hawthornspoke.base import Failure

UNREADABLE = Failure(code="unreadable")

SUFFIX = ".toml"


class Declarations:
    """A merged folder.

    Parameters
    ----------
    tree : dict
        Nested tables, later files over earlier ones.
    file_by_key : dict of tuple of str to str
        For each leaf key path the name of the file whose value won.
    overridden_by_key : dict of tuple of str to list of str
        Files whose value for a key was overridden, in order.
    failures : list of Failure
        Files that could not be read.
    """

    __slots__ = ("tree", "file_by_key", "overridden_by_key", "failures")

    def __init__(self, *, tree, file_by_key, overridden_by_key, failures):
        self.tree = tree
        self.file_by_key = file_by_key
        self.overridden_by_key = overridden_by_key
        self.failures = failures

    def file_of(self, path):
        """Return the file that decides a key, a key below it, or its table.

        Parameters
        ----------
        path : tuple of str

        Returns
        -------
        str
        """
        for length in range(len(path), 0, -1):
            # A missing key stands in no file; its table does.
            prefix = path[:length]
            files = [
                file for key, file in self.file_by_key.items() if key[:length] == prefix
            ]
            if files:
                return max(files)
        return "(folder)"


def load_folder(folder):
    """Merge the ``*.toml`` files of a folder in the order of their names.

    Parameters
    ----------
    folder : pathlib.Path or importlib.resources.abc.Traversable

    Returns
    -------
    Declarations
        With one failure per file that can't be read: all are reported at once.
    """
    merged = Declarations(tree={}, file_by_key={}, overridden_by_key={}, failures=[])
    if not folder.is_dir():
        merged.failures.append(UNREADABLE.because(f"{folder}: not a folder"))
        return merged
    files = [file for file in folder.iterdir() if file.name.endswith(SUFFIX)]
    files.sort(key=lambda file: file.name)
    if not files:
        merged.failures.append(UNREADABLE.because(f"{folder}: no {SUFFIX} files"))
    for file in files:
        try:
            table = tomllib.loads(file.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            merged.failures.append(UNREADABLE.because(f"{file.name}: {error}"))
            continue
        _merge(merged, merged.tree, table, file=file.name, path=())
    return merged


def _merge(merged, into, table, *, file, path):
    """Merge tables key by key; any other value replaces the earlier one whole."""
    for key, value in table.items():
        here = (*path, key)
        if isinstance(value, dict):
            existing = into.get(key)
            if existing is not None and not isinstance(existing, dict):
                _replaced(merged, here, file=file)
                existing = None
            if existing is None:
                existing = into[key] = {}
            _merge(merged, existing, value, file=file, path=here)
            if not value:
                merged.file_by_key[here] = file
            continue
        if key in into:
            _replaced(merged, here, file=file)
        into[key] = value
        merged.file_by_key[here] = file


def _replaced(merged, path, *, file):
    """Remember whose values a file overrides, at a key and below it."""
    beaten = [key for key in merged.file_by_key if key[: len(path)] == path]
    for key in beaten:
        earlier = merged.file_by_key.pop(key)
        merged.overridden_by_key.setdefault(path, []).append(earlier)
