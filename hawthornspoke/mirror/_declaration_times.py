"""Encoding of the rows that record when versions of weights were declared."""

import json

from hawthornspoke import fields
from hawthornspoke.mirror._revision import (
    era_of,
    is_newer,
    make_revision,
    number_of,
)

#: Name of the table. Rows are keyed by model, so that the number of rows is bounded by
#: the number of models, however many versions are declared.
RECORD_TABLE = "declared-weights"

#: Maximum number of versions in a row. Times of older ones have no effect once requests
#: may start only on the newest.
MAX_VERSIONS = 4

#: Milliseconds in a second.
MS = 1000


class DeclarationTime:
    """Lower bound on the time at which a version was declared.

    Parameters
    ----------
    version : int
    revision : int
        Revision of the transaction that declared it; the time is on the platform's
        clock in the era of this revision.
    not_before : float
        Seconds on the platform's clock.
    """

    __slots__ = ("version", "revision", "not_before")

    def __init__(self, *, version, revision, not_before):
        self.version = version
        self.revision = revision
        self.not_before = not_before


def encode_record(declaration_times):
    """Encode the data of a row.

    Parameters
    ----------
    declaration_times : list of DeclarationTime
        The oldest version first.

    Returns
    -------
    bytes
    """
    items = [
        {
            "version": declaration_time.version,
            "revision": number_of(declaration_time.revision),
            "era": era_of(declaration_time.revision),
            # Rounded down, so that it remains a lower bound.
            "not_before_ms": int(declaration_time.not_before * MS),
        }
        for declaration_time in declaration_times
    ]
    return json.dumps({"versions": items}).encode()


def decode_record(row, *, made_at):
    """Decode a row and validate its declaration times.

    Any client of the platform may have written the row. A time that is too late would
    let requests start on old weights for longer than permitted. So the whole row is
    rejected if it has a time later than the answer that contains it, or records a
    declaration that was made after the row was written. Times of an earlier era are
    left out: the store's clock and revisions may have gone back since.

    Parameters
    ----------
    row : Row
    made_at : float or None
        When the platform made the answer with the row, in seconds on its own clock.

    Returns
    -------
    list of DeclarationTime or Failure
        The oldest version first.
    """
    if row.data is None:
        return []
    if made_at is None:
        return fields.UNUSABLE.with_reason("the platform's answer has no time")
    declaration_times = _decode(row.data, era_of(row.revision))
    if not isinstance(declaration_times, list):
        return declaration_times
    declaration_times = [
        item
        for item in declaration_times
        if era_of(item.revision) == era_of(row.revision)
    ]
    previous = None
    for declaration_time in declaration_times:
        if declaration_time.not_before > made_at or not is_newer(
            row.revision, declaration_time.revision
        ):
            return fields.UNUSABLE.with_reason(
                f"version {declaration_time.version}: declared in the future"
            )
        if previous is not None and not _is_after(declaration_time, previous):
            return fields.UNUSABLE.with_reason(
                f"version {declaration_time.version}: not in order of declaration"
            )
        previous = declaration_time
    return declaration_times


def add_declaration_time(declaration_times, added):
    """Return declaration times with that of a newer version appended.

    Parameters
    ----------
    declaration_times : list of DeclarationTime
        The oldest version first.
    added : DeclarationTime

    Returns
    -------
    list of DeclarationTime
    """
    older = [
        item
        for item in declaration_times
        if item.version < added.version and is_newer(added.revision, item.revision)
    ]
    if older:
        # A newer version was not declared before an older one.
        added = DeclarationTime(
            version=added.version,
            revision=added.revision,
            not_before=max(added.not_before, older[-1].not_before),
        )
    return [*older, added][-MAX_VERSIONS:]


@fields.failure_on_field_error
def _decode(data, era):
    tree = fields.parse_object(data)
    return [
        DeclarationTime(
            version=fields.whole_number(
                item, "version", low=1, high=fields.MAX_EXACT_INT
            ),
            revision=make_revision(
                # Earlier builds don't write the era.
                fields.whole_number(item, "era", era, high=fields.MAX_EXACT_INT),
                fields.whole_number(item, "revision", high=fields.MAX_EXACT_INT),
            ),
            not_before=fields.number(item, "not_before_ms") / MS,
        )
        for item in fields.children(tree, "versions")
    ]


def _is_after(declaration_time, previous):
    return (
        declaration_time.version > previous.version
        and is_newer(declaration_time.revision, previous.revision)
        and declaration_time.not_before >= previous.not_before
    )
