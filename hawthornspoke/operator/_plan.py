"""What a folder would change, and which file decides each key."""

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
    """Return the accepted row and its document.

    Parameters
    ----------
    clients : PlatformClients

    Returns
    -------
    tuple of (dict, dict) or Failure
        An empty row and document if nothing was ever accepted.
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


def flatten(tree, path=()):
    """Return the leaves of nested tables by key path.

    Parameters
    ----------
    tree : dict
    path : tuple of str, default=()

    Returns
    -------
    dict of tuple of str to object
    """
    leaves = {}
    for key, value in tree.items():
        here = (*path, key)
        if isinstance(value, dict) and value:
            leaves.update(flatten(value, here))
        else:
            leaves[here] = value
    return leaves


def differences(before, after):
    """Return what differs between two documents.

    Parameters
    ----------
    before, after : dict

    Returns
    -------
    list of str
        One line a key: ``+`` new, ``-`` gone, ``~`` changed.
    """
    old, new = flatten(before), flatten(after)
    lines = []
    for path in sorted(set(old) | set(new)):
        name = ".".join(path)
        if path not in old:
            lines.append(f"+ {name} = {_short(new[path])}")
        elif path not in new:
            lines.append(f"- {name} = {_short(old[path])}")
        elif old[path] != new[path]:
            lines.append(f"~ {name}: {_short(old[path])} -> {_short(new[path])}")
    return lines


def folder_plan(folder):
    """Return which file decides each key of a folder.

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
        beaten = declarations.overridden_by_key.get(path)
        if beaten:
            line += f" (over {', '.join(beaten)})"
        lines.append(line)
    return lines


def _short(value):
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class PlanRefused:
    """A folder that could not be accepted as it is.

    Parameters
    ----------
    failures : list of Failure
    """

    __slots__ = ("failures",)

    def __init__(self, *, failures):
        self.failures = failures


def plan_changes(folder, clients):
    """Return what accepting a folder would change.

    Parameters
    ----------
    folder : pathlib.Path
    clients : PlatformClients

    Returns
    -------
    list of str, PlanRefused or Failure
    """
    declarations = load_folder(folder)
    failures = check_declarations(declarations)
    if failures:
        return PlanRefused(failures=failures)
    in_force = read_in_force(clients)
    if is_failure(in_force):
        return in_force
    _, before = in_force
    pinned = pin_sources(declarations.tree, clients)
    if isinstance(pinned, list):
        return PlanRefused(failures=pinned)
    if is_failure(pinned):
        return pinned
    after = build_document(
        tree=declarations.tree, digest_by_source=pinned, previous=before
    )
    return differences(before, after)
