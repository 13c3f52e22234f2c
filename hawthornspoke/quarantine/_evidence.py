"""Evidence of which requests were running at endpoints when these ended.

The end of an endpoint is the exit of its process, usually by a crash.
"""

from dataclasses import dataclass

#: Lifetime of evidence in seconds.
EVIDENCE_LIFETIME = 900.0

#: Maximum number of requests with evidence, and of endpoint ends recorded for each:
#: of those it may have caused, and of those it is known not to have caused.
MAX_REQUESTS = 512
MAX_ENDS_PER_REQUEST = 8


@dataclass(slots=True, kw_only=True, frozen=True)
class Evidence:
    """A request was running at an endpoint when the endpoint ended.

    Parameters
    ----------
    fingerprint : str
        Of the request.
    incarnation_id : str
        Id of one incarnation (process run) of the endpoint: the endpoint's id, and the
        start time of the process if it is known.
    deadline : float
        Expiry on the monotonic clock.
    cleared : bool, default=False
        Whether the request is known not to have caused this end.
    """

    fingerprint: str
    incarnation_id: str
    deadline: float
    cleared: bool = False


class EvidenceStore:
    """Bounded store of evidence, by request and endpoint incarnation.

    Stores of several processes converge once they have exchanged their items, in any
    order: adding an item is idempotent, and a cleared item stays cleared.
    """

    __slots__ = ("_items_by_fingerprint",)

    def __init__(self):
        self._items_by_fingerprint = {}

    def add(self, item, *, now):
        """Add an item.

        Parameters
        ----------
        item : Evidence
        now : float

        Returns
        -------
        bool
            Whether the store changed.
        """
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
        if len(alike) >= MAX_ENDS_PER_REQUEST:
            if not item.cleared:
                return False
            del item_by_incarnation[alike[0]]
        item_by_incarnation[item.incarnation_id] = item
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
        return frozenset(
            item.incarnation_id
            for item in self.items_of(fingerprint, now=now)
            if not item.cleared
        )

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

    def fingerprints(self):
        """Return the requests with evidence, latest last."""
        return list(self._items_by_fingerprint)

    def sweep(self, *, now):
        """Remove expired evidence."""
        for fingerprint in self.fingerprints():
            if not self.items_of(fingerprint, now=now):
                del self._items_by_fingerprint[fingerprint]

    def __contains__(self, fingerprint):
        return fingerprint in self._items_by_fingerprint

    def __len__(self):
        return len(self._items_by_fingerprint)

    def _evict(self):
        by_fingerprint = self._items_by_fingerprint
        if len(by_fingerprint) <= MAX_REQUESTS:
            return
        # Many requests run alongside one that crashes endpoints. Most of them have
        # evidence of one end only, and together they must not evict the cause, which
        # has evidence of several.
        oldest = next(iter(by_fingerprint))
        seen_at_one_end = (
            name for name, items in by_fingerprint.items() if len(items) == 1
        )
        del by_fingerprint[next(seen_at_one_end, oldest)]
