"""Requests with quarantined features that all hosts together have sent."""

from dataclasses import dataclass, replace

#: Lifetime of a retrial in seconds: that of the evidence that it tests.
RETRIAL_LIFETIME = 900.0

#: Maximum number of features with retrials.
MAX_RETRIED = 512


@dataclass(slots=True, kw_only=True, frozen=True)
class Retrial:
    """The latest request with a quarantined feature, sent to test the feature.

    Parameters
    ----------
    fingerprint : str
        Of the feature; see ``Evidence``.
    count : int
        Number of such requests since the feature was quarantined, over all hosts. 0
        once an answer has cleared it.
    clearings : int, default=0
        Number of times that answers have cleared the feature after a retrial.
    deadline : float
        Expiry on the monotonic clock.
    """

    fingerprint: str
    count: int
    deadline: float
    clearings: int = 0

    #: Retrials are no ends that an answer could clear.
    cleared = False

    @property
    def begun_at(self):
        """When the latest one was sent, on the monotonic clock of this process."""
        return self.deadline - RETRIAL_LIFETIME

    def next(self, *, now):
        """Return the record after one more retrial at this time."""
        return replace(self, count=self.count + 1, deadline=now + RETRIAL_LIFETIME)

    def after_answer(self, *, now):
        """Return the record after an answer that clears the feature."""
        return replace(
            self, count=0, clearings=self.clearings + 1, deadline=now + RETRIAL_LIFETIME
        )


class RetrialLog:
    """Bounded record of retrials by feature.

    Records of several processes converge once they have exchanged them, in any order.
    """

    __slots__ = ("_retrial_by_feature",)

    def __init__(self):
        self._retrial_by_feature = {}

    def add(self, retrial, *, now):
        """Add a record; return whether it was newer than the known one.

        Parameters
        ----------
        retrial : Retrial
        now : float

        Returns
        -------
        bool
        """
        if now >= retrial.deadline:
            return False
        known = self.get(retrial.fingerprint, now=now)
        if (retrial.clearings, retrial.count) <= (known.clearings, known.count):
            return False
        # Inserted again, so that features are ordered by their latest retrial.
        self._retrial_by_feature.pop(retrial.fingerprint, None)
        self._retrial_by_feature[retrial.fingerprint] = retrial
        while len(self._retrial_by_feature) > MAX_RETRIED:
            del self._retrial_by_feature[next(iter(self._retrial_by_feature))]
        return True

    def get(self, feature, *, now):
        """Return what is known of a feature's retrials.

        Parameters
        ----------
        feature : str
        now : float

        Returns
        -------
        Retrial
            With a count of 0 if there were none.
        """
        known = self._retrial_by_feature.get(feature)
        if known is None or now >= known.deadline:
            return Retrial(fingerprint=feature, count=0, deadline=now)
        return known

    def all(self, *, now):
        """Return all records that haven't expired."""
        return [
            item for item in self._retrial_by_feature.values() if now < item.deadline
        ]
