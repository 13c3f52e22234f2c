"""Rules that decide which features of requests explain the ends of endpoints."""

from dataclasses import dataclass

from hawthornspoke.base import Registry
from hawthornspoke.quarantine._features import kind_of

BLAME_RULES = Registry(kind="blame rule")

#: Window in seconds within which endpoint ends count as one event.
SIMULTANEOUS_WINDOW = 0.1

#: Number of ends in one event that count against a shared feature: fewer than make it
#: suspected, however many endpoints end together.
MAX_ENDS_PER_EVENT = 2

#: Share of the ends of the most suspected feature above which another one is as
#: suspected, and number of these ends that it may lack. Ends that a host hasn't
#: recognized keep two features that always come together from having the same ends.
INDISTINGUISHABLE_SHARE = 0.75
MAX_LACKING_ENDS = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class Suspicion:
    """Some features of which at least one crashes endpoints.

    Parameters
    ----------
    features : frozenset of str
        One if it is known to be the cause.
    leaders : frozenset of str
        Those with most ends.
    incarnation_ids : frozenset of str
        Incarnations of endpoints that ended under all or most of them.
    """

    features: frozenset
    leaders: frozenset
    incarnation_ids: frozenset


def counted_ends(feature, ended_at_by_incarnation):
    """Return the ends of endpoints that count against a feature.

    Many requests at different endpoints have a shared feature, so of endpoints that end
    together, for instance as a rack loses power, only some count.

    Parameters
    ----------
    feature : str
    ended_at_by_incarnation : dict of str to float
        When these endpoints ended, in seconds.

    Returns
    -------
    list of str
        Incarnation ids, the earliest end first.
    """
    in_order = sorted(ended_at_by_incarnation, key=ended_at_by_incarnation.get)
    if not kind_of(feature).IS_SHARED:
        return in_order
    counted, in_event, event_end = [], 0, float("-inf")
    for incarnation_id in in_order:
        ended_at = ended_at_by_incarnation[incarnation_id]
        if ended_at >= event_end:
            in_event, event_end = 0, ended_at + SIMULTANEOUS_WINDOW
        in_event += 1
        if in_event <= MAX_ENDS_PER_EVENT:
            counted.append(incarnation_id)
    return counted


def count_ends(feature, ended_at_by_incarnation):
    """Return how many ends count against a feature; see ``counted_ends``."""
    return len(counted_ends(feature, ended_at_by_incarnation))


@BLAME_RULES.register("unanswered")
def blame_unanswered(ended_at_by_feature, *, threshold, answered=frozenset()):
    """Suspect each feature with enough ends since its last answer.

    Simple, but while nothing is answered, all common features are suspected.

    Parameters
    ----------
    ended_at_by_feature : dict of str to dict of str to float
        When endpoints ended under a feature, by incarnation id; without those ends that
        the feature is known not to have caused.
    threshold : int
        Number of ends from which a feature is suspected.
    answered : collection of str, default=()
        Features of requests that were answered not long ago; unused.

    Returns
    -------
    list of Suspicion
    """
    return [
        Suspicion(
            features=frozenset((feature,)),
            leaders=frozenset((feature,)),
            incarnation_ids=frozenset(ended_at),
        )
        for feature, ended_at in ended_at_by_feature.items()
        if count_ends(feature, ended_at) >= threshold
    ]


@BLAME_RULES.register("explanation")
def blame_explanation(ended_at_by_feature, *, threshold, answered=frozenset()):
    """Suspect the fewest features that explain the ends.

    The feature with most ends explains them for all others that were there, unless
    they were there as well as always: then nothing tells these features apart yet.
    Features that were answered not long ago only explain what is left.

    Parameters
    ----------
    ended_at_by_feature : dict of str to dict of str to float
    threshold : int
    answered : collection of str, default=()
        See ``blame_unanswered``.

    Returns
    -------
    list of Suspicion
        The most suspected ones first.
    """
    remaining = {
        feature: dict(ended_at)
        for feature, ended_at in ended_at_by_feature.items()
        if count_ends(feature, ended_at) >= threshold
    }
    suspicions = []
    for candidates in (
        [feature for feature in remaining if feature not in answered],
        [feature for feature in remaining if feature in answered],
    ):
        while suspicion := _most_suspected(remaining, candidates, threshold):
            suspicions.append(suspicion)
            for ended_at in remaining.values():
                for incarnation_id in suspicion.incarnation_ids:
                    ended_at.pop(incarnation_id, None)
    return suspicions


def _most_suspected(ended_at_by_feature, candidates, threshold):
    """Return the Suspicion with most ends, None if no feature has enough of them."""
    count_by_feature = {
        feature: count
        for feature in candidates
        if (count := count_ends(feature, ended_at_by_feature[feature])) >= threshold
    }
    if not count_by_feature:
        return None
    leader = max(
        count_by_feature,
        key=lambda feature: (
            count_by_feature[feature],
            len(ended_at_by_feature[feature]),
            feature,
        ),
    )
    ends = ended_at_by_feature[leader].keys()
    least = max(INDISTINGUISHABLE_SHARE * len(ends), len(ends) - MAX_LACKING_ENDS - 1)
    features = frozenset(
        feature
        for feature in count_by_feature
        if len(ends & ended_at_by_feature[feature].keys()) > least
    )
    leaders = frozenset(
        feature
        for feature in features
        if len(ended_at_by_feature[feature]) == len(ends)
    )
    return Suspicion(
        features=features, leaders=leaders, incarnation_ids=frozenset(ends)
    )
