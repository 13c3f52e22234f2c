"""What one entry host believes of one endpoint."""

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

    Parameters
    ----------
    entry : EndpointEntry
    """

    __slots__ = (
        "entry",
        "gone",
        "doubtful_deadline",
        "own_running",
        "reported_load",
        "reported_at",
        "sent_since_report",
        "state",
        "heard_at",
        "failure_rate",
        "avoid_deadline",
        "avoided",
        "answer_time",
    )

    def __init__(self, *, entry):
        self.entry = entry
        self.gone = False
        self.doubtful_deadline = 0.0
        self.own_running = 0
        self.reported_load = 0
        self.reported_at = None
        self.sent_since_report = 0
        self.state = None
        self.heard_at = 0.0
        self.failure_rate = 0.0
        self.avoid_deadline = 0.0
        self.avoided = 0
        self.answer_time = ASSUMED_ANSWER_TIME

    @property
    def load(self):
        """Requests that are there: reported, and sent by this host since."""
        return max(self.own_running, self.reported_load + self.sent_since_report)

    @property
    def weights_version(self):
        """Version held, by the agent's word before the platform's list."""
        if self.state is not None:
            return self.state.weights_version
        return self.entry.weights_version

    @property
    def layers(self):
        """Layers held, by the agent's word before the platform's list."""
        if self.state is not None:
            return self.state.layers
        return self.entry.layers

    @property
    def loading(self):
        """Whether it is taking up new weights and starts nothing else."""
        return self.state is not None and self.state.loading

    @property
    def pace(self):
        """How many times slower than usual its engine works."""
        return self.state.pace if self.state is not None else 1.0

    @property
    def link_delay(self):
        """Seconds that a message there and back waits on the way."""
        return self.state.link_delay if self.state is not None else 0.0

    def accepts(self, now):
        """Tell whether new requests may go there as far as the list says."""
        if self.entry.leaving:
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
