"""Evidence of what was running at endpoints when these ended.

The end of an endpoint is the exit of its process, usually by a crash.
"""

from dataclasses import dataclass

from hawthornspoke.quarantine._features import kind_of
from hawthornspoke.quarantine._retrials import Retrial, RetrialLog

#: Lifetime of evidence in seconds.
EVIDENCE_LIFETIME = 900.0

#: Maximum number of features with evidence, and of endpoint ends recorded for each:
#: of those it may have caused, and of those it is known not to have caused. Shared
#: features have more, as many requests with one may run when it is recognized.
MAX_REQUESTS = 512
MAX_ENDS_PER_REQUEST = 8
MAX_ENDS_PER_SHARED_FEATURE = 32

#: Seconds for which an end counts as recent.
RECENT_TIME = 10.0

#: A full store evicts this part of its features at once, as it has to sort them.
EVICTED_PART = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class Evidence:
    """A request with a feature was running at an endpoint when the endpoint ended.

    Parameters
    ----------
    fingerprint : str
        Of the feature: the whole request, or something that requests share; see
        ``features_of``.
    incarnation_id : str
        Id of one incarnation (process run) of the endpoint: the endpoint's id, and the
        start time of the process if it is known.
    deadline : float
        Expiry on the monotonic clock.
    cleared : bool, default=False
        Whether the feature is known not to have caused this end.
    """

    fingerprint: str
    incarnation_id: str
    deadline: float
    cleared: bool = False

    @property
    def ended_at(self):
        """When the endpoint ended, on the monotonic clock of this process."""
        return self.deadline - EVIDENCE_LIFETIME


class EvidenceStore:
    """Bounded store of evidence, by request and endpoint incarnation.

    Stores of several processes converge once they have exchanged their items, in any
    order: adding an item is idempotent, and a cleared item stays cleared.

    Attributes
    ----------
    retrials : RetrialLog
    """

    __slots__ = ("retrials", "_items_by_fingerprint", "_ended_at_by_incarnation")

    def __init__(self):
        self.retrials = RetrialLog()
        self._items_by_fingerprint = {}
        self._ended_at_by_incarnation = {}

    def add(self, item, *, now):
        """Add an item.

        Parameters
        ----------
        item : Evidence or Retrial
        now : float

        Returns
        -------
        bool
            Whether the store changed.
        """
        if isinstance(item, Retrial):
            return self.retrials.add(item, now=now)
        if now >= item.deadline:
            return False
        item_by_incarnation = {
            known.incarnation_id: known
            for known in self.items_of(item.fingerprint, now=now)
        }
        known = item_by_incarnation.get(item.incarnation_id)
        if known is not None and (known.cleared or not item.cleared):
            return False
        alike = [
            incarnation_id
            for incarnation_id, other in item_by_incarnation.items()
            if other.cleared == item.cleared
        ]
        is_shared = kind_of(item.fingerprint).IS_SHARED
        limit = MAX_ENDS_PER_SHARED_FEATURE if is_shared else MAX_ENDS_PER_REQUEST
        if len(alike) >= limit:
            # Later ends, which other features have as well, must be explained too.
            del item_by_incarnation[alike[0]]
        item_by_incarnation[item.incarnation_id] = item
        self._ended_at_by_incarnation[item.incarnation_id] = min(
            item.ended_at,
            self._ended_at_by_incarnation.get(item.incarnation_id, float("inf")),
        )
        # Inserted again, so that requests are ordered by their latest evidence.
        self._items_by_fingerprint.pop(item.fingerprint, None)
        self._items_by_fingerprint[item.fingerprint] = item_by_incarnation
        self._evict()
        return True

    def items_of(self, fingerprint, *, now):
        """Return the evidence about a request.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        list of Evidence
        """
        item_by_incarnation = self._items_by_fingerprint.get(fingerprint)
        if item_by_incarnation is None:
            return []
        return [item for item in item_by_incarnation.values() if now < item.deadline]

    def ended_at_by_incarnation(self, fingerprint, *, now):
        """Return when the endpoints ended that a feature may have crashed.

        Evidence that another process sent ages on its way, so the earliest time known
        of an end is the best one.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        dict of str to float
        """
        return {
            item.incarnation_id: self._ended_at_by_incarnation[item.incarnation_id]
            for item in self.items_of(fingerprint, now=now)
            if not item.cleared
        }

    def suspected_incarnations(self, fingerprint, *, now):
        """Return the endpoint incarnations that a request may have crashed.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        frozenset of str
        """
        return frozenset(self.ended_at_by_incarnation(fingerprint, now=now))

    def incarnations(self):
        """Return all endpoint incarnations that have ended, cleared or not.

        Returns
        -------
        set of str
        """
        return {
            incarnation_id
            for items in self._items_by_fingerprint.values()
            for incarnation_id in items
        }

    def recent_incarnations(self, *, now):
        """Return the incarnations that ended not long ago, cleared or not.

        Parameters
        ----------
        now : float

        Returns
        -------
        set of str
        """
        return {
            incarnation_id
            for incarnation_id, ended_at in self._ended_at_by_incarnation.items()
            if now < ended_at + RECENT_TIME
        }

    def fingerprints(self):
        """Return the requests with evidence, latest last."""
        return list(self._items_by_fingerprint)

    def sweep(self, *, now):
        """Remove expired evidence."""
        for fingerprint in self.fingerprints():
            if not self.items_of(fingerprint, now=now):
                del self._items_by_fingerprint[fingerprint]
        self._forget_ends()

    def __contains__(self, fingerprint):
        return fingerprint in self._items_by_fingerprint

    def __len__(self):
        return len(self._items_by_fingerprint)

    def _evict(self):
        by_fingerprint = self._items_by_fingerprint
        if len(by_fingerprint) <= MAX_REQUESTS:
            return
        # Many requests run alongside one that crashes endpoints, and a caller may name
        # any number of parts. Most of these features have evidence of one end only,
        # and together they must not evict the cause, which has evidence of several.
        # The sort is stable: the oldest ones go first.
        by_suspicion = sorted(by_fingerprint, key=self._uncleared_count)
        for name in by_suspicion[: MAX_REQUESTS // EVICTED_PART]:
            del by_fingerprint[name]
        self._forget_ends()

    def _forget_ends(self):
        """Forget the times of ends that no evidence refers to any more."""
        known = self.incarnations()
        for incarnation_id in self._ended_at_by_incarnation.keys() - known:
            del self._ended_at_by_incarnation[incarnation_id]

    def _uncleared_count(self, fingerprint):
        items = self._items_by_fingerprint[fingerprint].values()
        return sum(not item.cleared for item in items)
