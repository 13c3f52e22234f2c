"""Decides when requests with suspected features may be sent one at a time."""

from hawthornspoke.quarantine._evidence import RECENT_TIME
from hawthornspoke.quarantine._features import kind_of

#: Number of recent ends that a feature doesn't explain, as a share of those that it
#: does, from which it isn't certain to be their cause.
MAX_UNEXPLAINED_SHARE = 0.2

#: Seconds after which an isolated request no longer keeps others from being sent. An
#: engine that it crashes ends within a fraction of a second.
TRIAL_TIMEOUT = 2.0

#: Length in seconds of a host's window, so that the outcome of an isolated request is
#: known at all hosts before the next one sends another.
TRIAL_INTERVAL = 0.5

#: Seconds for which requests with the most suspected features wait. In that time the
#: others are cleared by answers of requests that are running, or that run once crashed
#: endpoints have restarted.
LEADER_DELAY = 4.0

#: The same, if all suspected features are as suspected as each other.
TIE_DELAY = 1.0

#: Seconds after the last end under a quarantined feature at which one request with it
#: is sent, as the fault may have been mended, and the factor for each such request
#: before: all hosts send three at most while evidence lasts.
RETRIAL_DELAY = 40.0
RETRIAL_GROWTH = 3.0

#: The same for the first such request, if the feature may have been beside the causes,
#: and for a second one, if the first one showed nothing.
DOUBTFUL_RETRIAL_DELAY = 1.0
INCONCLUSIVE_RETRIAL_DELAY = 5.0


