"""What one entry host believes of one endpoint."""

from hawthornspoke.placing._reading import PrefillBacklog
from hawthornspoke.placing._starts import IncarnationTracker

#: Weight of the newest outcome in the failure rate. Five outcomes in a row move it
#: from 0 to two thirds: soon enough for an endpoint that gets several requests a
#: second, and one failure by chance moves it by a fifth only.
FAILURE_RATE_ALPHA = 0.2

#: Weight of the newest time in the mean time of a plain service's answers.
RESPONSE_TIME_ALPHA = 0.1

#: Seconds an answer of a plain service is taken to need before any was seen.
INITIAL_RESPONSE_TIME = 0.05


class Endpoint:
    """An endpoint, its reported load and what became of requests sent there.

    All but the two words on it (``entry`` and ``state``) is of one start. A new
    start under the same id has no requests and no failures: with those of the one
    before it would be left alone, or filled beyond its slots.

    Parameters
    ----------
    entry : EndpointEntry

    Attributes
    ----------
    current_state : EngineReported or None
        The agent's word if it is about the start that holds.
    weights_version : int or None
        Version held, by the agent's word before the platform's list.
    layers : tuple of (int, int) or None
        Layers held, likewise.
    loading : bool
        Whether it is taking up new weights and starts nothing else.
    pace : float
        How many times slower than usual its engine works.
    reading : Reading
        Prompts that its engine has yet to read.
    moved : bool
        Whether another endpoint answers at its address. Its entry stays listed until
        it lapses, seconds after a host that lost power is back with a new one, and
        each request would use up a try there.
    """

    __slots__ = (
        "current_state",
        "weights_version",
        "layers",
        "loading",
        "pace",
        "gone",
        "moved",
        "reading",
        "grace_deadline",
        "own_running",
        "reported_load",
        "reported_at",
        "sent_since_report",
        "last_report_at",
        "_entry",
        "_state",
        "_incarnations",
        "_has_restarted",
        "failure_rate",
        "ejected_until",
        "ejection_count",
        "mean_response_time",
    )

    def __init__(self, *, entry):
        self._entry = entry
        self._state = None
        self.gone = False
        self.grace_deadline = 0.0
        self.last_report_at = 0.0
        self._incarnations = IncarnationTracker()
        self._incarnations.observe_listed(entry.incarnation)
        self._has_restarted = False
        self._reset_counters()
        self._refresh_state()

    def _reset_counters(self):
        """Begin with nothing, as a new start does."""
        self.moved = False
        self.reading = PrefillBacklog()
        self.own_running = 0
        self.reported_load = 0
        self.reported_at = None
        self.sent_since_report = 0
        self.failure_rate = 0.0
        self.ejected_until = 0.0
        self.ejection_count = 0
        self.mean_response_time = INITIAL_RESPONSE_TIME

    @property
    def entry(self):
        """The platform's word."""
        return self._entry

    @entry.setter
    def entry(self, entry):
        self._entry = entry
        self._refresh_state()

    @property
    def endpoint_id(self):
        """Its id, by the platform's list."""
        return self._entry.endpoint_id

    @property
    def state(self):
        """The agent's word, None if there is none."""
        return self._state

    @state.setter
    def state(self, state):
        self._state = state
        self._refresh_state()

    @property
    def incarnation(self):
        """The start that holds; what is remembered is of this one."""
        return self._incarnations.current

    def update_entry(self, entry):
        """Take the platform's word.

        Parameters
        ----------
        entry : EndpointEntry
        """
        if entry.address != self.entry.address:
            # The word is of what is at the other address.
            self._state = None
        self.moved = self.moved and entry == self._entry
        self._entry = entry
        self.gone = False
        self._apply_incarnation(self._incarnations.observe_listed(entry.incarnation))

    def update_state(self, state, now):
        """Take an agent's word.

        Parameters
        ----------
        state : EngineReported
        now : float
        """
        self._state = state
        self.last_report_at = now
        self._apply_incarnation(self._incarnations.observe_reported(state.incarnation))
        if self.matches(state.incarnation):
            self.record_load(state.load, now)

    def matches(self, incarnation):
        """Tell whether a word is about the start that holds.

        Parameters
        ----------
        incarnation : Incarnation

        Returns
        -------
        bool
        """
        return not self.incarnation.differs_from(incarnation)

    def is_target(self, incarnation):
        """Tell whether a request was sent to the start that holds.

        Parameters
        ----------
        incarnation : Incarnation
            That of its Place; unknown if no start had been told by then. One that
            was told since and replaced by another is over with its requests.

        Returns
        -------
        bool
        """
        if not incarnation.is_known and self._has_restarted:
            return False
        return self.matches(incarnation)

    def _apply_incarnation(self, restarted):
        if restarted:
            self._has_restarted = True
            self._reset_counters()
        self._refresh_state()

    def _refresh_state(self):
        """Find what the two words say now.

        Each choice looks at all of this for each endpoint; found there, it was a
        third of the time of a choice, and only a word can change it.
        """
        if self.state is None or not self.matches(self.state.incarnation):
            self.current_state = None
            source = self.entry if self._entry_is_current else None
            self.loading = False
            self.pace = 1.0
        else:
            self.current_state = source = self.state
            self.loading = source.loading
            self.pace = source.pace
        self.weights_version = None if source is None else source.weights_version
        self.layers = None if source is None else source.layers

    @property
    def _entry_is_current(self):
        return self.matches(self.entry.incarnation)

    @property
    def load(self):
        """Requests that are there: reported, and sent by this host since."""
        return max(self.own_running, self.reported_load + self.sent_since_report)

    @property
    def link_delay(self):
        """Seconds that a message there and back waits on the way."""
        return self.state.link_delay if self.state is not None else 0.0

    def is_in(self, failure_domain):
        """Tell whether it is in a failure domain."""
        return self.entry.failure_domain == failure_domain

    def report_age(self, now):
        """Return the seconds since its load was told, None if it never was."""
        if self.reported_at is None:
            return None
        return round(now - self.reported_at, 3)

    def accepts(self, now):
        """Tell whether new requests may go there as far as the list says."""
        if self.entry.leaving and self._entry_is_current:
            return False
        if self.moved:
            return False
        return not self.gone or now < self.grace_deadline

    def record_load(self, load, now):
        """Take a load that the endpoint or its agent told."""
        self.reported_load = load
        self.reported_at = now
        self.sent_since_report = 0

    def record_end(self):
        """Count that a request of this host ended, whether or not it was reported."""
        self.own_running = max(0, self.own_running - 1)
        if self.sent_since_report:
            self.sent_since_report -= 1
        else:
            self.reported_load = max(0, self.reported_load - 1)

    def record_outcome(self, failed):
        """Count one outcome."""
        self.failure_rate += FAILURE_RATE_ALPHA * (float(failed) - self.failure_rate)

    def record_response_time(self, seconds):
        """Count the time of one whole answer."""
        self.mean_response_time += RESPONSE_TIME_ALPHA * (
            seconds - self.mean_response_time
        )

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "service": self.entry.service,
            "address": self.entry.address,
            "started_ms": self.incarnation.started_ms,
            "listed_started_ms": self.entry.incarnation.started_ms,
            "told_started_ms": (
                None if self.state is None else self.state.incarnation.started_ms
            ),
            "leaving": self.entry.leaving,
            "gone": self.gone,
            "load": self.load,
            "own_running": self.own_running,
            "report_age": self.report_age(now),
            "weights_version": self.weights_version,
            "layers": self.layers,
            "loading": self.loading,
            "failure_rate": round(self.failure_rate, 3),
            "avoided_for": round(max(0.0, self.ejected_until - now), 3),
        }
