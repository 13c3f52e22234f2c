"""What a row of our own tells of the moments at which versions were declared."""

import json

from hawthornspoke import fields

#: The table of these rows. A row's key is the model, so that there are never more
#: rows than models, however many versions are declared.
RECORD_TABLE = "declared-weights"

#: Versions of a model that a row tells of. Older ones bind no longer than these do.
KEPT = 4

#: Milliseconds in a second.
MS = 1000


class Dating:
    """A moment before which a version was not declared.

    Parameters
    ----------
    version : int
    revision : int
        Of the transaction that declared it.
    not_before : float
        Seconds on the platform's own clock.
    """

    __slots__ = ("version", "revision", "not_before")

    def __init__(self, *, version, revision, not_before):
        self.version = version
        self.revision = revision
        self.not_before = not_before


def encode_record(datings):
    """Return a row's data.

    Parameters
    ----------
    datings : list of Dating
        The oldest version first.

    Returns
    -------
    bytes
    """
    items = [
        {
            "version": dating.version,
            "revision": dating.revision,
            # Cut to whole milliseconds, which makes the moment earlier.
            "not_before_ms": int(dating.not_before * MS),
        }
        for dating in datings
    ]
    return json.dumps({"versions": items}).encode()


def read_record(row, *, made_at):
    """Return what a row tells, if it can be true.

    Anyone who writes to the platform may have made the row. A moment that is later
    than the answer that holds it, or a row that is older than what it tells of, would
    give old weights time that nobody granted them; one would notice answers of theirs
    long after their bound. Where one of the moments can't be true, none is believed.

    Parameters
    ----------
    row : Row
    made_at : float or None
        When the platform made the answer with the row, on its own clock.

    Returns
    -------
    list of Dating or Failure
        The oldest version first.
    """
    if row.data is None:
        return []
    if made_at is None:
        return fields.UNUSABLE.because("the platform did not tell its time")
    datings = _decode(row.data)
    if not isinstance(datings, list):
        return datings
    before = None
    for dating in datings:
        if dating.not_before > made_at or dating.revision >= row.revision:
            return fields.UNUSABLE.because(f"version {dating.version}: in the future")
        if before is not None and not _follows(dating, before):
            return fields.UNUSABLE.because(f"version {dating.version}: out of order")
        before = dating
    return datings


def add_dating(datings, added):
    """Return datings with one more of a newer version.

    Parameters
    ----------
    datings : list of Dating
        The oldest version first.
    added : Dating

    Returns
    -------
    list of Dating
    """
    older = [
        item
        for item in datings
        if item.version < added.version and item.revision < added.revision
    ]
    if older:
        # What was not declared before the older one was not so before that moment.
        added = Dating(
            version=added.version,
            revision=added.revision,
            not_before=max(added.not_before, older[-1].not_before),
        )
    return [*older, added][-KEPT:]


@fields.as_value
def _decode(data):
    tree = fields.object_of(data)
    return [
        Dating(
            version=fields.whole_number(
                item, "version", low=1, high=fields.LARGEST_VERSION
            ),
            revision=fields.whole_number(item, "revision", high=fields.LARGEST_VERSION),
            not_before=fields.number(item, "not_before_ms") / MS,
        )
        for item in fields.children(tree, "versions")
    ]


def _follows(dating, before):
    return (
        dating.version > before.version
        and dating.revision > before.revision
        and dating.not_before >= before.not_before
    )
