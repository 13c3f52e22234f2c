"""Revisions of a store that may be restored from a copy.

The store counts its transactions by revisions. After a restore it gives out again the
revisions that the copy lacks, so that they are ordered within one era only: the span
between two restores. A revision of this package is one integer that contains both; its
high-order part is the era. All modules compare revisions through the functions here.
"""

from hawthornspoke.base import Failure
from hawthornspoke.fields import MAX_EXACT_INT

#: Era of a store that doesn't state any.
UNKNOWN_ERA = 0

#: Answers in a row with an earlier era, to queries that were sent in the current one,
#: after which the store's era counts as unusable.
MAX_OUTDATED_ANSWERS = 3

#: Maximum characters of an unusable era in a log line.
MAX_LOGGED_LENGTH = 40

#: The answer is of an era before the current one.
OUTDATED_ERA = Failure(code="outdated_era")

_ERA_STEP = 2**64


def make_revision(era, number):
    """Return a revision.

    Parameters
    ----------
    era, number : int
        Number of the era, and of the transaction within it.

    Returns
    -------
    int
    """
    return era * _ERA_STEP + number


def era_of(revision):
    """Return the era of a revision."""
    return revision // _ERA_STEP


def number_of(revision):
    """Return the number of a revision's transaction within its era."""
    return revision % _ERA_STEP


def is_newer(revision, other):
    """Return whether a revision is of a later transaction than another one."""
    return revision > other


def is_newer_in_era(revision, other):
    """Return whether a revision of the same era is of a later transaction."""
    return era_of(revision) == era_of(other) and revision > other


def newest(*revisions):
    """Return the revision of the latest transaction."""
    return max(revisions)


def oldest(*revisions):
    """Return the revision of the earliest transaction."""
    return min(revisions)


def in_order(rows):
    """Return a list of rows, those of earlier transactions first."""
    return sorted(rows, key=lambda row: row.revision)


class EraTracker:
    """Determines to which era of the store an answer belongs.

    Answers may overtake each other, so one of an earlier era is refused. A store whose
    era is missing, unusable or goes back for good is taken to be in the current era.

    Attributes
    ----------
    log : EventLog or None
        Set after the process has created it.
    metrics : Metrics or None
        Set like the log.
    era : int
        The newest era that any answer has named.
    is_usable : bool
        Whether the last answer named an era that can be used.
    """

    __slots__ = ("log", "metrics", "era", "is_usable", "_outdated_answers")

    def __init__(self):
        self.log = self.metrics = None
        self.era = UNKNOWN_ERA
        self.is_usable = True
        self._outdated_answers = 0

    def observe(self, value, *, asked_in):
        """Record the era that an answer of the store names.

        Parameters
        ----------
        value : str or None
            As in the answer.
        asked_in : int
            Era known when the query was sent.

        Returns
        -------
        int or Failure
            Era of the answer; ``OUTDATED_ERA`` if the answer must not be used.
        """
        named = _parse_era(value)
        if named is not None and named >= self.era:
            self.is_usable = True
            self._outdated_answers = 0
            self._advance(named, "store")
            return named
        if named is None:
            # Many stores name no era at all.
            if value is not None or self.era != UNKNOWN_ERA:
                self._set_unusable(value)
            return self.era
        # Only a query that was sent in the current era shows that the store itself has
        # gone back; any other answer may just be late.
        self._outdated_answers += asked_in == self.era
        if self._outdated_answers < MAX_OUTDATED_ANSWERS:
            self._log("store_answer_outdated", named=named)
            return OUTDATED_ERA.with_reason(f"era {named} after {self.era}")
        self._set_unusable(value)
        return self.era

    def learn(self, era):
        """Record an era that another host has seen.

        Parameters
        ----------
        era : int
        """
        if era > self.era:
            self._outdated_answers = 0
            self._advance(era, "neighbour")

    def _advance(self, era, source):
        before, self.era = self.era, era
        if era == before:
            return
        self._log("store_era", before=before, source=source)
        if self.metrics is not None:
            self.metrics.count("store_era_changes_total")

    def _set_unusable(self, value):
        if self.is_usable:
            self._log("store_era_unusable", value=str(value)[:MAX_LOGGED_LENGTH])
        self.is_usable = False

    def _log(self, event, **fields):
        if self.log is not None:
            self.log.change(event, era=self.era, **fields)


def _parse_era(value):
    """Return the number that a field states, None if it is missing or unusable."""
    if value is None or not value.isascii() or not value.isdecimal():
        return None
    if len(value) > len(str(MAX_EXACT_INT)):
        return None
    era = int(value)
    return era if era <= MAX_EXACT_INT else None
