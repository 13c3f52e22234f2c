"""Acceptance of a folder of declarations as the next revision."""

import time
import uuid
from dataclasses import dataclass

from hawthornspoke.base import is_failure, monotonic, wall_time
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
    diff_documents,
    read_in_force,
)
from hawthornspoke.store import CONFLICT, NOT_FOUND, WRITE_UNCONFIRMED, Condition

HISTORY_PREFIX = "history#"

#: Number of reads of the table to find out whether a write whose response was lost has
#: succeeded.
READ_BACK_TRIES = 5

#: Seconds between these reads, and between reads of the fleet's status.
POLL_INTERVAL = 0.2


@dataclass(slots=True, kw_only=True, frozen=True)
class ApplyAccepted:
    """The folder was accepted, or is the current configuration already.

    Parameters
    ----------
    revision : int
        The accepted or current revision.
    digest : str
        Digest of the configuration document.
    changed : bool
        False if the folder is the current configuration already.
    """

    revision: int
    digest: str
    changed: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class ApplyConflict:
    """The folder was not accepted, as another revision was accepted before it.

    Parameters
    ----------
    row : dict
        Table row of the accepted revision, with its author.
    lines : list of str
        Differences between that revision and the folder.
    """

    row: dict
    lines: list


@dataclass(slots=True, kw_only=True, frozen=True)
class ApplyOutcomeUnknown:
    """It is unknown whether the folder was accepted.

    Parameters
    ----------
    token : str
        Random identifier of the write; it is in the history if the write succeeded.
    """

    token: str


def apply_folder(folder, *, clients, author, base=None):
    """Validate a folder, pin its versions of weights and accept it as next revision.

    Parameters
    ----------
    folder : pathlib.Path
    clients : PlatformClients
    author : str
        Stored with the revision and shown to operators whose write conflicts with it.
    base : int or None, default=None
        Revision on which the folder is based; if another one is current, the result
        is ``ApplyConflict``. None for whichever is current.

    Returns
    -------
    ApplyAccepted, ApplyConflict, ApplyOutcomeUnknown, list of Failure, or Failure
        A list of failures if the folder is invalid.
    """
    declarations = load_folder(folder)
    failures = check_declarations(declarations)
    if failures:
        return failures
    in_force = read_in_force(clients)
    if is_failure(in_force):
        return in_force
    row, old_document = in_force
    digest_by_source = pin_sources(declarations.tree, clients)
    if is_failure(digest_by_source) or isinstance(digest_by_source, list):
        return digest_by_source
    document = build_document(
        tree=declarations.tree, digest_by_source=digest_by_source, previous=old_document
    )
    revision = row.get("revision", 0)
    if base is not None and base != revision:
        return ApplyConflict(row=row, lines=diff_documents(old_document, document))
    if _without_previous(document) == _without_previous(old_document):
        return ApplyAccepted(revision=revision, digest=row["digest"], changed=False)
    return _accept(clients, row, document, author)


def wait_until_in_force(*, clients, revision, deadline, report):
    """Wait until a revision is in force on every host of the host list.

    Parameters
    ----------
    clients : PlatformClients
    revision : int
    deadline : float
        On the monotonic clock.
    report : callable
        Called with each line of progress.

    Returns
    -------
    list of str or Failure
        Hosts on which it isn't in force at the deadline, each with the reason.
    """
    while True:
        fleet = read_fleet(clients)
        if is_failure(fleet):
            return fleet
        behind = [
            f"{item.host} ({_behind_reason(item)})"
            for item in fleet
            if item.status is None or (item.status.in_force or 0) < revision
        ]
        report(
            f"{len(fleet) - len(behind)} of {len(fleet)} hosts at revision {revision}"
        )
        if not behind or monotonic() >= deadline:
            return behind
        _sleep()


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
        "accepted_at": int(wall_time()),
    }
    condition = Condition(absent=True)
    if row:
        condition = Condition(
            equals={"revision": row["revision"], "token": row["token"]}
        )
    history_key = f"{HISTORY_PREFIX}{revision}"
    outcome = clients.table.transact_put(
        [
            ({"pk": CONFIG_KEY, **new_row}, condition),
            ({"pk": history_key, **new_row}, Condition(absent=True)),
        ]
    )
    if not is_failure(outcome):
        return ApplyAccepted(revision=revision, digest=digest, changed=True)
    if outcome == WRITE_UNCONFIRMED or outcome == CONFLICT:
        return _read_back(clients, new_row, document)
    return outcome


def _read_back(clients, new_row, document):
    """Look for an unconfirmed or rejected write's token, to see if it succeeded."""
    history_key = f"{HISTORY_PREFIX}{new_row['revision']}"
    for _ in range(READ_BACK_TRIES):
        written = clients.table.get(history_key)
        if written == NOT_FOUND:
            # The request may still be in transit, so a missing row doesn't prove that
            # the write failed.
            _sleep()
            continue
        if is_failure(written):
            _sleep()
            continue
        if written["token"] == new_row["token"]:
            return ApplyAccepted(
                revision=new_row["revision"], digest=new_row["digest"], changed=True
            )
        return _make_conflict(clients, document)
    return ApplyOutcomeUnknown(token=new_row["token"])


def _make_conflict(clients, document):
    in_force = read_in_force(clients)
    if is_failure(in_force):
        return in_force
    row, old_document = in_force
    return ApplyConflict(row=row, lines=diff_documents(old_document, document))


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


def _behind_reason(item):
    if item.status is None:
        return item.problem
    return f"at revision {item.status.in_force or 0}"


def _sleep():
    time.sleep(POLL_INTERVAL)
