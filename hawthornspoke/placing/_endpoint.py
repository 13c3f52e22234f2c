"""State that one entry host tracks for one endpoint."""

import math

from hawthornspoke.placing._contention import Contention
from hawthornspoke.placing._endpoint_signals import EndpointSignals
from hawthornspoke.placing._incarnation_tracker import IncarnationTracker
from hawthornspoke.placing._prefill_backlog import PrefillBacklog
from hawthornspoke.placing._silence import Suspicion
from hawthornspoke.signals import LEAVING, RATE_LIMIT
from hawthornspoke.slow_start import ColdState

#: Smoothing factor of the failure rate. Five consecutive failures move it from 0 to
#: two thirds, which is fast enough for an endpoint that gets several requests a
#: second, while a single failure moves it by a fifth only.
FAILURE_RATE_ALPHA = 0.2

#: Smoothing factor of the mean response time of an endpoint without an engine.
RESPONSE_TIME_ALPHA = 0.1

#: Response time in seconds assumed for such an endpoint before its first response.
INITIAL_RESPONSE_TIME = 0.05

#: Seconds for which signals of an unlisted endpoint are remembered. Entries that lapsed
#: return seconds after the platform does; an id isn't used again by another endpoint.
SIGNAL_MEMORY = 300.0


class Endpoint:
    """An endpoint, its reported load and the outcomes of requests sent to it.

    ``entry`` comes from the platform's endpoint list and ``state`` from the agent's
    last report. All else belongs to one incarnation, a run of the endpoint's process. A
    new incarnation under the same id starts without requests or failures: with those
    of the previous one it would be ejected, or filled beyond its slots.

    Parameters
    ----------
    entry : EndpointEntry
    now : float, default=0.0
        When the entry arrived.

    Attributes
    ----------
    current_state : EngineReported or None
        The agent's report if it is about the current incarnation.
    weights_version : int or None
        Version loaded; the agent's report takes precedence over the endpoint list.
    layers : tuple of (int, int) or None
        Layers loaded, with the same precedence.
    loading : bool
        Whether it is loading new weights and starts no requests meanwhile.
    pace : float
        Factor by which its engine is slower than usual.
    gone : bool
        Whether the endpoint list no longer has it.
    grace_deadline : float
        Time until which it may still get requests when it is gone.
    contention : Contention or None
        Slowdown by other work on its host; None if nothing has reported any.
    prefill_backlog : PrefillBacklog
        Prompts whose prefill is outstanding.
    signals : EndpointSignals
        What its responses have said of it.
    rate_limit : RateLimit
        One of these signals; each selection reads it for every endpoint.
    cold_state : ColdState
        Until when it is cold, and what this host has sent to it meanwhile.
    own_tokens : int
        Tokens of the prompts and answers of this host's requests in flight.
    suspicion : Suspicion
        Whether requests there make no progress.
    moved : bool
        Whether another endpoint answers at its address. After a host has lost power
        and returned with a new endpoint, the old entry stays listed for seconds until
        it lapses, and each request sent there would waste an attempt.
    """

    __slots__ = (
        "current_state",
        "weights_version",
        "layers",
        "loading",
        "pace",
        "gone",
        "moved",
        "contention",
        "prefill_backlog",
        "signals",
        "rate_limit",
        "cold_state",
        "grace_deadline",
        "own_in_flight",
        "own_tokens",
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
        "refusals_with_room",
        "suspicion",
        "mean_response_time",
    )

    def __init__(self, *, entry, now=0.0):
        self._entry = entry
        self._state = None
        self.gone = False
        self.grace_deadline = 0.0
        self.last_report_at = 0.0
        self._incarnations = IncarnationTracker()
        self._incarnations.observe_listed(entry.incarnation)
        self._has_restarted = False
        self._reset_counters()
        self.cold_state.observe_entry(entry.cold_left, now)
        self._refresh_state()

    def _reset_counters(self):
        """Reset everything that belongs to one incarnation."""
        self.moved = False
        self.contention = None
        self.prefill_backlog = PrefillBacklog()
        self.signals = EndpointSignals()
        self.rate_limit = self.signals.by_name[RATE_LIMIT]
        self.cold_state = ColdState()
        self.own_in_flight = 0
        self.own_tokens = 0
        self.reported_load = 0
        self.reported_at = None
        self.sent_since_report = 0
        self.failure_rate = 0.0
        self.ejected_until = 0.0
        self.ejection_count = 0
        self.refusals_with_room = 0
        self.suspicion = Suspicion()
        self.mean_response_time = INITIAL_RESPONSE_TIME

    @property
    def entry(self):
        """The entry in the platform's endpoint list."""
        return self._entry

    @entry.setter
    def entry(self, entry):
        self._entry = entry
        self._refresh_state()

    @property
    def endpoint_id(self):
        """Id in the platform's endpoint list."""
        return self._entry.endpoint_id

    @property
    def state(self):
        """The agent's last report, None if there is none."""
        return self._state

    @state.setter
    def state(self, state):
        self._state = state
        self._refresh_state()

    @property
    def incarnation(self):
        """The current incarnation, which all counters refer to."""
        return self._incarnations.current

    def update_entry(self, entry, now):
        """Update from the platform's endpoint list.

        Parameters
        ----------
        entry : EndpointEntry
        now : float

        Returns
        -------
        bool
            Whether the entry is of a new incarnation.
        """
        # A list contains the entries that haven't changed, too.
        is_new = entry is not self._entry
        if entry.address != self.entry.address:
            # The agent's report is about the endpoint at the old address.
            self._state = None
        self.moved = self.moved and entry == self._entry
        self._entry = entry
        self.gone = False
        restarted = self._incarnations.observe_listed(entry.incarnation)
        self._apply_incarnation(restarted)
        if is_new and self._entry_is_current:
            self.cold_state.observe_entry(entry.cold_left, now)
        return restarted

    def update_state(self, state, now):
        """Update from an agent's report.

        Parameters
        ----------
        state : EngineReported
        now : float

        Returns
        -------
        bool
            Whether the report is of a new incarnation.
        """
        self._state = state
        self.last_report_at = now
        restarted = self._incarnations.observe_reported(state.incarnation)
        self._apply_incarnation(restarted)
        if self.matches(state.incarnation):
            self.record_load(state.load, now)
            self.record_slowdown(state.slowdown, now)
        return restarted

    def matches(self, incarnation):
        """Return whether an incarnation is the current one, or unknown.

        Parameters
        ----------
        incarnation : Incarnation

        Returns
        -------
        bool
        """
        return not self.incarnation.differs_from(incarnation)

    def is_target(self, incarnation):
        """Return whether a request was sent to the current incarnation.

        Parameters
        ----------
        incarnation : Incarnation
            That of the request's Placement; unknown if none had been reported by then.
            Once a restart was noticed, such requests belong to an earlier incarnation.

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
        """Update the attributes derived from the endpoint list and the agent's report.

        Each selection reads them for every endpoint. Deriving them at each selection
        took a third of its time, and they change only with a new entry or report.
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
        """Requests at the endpoint: reported, plus those this host sent since."""
        return max(self.own_in_flight, self.reported_load + self.sent_since_report)

    @property
    def link_delay(self):
        """Round-trip queueing delay in seconds on the link of the endpoint's host."""
        return self.state.link_delay if self.state is not None else 0.0

    def is_in(self, failure_domain):
        """Return whether the endpoint is in a failure domain."""
        return self.entry.failure_domain == failure_domain

    def report_age(self, now):
        """Return the age of the reported load in seconds, None if there is none."""
        if self.reported_at is None:
            return None
        return round(now - self.reported_at, 3)

    @property
    def is_leaving(self):
        """Whether the endpoint list or the endpoint itself says that it leaves."""
        if self.entry.leaving and self._entry_is_current:
            return True
        return self.signals.by_name[LEAVING].value is not None

    def accepts(self, now):
        """Return whether new requests may be sent to it."""
        if self.entry.leaving and self._entry_is_current:
            return False
        if self.moved:
            return False
        if self.signals.restrictions and self.signals.forbidding(now) is not None:
            return False
        return not self.gone or now < self.grace_deadline

    def next_request_at(self, now):
        """Return the earliest time at which a request may be sent.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
            ``math.inf`` if it isn't known whether it ever may.
        """
        if self.accepts(now):
            return now
        if self.is_leaving or self.moved or self.gone:
            return math.inf
        return self.signals.next_request_at(now)

    def may_be_forgotten(self, now):
        """Return whether nothing has to be known of it once it is off the list.

        Its entry may only have lapsed and return as it was, after the endpoint has said
        what the entry doesn't.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        if self.own_in_flight or now < self.grace_deadline:
            return False
        if not self.signals.restrictions:
            return True
        return now >= self.grace_deadline + SIGNAL_MEMORY

    def record_load(self, load, now):
        """Record a load reported by the endpoint or its agent."""
        self.reported_load = load
        self.reported_at = now
        self.sent_since_report = 0

    def record_slowdown(self, slowdown, now):
        """Record the slowdown reported by the endpoint or its agent, if any."""
        if slowdown is None:
            return
        if self.contention is None:
            self.contention = Contention()
        self.contention.observe(slowdown, now)

    def present_pace(self, now):
        """Return the factor by which its engine is slower than usual at the moment."""
        if self.contention is None:
            return self.pace
        return self.pace * self.contention.slowdown(now)

    def record_end(self, *, tokens=0, is_refused=False):
        """Record the end of a request of this host, included in the report or not.

        Parameters
        ----------
        tokens : int, default=0
            Of its prompt and answer.
        is_refused : bool, default=False
            Whether the endpoint didn't take it, so that no report includes it.
        """
        self.own_in_flight = max(0, self.own_in_flight - 1)
        self.own_tokens = max(0, self.own_tokens - tokens)
        if self.sent_since_report:
            self.sent_since_report -= 1
        elif not is_refused:
            self.reported_load = max(0, self.reported_load - 1)

    def record_outcome(self, failed):
        """Update the failure rate with one outcome."""
        self.failure_rate += FAILURE_RATE_ALPHA * (float(failed) - self.failure_rate)

    def record_response_time(self, seconds):
        """Update the mean response time with one complete response."""
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
            "own_running": self.own_in_flight,
            "own_tokens": self.own_tokens,
            "report_age": self.report_age(now),
            "weights_version": self.weights_version,
            "layers": self.layers,
            "loading": self.loading,
            "contention": (
                None if self.contention is None else self.contention.dump(now=now)
            ),
            "signals": self.signals.dump(now=now),
            "refusals_with_room": self.refusals_with_room,
            "cold_left": self.cold_state.dump(now=now),
            "failure_rate": round(self.failure_rate, 3),
            "is_suspected": self.suspicion.is_active,
            "avoided_for": round(max(0.0, self.ejected_until - now), 3),
        }
