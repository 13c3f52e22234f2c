"""Messages and exit codes of ``hawthornspoke apply``."""

import sys

from hawthornspoke.base import is_failure, monotonic
from hawthornspoke.cli import _exit_codes as codes
from hawthornspoke.operator import (
    ApplyAccepted,
    ApplyConflict,
    ApplyOutcomeUnknown,
    apply_folder,
    wait_until_in_force,
)


def run_apply(folder, clients, author, base, wait):
    """Apply a folder and print the outcome.

    Parameters
    ----------
    folder : pathlib.Path
    clients : PlatformClients
    author : str
    base : int or None
    wait : float
        Maximum time in seconds to wait until the revision is in force on all hosts;
        0 doesn't wait.

    Returns
    -------
    int
        Exit code.
    """
    outcome = apply_folder(folder, clients=clients, author=author, base=base)
    if isinstance(outcome, list):
        for failure in outcome:
            print(failure.reason, file=sys.stderr)
        return codes.FAILED
    if isinstance(outcome, ApplyConflict):
        return _print_conflict(outcome)
    if isinstance(outcome, ApplyOutcomeUnknown):
        print(
            "the table's response was lost and can't be read back; look for token "
            f"{outcome.token} in `hawthornspoke history` before applying again",
            file=sys.stderr,
        )
        return codes.OUTCOME_UNKNOWN
    if is_failure(outcome):
        print(f"hawthornspoke: platform: {outcome.reason}", file=sys.stderr)
        return codes.PLATFORM_UNAVAILABLE
    return _print_accepted(outcome, clients, wait)


def _print_conflict(outcome):
    row = outcome.row
    print(
        f"not accepted: revision {row.get('revision', 0)} by "
        f"{row.get('author', 'nobody')} was first; it differs from this folder in:",
        file=sys.stderr,
    )
    for line in outcome.lines:
        print(line, file=sys.stderr)
    return codes.REVISION_CONFLICT


def _print_accepted(outcome, clients, wait):
    assert isinstance(outcome, ApplyAccepted)
    state = "accepted" if outcome.changed else "is already in force"
    print(f"revision {outcome.revision} {state}, document {outcome.digest[:12]}")
    if not wait:
        return codes.OK
    behind = wait_until_in_force(
        clients=clients,
        revision=outcome.revision,
        deadline=monotonic() + wait,
        report=print,
    )
    if is_failure(behind):
        print(f"hawthornspoke: platform: {behind.reason}", file=sys.stderr)
        return codes.PLATFORM_UNAVAILABLE
    if behind:
        print("not yet in force on: " + ", ".join(behind), file=sys.stderr)
        return codes.NOT_IN_FORCE
    print("in force on every listed host")
    return codes.OK
