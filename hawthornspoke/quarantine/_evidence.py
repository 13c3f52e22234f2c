"""Which requests ran at which endpoints that ended: a set that only grows together."""

from dataclasses import dataclass

#: Seconds for which evidence holds.
EVIDENCE_FOR = 900.0

#: Requests of which evidence is kept, and ends of endpoints for each.
MOST_REQUESTS = 512
MOST_ENDS = 8


@dataclass(slots=True, kw_only=True, frozen=True)
class Evidence:
    """A request was being run by an endpoint when that ended.

    Parameters
    ----------
    fingerprint : str
        Of the request.
    start : str
        Of the endpoint: its id, with the time of this start if that is known.
    deadline : float
        Until when it holds, on the steady clock.
    cleared : bool, default=False
        Whether the request is known not to be the cause.
    """

    fingerprint: str
    start: str
    deadline: float
    cleared: bool = False


class EvidenceBook:
    """Evidence by request and endpoint, bounded.

    Books of several processes agree once they have told each other what they hold,
    in any order: an item is added once, and one that was cleared stays so.
    """

    __slots__ = ("_item_by_start_by_fingerprint",)

    def __init__(self):
        self._item_by_start_by_fingerprint = {}

    def add(self, item, *, now):
        """Take an item.

        Parameters
        ----------
        item : Evidence
        now : float

        Returns
        -------
        bool
            Whether it tells anything new.
        """
        if now >= item.deadline:
            return False
        item_by_start = {
            known.start: known for known in self.of(item.fingerprint, now=now)
        }
        known = item_by_start.get(item.start)
        if known is not None and (known.cleared or not item.cleared):
            return False
        if known is None and len(item_by_start) >= MOST_ENDS:
            return False
        item_by_start[item.start] = item
        # The request with the newest evidence stands last.
        self._item_by_start_by_fingerprint.pop(item.fingerprint, None)
        self._item_by_start_by_fingerprint[item.fingerprint] = item_by_start
        self._shrink()
        return True

    def of(self, fingerprint, *, now):
        """Return what is held of a request.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        list of Evidence
        """
        item_by_start = self._item_by_start_by_fingerprint.get(fingerprint)
        if item_by_start is None:
            return []
        return [item for item in item_by_start.values() if now < item.deadline]

    def suspected(self, fingerprint, *, now):
        """Return the starts of endpoints that a request may have ended.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        frozenset of str
        """
        return frozenset(
            item.start for item in self.of(fingerprint, now=now) if not item.cleared
        )

    def fingerprints(self):
        """Return the requests of which there is evidence, the newest last."""
        return list(self._item_by_start_by_fingerprint)

    def sweep(self, *, now):
        """Drop what doesn't hold any longer."""
        for fingerprint in self.fingerprints():
            if not self.of(fingerprint, now=now):
                del self._item_by_start_by_fingerprint[fingerprint]

    def __contains__(self, fingerprint):
        return fingerprint in self._item_by_start_by_fingerprint

    def __len__(self):
        return len(self._item_by_start_by_fingerprint)

    def _shrink(self):
        by_fingerprint = self._item_by_start_by_fingerprint
        if len(by_fingerprint) <= MOST_REQUESTS:
            return
        # Many requests ran beside one that ends endpoints: each is seen at one end,
        # and together they must not displace the one that was seen at several.
        oldest = next(iter(by_fingerprint))
        once = (name for name, items in by_fingerprint.items() if len(items) == 1)
        del by_fingerprint[next(once, oldest)]
