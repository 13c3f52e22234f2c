"""Accept a folder as the next revision."""

import time
import uuid
from dataclasses import dataclass

from hawthornspoke.base import is_failure, monotonic, wall
from hawthornspoke.config import (
    build_document,
    check_declarations,
    document_digest,
    load_folder,
    pack_document,
)
from hawthornspoke.operator._fleet import read_fleet
from hawthornspoke.operator._pin import pin_sources
from hawthornspoke.operator._plan import (
    CONFIG_KEY,
    DOCUMENT_PREFIX,
    differences,
    read_in_force,
)
from hawthornspoke.store import CONFLICT, NOT_FOUND, UNSURE, Condition

HISTORY_PREFIX = "history#"

#: Times that a lost answer is read back, and seconds between.
READ_BACK_TRIES = 5
WAIT_POLL = 0.2


@dataclass(slots=True, kw_only=True, frozen=True)
class Accepted:
    """The folder is the configuration now.

    Parameters
    ----------
    revision : int
    digest : str
    changed : bool
        False if it was in force already.
    """

    revision: int
    digest: str
    changed: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class ApplyRaced:
    """Another operator was first; nothing was written.

    Parameters
    ----------
    row : dict
        What is accepted now, and by whom.
    lines : list of str
        What differs between that and the folder.
    """

    row: dict
    lines: list


@dataclass(slots=True, kw_only=True, frozen=True)
class ApplyLost:
    """It is not known whether the folder was accepted.

    Parameters
    ----------
    token : str
        Names the write in the history, if it was made.
    """

    token: str


def apply_folder(folder, *, clients, author, base=None):
    """Check, pin and accept a folder.

    Parameters
    ----------
    folder : pathlib.Path
    clients : PlatformClients
    author : str
        Named to whoever loses a race against this write.
    base : int or None, default=None
        Revision that the folder was written for; None takes the one in force.

    Returns
    -------
    Accepted, ApplyRaced, ApplyLost, list of Failure, or Failure
        A list of failures if the folder can't be accepted as it is.
    """
    declarations = load_folder(folder)
    failures = check_declarations(declarations)
    if failures:
        return failures
    in_force = read_in_force(clients)
    if is_failure(in_force):
        return in_force
    row, before = in_force
    digest_by_source = pin_sources(declarations.tree, clients)
    if is_failure(digest_by_source) or isinstance(digest_by_source, list):
        return digest_by_source
    document = build_document(
        tree=declarations.tree, digest_by_source=digest_by_source, previous=before
    )
    revision = row.get("revision", 0)
    if base is not None and base != revision:
        return ApplyRaced(row=row, lines=differences(before, document))
    if _without_previous(document) == _without_previous(before):
        return Accepted(revision=revision, digest=row["digest"], changed=False)
    return _accept(clients, row, document, author)


def wait_in_force(*, clients, revision, deadline, report):
    """Wait until every host that can be reached acts on a revision.

    Parameters
    ----------
    clients : PlatformClients
    revision : int
    deadline : float
        On the monotonic clock.
    report : callable
        Takes a line of progress.

    Returns
    -------
    list of str or Failure
        Hosts that are not there yet, with the reason; empty when all are.
    """
    while True:
        fleet = read_fleet(clients)
        if is_failure(fleet):
            return fleet
        behind = [
            f"{item.host} ({_why(item)})"
            for item in fleet
            if item.status is None or (item.status.in_force or 0) < revision
        ]
        report(f"{len(fleet) - len(behind)} of {len(fleet)} hosts at {revision}")
        if not behind or monotonic() >= deadline:
            return behind
        _pause()


def _accept(clients, row, document, author):
    data = pack_document(document)
    digest = document_digest(data)
    stored = clients.objects.put(DOCUMENT_PREFIX + digest, data)
    if is_failure(stored):
        return stored
    token = uuid.uuid4().hex
    revision = row.get("revision", 0) + 1
    new_row = {
        "revision": revision,
        "digest": digest,
        "token": token,
        "author": author,
        "accepted_at": int(wall()),
    }
    condition = Condition(absent=True)
    if row:
        condition = Condition(
            equals={"revision": row["revision"], "token": row["token"]}
        )
    history_key = f"{HISTORY_PREFIX}{revision}"
    outcome = clients.table.put_all(
        [
            ({"pk": CONFIG_KEY, **new_row}, condition),
            ({"pk": history_key, **new_row}, Condition(absent=True)),
        ]
    )
    if not is_failure(outcome):
        return Accepted(revision=revision, digest=digest, changed=True)
    if outcome == UNSURE or outcome == CONFLICT:
        return _read_back(clients, new_row, document)
    return outcome


def _read_back(clients, new_row, document):
    """Find out by the writer's token what became of a write."""
    history_key = f"{HISTORY_PREFIX}{new_row['revision']}"
    for _ in range(READ_BACK_TRIES):
        written = clients.table.get(history_key)
        if written == NOT_FOUND:
            # Not written so far. The lost request may still be on its way, so
            # this is no proof that it never will be.
            _pause()
            continue
        if is_failure(written):
            _pause()
            continue
        if written["token"] == new_row["token"]:
            return Accepted(
                revision=new_row["revision"], digest=new_row["digest"], changed=True
            )
        return _raced(clients, document)
    return ApplyLost(token=new_row["token"])


def _raced(clients, document):
    in_force = read_in_force(clients)
    if is_failure(in_force):
        return in_force
    row, before = in_force
    return ApplyRaced(row=row, lines=differences(before, document))


def _without_previous(document):
    services = {
        name: {
            key: value
            for key, value in table.items()
            if key not in ("previous", "previous_adapters")
        }
        for name, table in document.get("services", {}).items()
    }
    return {**document, "services": services}


def _why(item):
    if item.status is None:
        return item.problem
    return f"at {item.status.in_force or 0}"


def _pause():
    time.sleep(WAIT_POLL)