class Trials:
    """Paces isolated requests of a host, and retrials of quarantined features.

    A feature that is refused gets no answers, so a wrong decision would never be
    corrected if nothing were sent any more. Each host has a window of its own in a
    cycle as long as the windows of all hosts, for suspects that nothing tells apart; if
    few requests meet a window, an agent grants one of them. A retrial needs a grant, so
    that all hosts together send one at a time.

    Parameters
    ----------
    retrials : RetrialLog
        Retrials of all hosts.
    """

    __slots__ = (
        "_retrials",
        "_running_until",
        "_suspect_by_feature",
        "_granted_until_by_feature",
    )

    def __init__(self, *, retrials):
        self._retrials = retrials
        self._running_until = float("-inf")
        self._suspect_by_feature = {}
        self._granted_until_by_feature = {}

    def suspect(self, feature, *, explained, present, recent, now):
        """Record that a feature is suspected.

        A single cause explains all ends. If there are several, a common feature may be
        at more of their ends than each of them.

        Parameters
        ----------
        feature : str
        explained : collection of str
            Incarnations of endpoints whose ends the feature explains.
        present : collection of str
            Those that had a request with the feature when they ended, cleared or not.
        recent : collection of str
            All incarnations that ended not long ago.
        now : float
        """
        suspect = self._suspect_by_feature.setdefault(feature, _Suspect(since=now))
        # Later ends say nothing about those that the feature has caused.
        if now < suspect.last_end_at + RECENT_TIME:
            suspect.unexplained |= recent
        suspect.unexplained -= explained | present
        is_doubtful = kind_of(feature).IS_SHARED and (
            len(suspect.unexplained) > MAX_UNEXPLAINED_SHARE * len(explained)
        )
        if not is_doubtful:
            suspect.doubtful_since = None
        elif suspect.doubtful_since is None:
            suspect.doubtful_since = now

    def record_end(self, feature, *, now):
        """Record that an endpoint ended under a suspected feature, at any host.

        Parameters
        ----------
        feature : str
        now : float
        """
        if feature in self._suspect_by_feature:
            self._suspect_by_feature[feature].last_end_at = now

    def forget(self, feature):
        """Record that a feature is no longer suspected."""
        self._suspect_by_feature.pop(feature, None)
        self._granted_until_by_feature.pop(feature, None)

    def free_at(self, suspicion, present, *, phase, hosts, now):
        """Return when an isolated request may be sent.

        Parameters
        ----------
        suspicion : Suspicion
        present : frozenset of str
            Suspected features that the request has.
        phase : float
        hosts : int
            See ``Quarantine``.
        now : float

        Returns
        -------
        float
        """
        earliest = self._earliest(suspicion, present, now)
        if earliest <= now and self.has_grant(present, now=now):
            return earliest
        cycle = hosts * TRIAL_INTERVAL
        into_window = (earliest - phase * cycle) % cycle
        if into_window < TRIAL_INTERVAL:
            return earliest
        return earliest + cycle - into_window

    def is_turn_due(self, suspicion, present, *, now):
        """Return whether an isolated request may be sent with a grant.

        A feature gets one, so that few requests with it crash endpoints if these ends
        go unnoticed.

        Parameters
        ----------
        suspicion : Suspicion
        present : frozenset of str
            Suspected features that the request has.
        now : float

        Returns
        -------
        bool
        """
        return self._earliest(suspicion, present, now) <= now and not any(
            self._retrials.get(feature, now=now).count for feature in present
        )

    def is_due(self, features, *, now):
        """Return whether a retrial of quarantined features is due.

        Parameters
        ----------
        features : collection of str
        now : float

        Returns
        -------
        bool
        """
        return now >= self._running_until and all(
            feature in self._suspect_by_feature and now >= self._due_at(feature, now)
            for feature in features
        )

    def grant(self, feature, *, expires_at):
        """Record that this host may send one request with a feature.

        Parameters
        ----------
        feature : str
        expires_at : float
        """
        if feature in self._suspect_by_feature:
            self._granted_until_by_feature[feature] = expires_at

    def is_granted(self, features, *, now):
        """Return whether this host may send a retrial of all of some features."""
        return self.is_due(features, now=now) and self.has_grant(features, now=now)

    def has_grant(self, features, *, now):
        """Return whether an agent has granted this host a request with features."""
        return all(
            now < self._granted_until_by_feature.get(feature, float("-inf"))
            for feature in features
        )

    def retrial_reason(self, features, *, now):
        """Return why a retrial is due; see ``Isolated``."""
        is_doubtful = any(
            self._is_doubtful(feature, self._retrials.get(feature, now=now))
            for feature in features
        )
        return "doubtful_retrial" if is_doubtful else "retrial"

    def begin(self, features, *, now):
        """Record that an isolated request is sent.

        Parameters
        ----------
        features : collection of str
        now : float

        Returns
        -------
        list of Retrial
            Those that it adds.
        """
        self._running_until = now + TRIAL_TIMEOUT
        added = []
        for feature in features:
            if now < self._granted_until_by_feature.pop(feature, float("-inf")):
                retrial = self._retrials.get(feature, now=now).next(now=now)
                self._retrials.add(retrial, now=now)
                added.append(retrial)
        return added

    def end(self):
        """Record that the isolated request has ended."""
        self._running_until = float("-inf")

    def _earliest(self, suspicion, present, now):
        """Return when an isolated request may be sent if it is this host's turn."""
        earliest = max(now, self._running_until)
        if len(suspicion.features) > 1:
            is_tie = suspicion.leaders == suspicion.features
            delay = TIE_DELAY if is_tie else LEADER_DELAY
            for feature in present & suspicion.leaders:
                suspect = self._suspect_by_feature.get(feature)
                since = now if suspect is None else suspect.since
                earliest = max(earliest, since + delay)
        return earliest

    def _due_at(self, feature, now):
        suspect = self._suspect_by_feature[feature]
        retrial = self._retrials.get(feature, now=now)
        if self._is_doubtful(feature, retrial):
            if not retrial.count:
                return suspect.doubtful_since + DOUBTFUL_RETRIAL_DELAY
            return retrial.begun_at + INCONCLUSIVE_RETRIAL_DELAY
        last = suspect.last_end_at if not retrial.count else retrial.begun_at
        return last + RETRIAL_DELAY * RETRIAL_GROWTH**retrial.count

    def _is_doubtful(self, feature, retrial):
        """Return whether a retrial hasn't settled yet if a feature is a cause."""
        suspect = self._suspect_by_feature[feature]
        if suspect.doubtful_since is None or retrial.count > 1:
            return False
        return not retrial.count or suspect.last_end_at < retrial.begun_at


class _Suspect:
    """Since when a feature is suspected and doubtful, and the ends that count for it.

    ``unexplained`` are the incarnations that ended at about the same time without it.
    """

    __slots__ = ("since", "doubtful_since", "last_end_at", "unexplained")

    def __init__(self, *, since):
        self.since = since
        self.doubtful_since = None
        self.last_end_at = since
        self.unexplained = set()
