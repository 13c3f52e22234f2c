"""Features of requests that were answered not long ago."""

import collections

#: Seconds for which an answer makes it unlikely that its features crash endpoints, and
#: maximum number of features with such an answer.
ANSWER_LIFETIME = 60.0
MAX_ANSWERED = 4096


class RecentAnswers:
    """Bounded record of the latest answer to requests with each shared feature."""

    __slots__ = ("_answered_at_by_feature",)

    def __init__(self):
        self._answered_at_by_feature = collections.OrderedDict()

    def record(self, features, *, now):
        """Record an answer.

        Parameters
        ----------
        features : iterable of str
            Of the request.
        now : float
        """
        for feature in features:
            self._answered_at_by_feature[feature] = now
            self._answered_at_by_feature.move_to_end(feature)
        while len(self._answered_at_by_feature) > MAX_ANSWERED:
            self._answered_at_by_feature.popitem(last=False)

    def is_recent(self, feature, *, now):
        """Return whether an answer makes it unlikely that a feature is a cause.

        Parameters
        ----------
        feature : str
        now : float

        Returns
        -------
        bool
        """
        answered_at = self._answered_at_by_feature.get(feature, float("-inf"))
        return now < answered_at + ANSWER_LIFETIME

    def is_later(self, feature, than):
        """Return whether a feature was answered later than a time."""
        return self._answered_at_by_feature.get(feature, float("-inf")) > than

    def __len__(self):
        return len(self._answered_at_by_feature)
