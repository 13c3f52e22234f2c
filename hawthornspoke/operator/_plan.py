"""Changes that accepting a folder would make, and the file that sets each key."""

from hawthornspoke.base import is_failure
from hawthornspoke.config import (
    build_document,
    check_declarations,
    load_folder,
    unpack_document,
)
from hawthornspoke.operator._pin import pin_sources
from hawthornspoke.store import NOT_FOUND

CONFIG_KEY = "config"
DOCUMENT_PREFIX = "documents/"


def read_in_force(clients):
    """Return the table row of the accepted revision and its document.

    Parameters
    ----------
    clients : PlatformClients

    Returns
    -------
    tuple of (dict, dict) or Failure
        An empty row and document if no revision has been accepted.
    """
    row = clients.table.get(CONFIG_KEY)
    if row == NOT_FOUND:
        return {}, {}
    if is_failure(row):
        return row
    data = clients.objects.get(DOCUMENT_PREFIX + row["digest"])
    if is_failure(data):
        return data
    document = unpack_document(data, digest=row["digest"])
    return document if is_failure(document) else (row, document)


def flatten_tree(tree, path=()):
    """Return the leaf values of nested tables by key path.

    Parameters
    ----------
    tree : dict
    path : tuple of str, default=()
        Prefix of the key paths.

    Returns
    -------
    dict of tuple of str to object
    """
    leaves = {}
    for key, value in tree.items():
        key_path = (*path, key)
        if isinstance(value, dict) and value:
            leaves.update(flatten_tree(value, key_path))
        else:
            leaves[key_path] = value
    return leaves


def diff_documents(old_document, new_document):
    """Return the differences between two configuration documents.

    Parameters
    ----------
    old_document, new_document : dict

    Returns
    -------
    list of str
        One line per key: ``+`` added, ``-`` removed, ``~`` changed.
    """
    old, new = flatten_tree(old_document), flatten_tree(new_document)
    lines = []
    for path in sorted(set(old) | set(new)):
        name = ".".join(path)
        if path not in old:
            lines.append(f"+ {name} = {_abbreviate(new[path])}")
        elif path not in new:
            lines.append(f"- {name} = {_abbreviate(old[path])}")
        elif old[path] != new[path]:
            lines.append(
                f"~ {name}: {_abbreviate(old[path])} -> {_abbreviate(new[path])}"
            )
    return lines


def describe_key_sources(folder):
    """Return the file that sets each key of a folder, and the files it overrides.

    Parameters
    ----------
    folder : pathlib.Path

    Returns
    -------
    list of str
    """
    declarations = load_folder(folder)
    lines = []
    for path, file in sorted(declarations.file_by_key.items()):
        line = f"{'.'.join(path)}  <- {file}"
        overridden = declarations.overridden_by_key.get(path)
        if overridden:
            line += f" (over {', '.join(overridden)})"
        lines.append(line)
    return lines


def _abbreviate(value):
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class InvalidPlan:
    """The folder is invalid.

    Parameters
    ----------
    failures : list of Failure
    """

    __slots__ = ("failures",)

    def __init__(self, *, failures):
        self.failures = failures


def plan_changes(folder, clients):
    """Return the changes that accepting a folder would make.

    Parameters
    ----------
    folder : pathlib.Path
    clients : PlatformClients

    Returns
    -------
    list of str, InvalidPlan or Failure
    """
    declarations = load_folder(folder)
    failures = check_declarations(declarations)
    if failures:
        return InvalidPlan(failures=failures)
    in_force = read_in_force(clients)
    if is_failure(in_force):
        return in_force
    _, old_document = in_force
    pinned = pin_sources(declarations.tree, clients)
    if isinstance(pinned, list):
        return InvalidPlan(failures=pinned)
    if is_failure(pinned):
        return pinned
    new_document = build_document(
        tree=declarations.tree, digest_by_source=pinned, previous=old_document
    )
    return diff_documents(old_document, new_document)
