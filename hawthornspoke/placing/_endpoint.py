"""What one entry host believes of one endpoint."""

from hawthornspoke.placing._reading import Reading
from hawthornspoke.placing._starts import Starts

#: Weight of the newest outcome in the failure rate. Five outcomes in a row move it
#: from 0 to two thirds: soon enough for an endpoint that gets several requests a
#: second, and one failure by chance moves it by a fifth only.
OUTCOME_WEIGHT = 0.2

#: Weight of the newest time in the mean time of a plain service's answers.
TIME_WEIGHT = 0.1

#: Seconds an answer of a plain service is taken to need before any was seen.
ASSUMED_ANSWER_TIME = 0.05


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
    agent_word : EngineReported or None
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
        "agent_word",
        "weights_version",
        "layers",
        "loading",
        "pace",
        "gone",
        "moved",
        "reading",
        "doubtful_deadline",
        "own_running",
        "reported_load",
        "reported_at",
        "sent_since_report",
        "heard_at",
        "_entry",
        "_state",
        "_starts",
        "_has_restarted",
        "failure_rate",
        "avoid_deadline",
        "avoided",
        "answer_time",
    )

    def __init__(self, *, entry):
        self._entry = entry
        self._state = None
        self.gone = False
        self.doubtful_deadline = 0.0
        self.heard_at = 0.0
        self._starts = Starts()
        self._starts.hear_list(entry.incarnation)
        self._has_restarted = False
        self._forget()
        self._settle()

    def _forget(self):
        """Begin with nothing, as a new start does."""
        self.moved = False
        self.reading = Reading()
        self.own_running = 0
        self.reported_load = 0
        self.reported_at = None
        self.sent_since_report = 0
        self.failure_rate = 0.0
        self.avoid_deadline = 0.0
        self.avoided = 0
        self.answer_time = ASSUMED_ANSWER_TIME

    @property
    def entry(self):
        """The platform's word."""
        return self._entry

    @entry.setter
    def entry(self, entry):
        self._entry = entry
        self._settle()

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
        self._settle()

    @property
    def incarnation(self):
        """The start that holds; what is remembered is of this one."""
        return self._starts.current

    def take_entry(self, entry):
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
        self._take_start(self._starts.hear_list(entry.incarnation))

    def take_state(self, state, now):
        """Take an agent's word.

        Parameters
        ----------
        state : EngineReported
        now : float
        """
        self._state = state
        self.heard_at = now
        self._take_start(self._starts.hear_agent(state.incarnation))
        if self.is_about(state.incarnation):
            self.report(state.load, now)

    def is_about(self, incarnation):
        """Tell whether a word is about the start that holds.

        Parameters
        ----------
        incarnation : Incarnation

        Returns
        -------
        bool
        """
        return not self.incarnation.differs_from(incarnation)

    def was_sent_to(self, incarnation):
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
        return self.is_about(incarnation)

    def _take_start(self, is_new):
        if is_new:
            self._has_restarted = True
            self._forget()
        self._settle()

    def _settle(self):
        """Find what the two words say now.

        Each choice looks at all of this for each endpoint; found there, it was a
        third of the time of a choice, and only a word can change it.
        """
        if self.state is None or not self.is_about(self.state.incarnation):
            self.agent_word = None
            held = self.entry if self._list_holds else None
            self.loading = False
            self.pace = 1.0
        else:
            self.agent_word = held = self.state
            self.loading = held.loading
            self.pace = held.pace
        self.weights_version = None if held is None else held.weights_version
        self.layers = None if held is None else held.layers

    @property
    def _list_holds(self):
        return self.is_about(self.entry.incarnation)

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
        if self.entry.leaving and self._list_holds:
            return False
        if self.moved:
            return False
        return not self.gone or now < self.doubtful_deadline

    def report(self, load, now):
        """Take a load that the endpoint or its agent told."""
        self.reported_load = load
        self.reported_at = now
        self.sent_since_report = 0

    def end_one(self):
        """Count that a request of this host ended, whether or not it was reported."""
        self.own_running = max(0, self.own_running - 1)
        if self.sent_since_report:
            self.sent_since_report -= 1
        else:
            self.reported_load = max(0, self.reported_load - 1)

    def note(self, failed):
        """Count one outcome."""
        self.failure_rate += OUTCOME_WEIGHT * (float(failed) - self.failure_rate)

    def note_time(self, seconds):
        """Count the time of one whole answer."""
        self.answer_time += TIME_WEIGHT * (seconds - self.answer_time)

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
            "avoided_for": round(max(0.0, self.avoid_deadline - now), 3),
        }
