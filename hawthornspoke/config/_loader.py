"""Loading and merging of a folder of TOML files."""

import tomllib

from hawthornspoke.base import Failure

UNREADABLE = Failure(code="unreadable")

SUFFIX = ".toml"


class Declarations:
    """The merged declarations of a folder.

    Parameters
    ----------
    tree : dict
        Nested tables; values of later files override those of earlier ones.
    file_by_key : dict of tuple of str to str
        Name of the file whose value is used, for the key path of each leaf.
    overridden_by_key : dict of tuple of str to list of str
        Files whose value of a key was overridden, in order.
    failures : list of Failure
        Files that could not be read or parsed.
    """

    __slots__ = ("tree", "file_by_key", "overridden_by_key", "failures")

    def __init__(self, *, tree, file_by_key, overridden_by_key, failures):
        self.tree = tree
        self.file_by_key = file_by_key
        self.overridden_by_key = overridden_by_key
        self.failures = failures

    def file_of(self, path):
        """Return the file that sets a key, or its nearest table if the key is missing.

        Parameters
        ----------
        path : tuple of str

        Returns
        -------
        str
        """
        for length in range(len(path), 0, -1):
            # No file sets a missing key, but one may set other keys of its table.
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
        With a failure for each file that can't be read or parsed.
    """
    merged = Declarations(tree={}, file_by_key={}, overridden_by_key={}, failures=[])
    if not folder.is_dir():
        merged.failures.append(UNREADABLE.with_reason(f"{folder}: not a folder"))
        return merged
    files = [file for file in folder.iterdir() if file.name.endswith(SUFFIX)]
    files.sort(key=lambda file: file.name)
    if not files:
        merged.failures.append(UNREADABLE.with_reason(f"{folder}: no {SUFFIX} files"))
    for file in files:
        try:
            table = tomllib.loads(file.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            merged.failures.append(UNREADABLE.with_reason(f"{file.name}: {error}"))
            continue
        _merge(merged, merged.tree, table, file=file.name, path=())
    return merged


def _merge(merged, target, table, *, file, path):
    """Merge tables recursively; a value that isn't a table replaces the earlier one."""
    for key, value in table.items():
        key_path = (*path, key)
        if isinstance(value, dict):
            existing = target.get(key)
            if existing is not None and not isinstance(existing, dict):
                _record_override(merged, key_path, file=file)
                existing = None
            if existing is None:
                existing = target[key] = {}
            _merge(merged, existing, value, file=file, path=key_path)
            if not value:
                merged.file_by_key[key_path] = file
            continue
        if key in target:
            _record_override(merged, key_path, file=file)
        target[key] = value
        merged.file_by_key[key_path] = file


def _record_override(merged, path, *, file):
    """Record the files whose values at or below a key are overridden."""
    overridden = [key for key in merged.file_by_key if key[: len(path)] == path]
    for key in overridden:
        overridden_file = merged.file_by_key.pop(key)
        merged.overridden_by_key.setdefault(path, []).append(overridden_file)
