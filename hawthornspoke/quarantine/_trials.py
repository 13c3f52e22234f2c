"""Decides when requests with suspected features may be sent one at a time."""

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

#: Seconds after which one request with a quarantined feature is sent, as the fault may
#: have been mended; doubled after each such request. Hosts spread it over as long.
RETRIAL_DELAY = 30.0

#: The same for the first such request, if the feature may have been beside the causes.
DOUBTFUL_RETRIAL_DELAY = 1.0


class Trials:
    """Paces isolated requests of a host, and retrials of quarantined features.

    A feature that is refused gets no answers, so a wrong decision would never be
    corrected if nothing were sent any more. Each host has a window of its own in a
    cycle as long as the windows of all hosts.
    """

    __slots__ = ("_running_until", "_since_by_feature", "_retrial_by_feature")

    def __init__(self):
        self._running_until = float("-inf")
        self._since_by_feature = {}
        self._retrial_by_feature = {}

    def suspect(self, feature, *, is_doubtful, phase, now):
        """Record that a feature is suspected.

        Parameters
        ----------
        feature : str
        is_doubtful : bool
            Whether the feature may merely have been beside the causes.
        phase : float
            See ``Quarantine``.
        now : float
        """
        if feature not in self._since_by_feature:
            self._since_by_feature[feature] = now
            delay = (1.0 + phase) * RETRIAL_DELAY
            self._retrial_by_feature[feature] = _Retrial(delay=delay, now=now)
        if is_doubtful:
            self._retrial_by_feature[feature].advance(now)

    def record_end(self, feature, *, now):
        """Record that an endpoint ended under a suspected feature, at any host.

        Parameters
        ----------
        feature : str
        now : float
        """
        if feature in self._retrial_by_feature:
            self._retrial_by_feature[feature].record_end(now)

    def forget(self, feature):
        """Record that a feature is no longer suspected."""
        self._since_by_feature.pop(feature, None)
        self._retrial_by_feature.pop(feature, None)

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
        earliest = max(now, self._running_until)
        if len(suspicion.features) > 1:
            is_tie = suspicion.leaders == suspicion.features
            delay = TIE_DELAY if is_tie else LEADER_DELAY
            for feature in present & suspicion.leaders:
                since = self._since_by_feature.get(feature, now)
                earliest = max(earliest, since + delay)
        cycle = hosts * TRIAL_INTERVAL
        into_window = (earliest - phase * cycle) % cycle
        if into_window < TRIAL_INTERVAL:
            return earliest
        return earliest + cycle - into_window

    def is_due(self, features, *, now):
        """Return whether one request with quarantined features may be sent.

        Parameters
        ----------
        features : collection of str
        now : float

        Returns
        -------
        bool
        """
        return now >= self._running_until and all(
            feature in self._retrial_by_feature
            and now >= self._retrial_by_feature[feature].due_at
            for feature in features
        )

    def retrial_reason(self, features):
        """Return why a retrial is due; see ``Isolated``."""
        is_doubtful = any(
            self._retrial_by_feature[feature].is_advanced for feature in features
        )
        return "doubtful_retrial" if is_doubtful else "retrial"

    def begin(self, features, *, now):
        """Record that an isolated request is sent.

        Parameters
        ----------
        features : collection of str
        now : float
        """
        self._running_until = now + TRIAL_TIMEOUT
        for feature in features:
            retrial = self._retrial_by_feature.get(feature)
            if retrial is not None and now >= retrial.due_at:
                retrial.begin(now)

    def end(self):
        """Record that the isolated request has ended."""
        self._running_until = float("-inf")


class _Retrial:
    """When a request with a quarantined feature is sent next."""

    __slots__ = ("delay", "due_at", "is_advanced", "_last_end_at", "_has_begun")

    def __init__(self, *, delay, now):
        self.delay = delay
        self.due_at = now + delay
        self.is_advanced = False
        self._last_end_at = now
        self._has_begun = False

    def advance(self, now):
        """Bring the first one forward."""
        if not self._has_begun:
            self.is_advanced = True
            self.due_at = min(self.due_at, now + DOUBTFUL_RETRIAL_DELAY)

    def begin(self, now):
        self._has_begun = True
        self.is_advanced = False
        self.due_at = now + self.delay

    def record_end(self, now):
        """Postpone it: twice as long if the end was that of a retrial."""
        if now >= self._last_end_at + RETRIAL_DELAY:
            self.delay *= 2
        self._last_end_at = now
        self.due_at = now + self.delay
