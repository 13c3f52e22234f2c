"""Which weights may begin to answer, and until when.

A bound after its declaration only a version or a newer one may begin to answer. What
keeps it is the withdrawal: a request that has not begun ``WITHDRAW_MARGIN`` before the
bound is taken back. Until then older weights answer all that is expected to begin
before it. Were they left alone sooner, whole fleets stood idle for a second before each
bound, with nothing newer to serve from yet. Only where newer weights answer as well do
older ones come second, from ``SEND_MARGIN`` before the bound: there a request that
begins later than expected would be withdrawn for nothing.
"""

import enum
from dataclasses import replace

from hawthornspoke.placing._predict import expected_first_token

#: Seconds before a bound at which a request that has not begun on older weights is
#: taken back. Its end needs as long to reach the engine as anything else on a link
#: full of pieces, 0.18 s as seen, and a busy process notices the time 0.1 s late.
WITHDRAW_MARGIN = 0.4

#: The same for engines of other failure domains: links between regions carry pieces
#: and configurations too, and nobody measures how long a message waits there.
WITHDRAW_MARGIN_FAR = 0.6

#: Seconds by which a busy process notices a time late.
TIMER_LATENCY = 0.15

#: Times the expected time to the first token after which a request is taken to have
#: begun, at an engine that works at its usual pace.
START_FACTOR = 1.5

#: What is added to that for each time that an engine is slower than usual: how slow it
#: is was told a moment ago. Four times slower, 1.05 s were seen for 0.4 s.
START_FACTOR_SLOWDOWN = 0.6

#: The same where newer weights may answer instead.
START_FACTOR_SURE = 2.0


class Prospect(enum.Enum):
    """Whether a request begins before an engine's weights are too old for it."""

    TOO_LATE = "too_late"
    EXPECTED = "expected"
    #: With time to spare.
    SURE = "sure"


class WeightsEligibility:
    """What may answer at one moment.

    Parameters
    ----------
    declared : DeclaredVersions
    version_bound : float
        Seconds after its declaration from which only a version or a newer one may
        begin to answer.
    version_margin : float
        Seconds before that from which an older version comes second.
    failure_domain : str
        Of this host.
    contact_now : float
        The moment on the clock of declarations.
    now : float
        The same on the clock of deadlines.
    """

    __slots__ = (
        "declared",
        "version_bound",
        "version_margin",
        "contact_now",
        "now",
        "failure_domain",
        "_too_old_at_by_version",
    )

    def __init__(
        self,
        *,
        declared,
        version_bound,
        version_margin,
        failure_domain,
        contact_now,
        now,
    ):
        self.declared = declared
        self.version_bound = version_bound
        self.version_margin = version_margin
        self.contact_now = contact_now
        self.now = now
        self.failure_domain = failure_domain
        self._too_old_at_by_version = {}

    def allows(self, endpoint, engine, ask):
        """Tell whether an engine has the weights for a request and begins in time.

        Parameters
        ----------
        endpoint : Endpoint
        engine : EngineProfile
        ask : Ask

        Returns
        -------
        bool
        """
        if not self._has_weights(endpoint, engine, ask):
            return False
        if self._is_newest(endpoint, engine):
            return True
        expected = expected_first_token(
            endpoint, engine, ask, load=endpoint.load, now=self.now
        )
        return self.forecast(endpoint, engine, expected) is not Prospect.TOO_LATE

    def forecast(self, endpoint, engine, expected):
        """Tell whether a request begins before an engine's weights are too old.

        Parameters
        ----------
        endpoint : Endpoint
        engine : EngineProfile
        expected : float
            Seconds to the first token.

        Returns
        -------
        Prospect
        """
        if self._is_newest(endpoint, engine):
            return Prospect.SURE
        left = self._too_old_at(engine, endpoint.weights_version) - self.contact_now
        if START_FACTOR_SURE * expected < left - self.version_margin:
            return Prospect.SURE
        share = START_FACTOR + START_FACTOR_SLOWDOWN * max(0.0, endpoint.pace - 1.0)
        if share * expected <= left - self._withdraw_margin(endpoint):
            return Prospect.EXPECTED
        return Prospect.TOO_LATE

    def with_deadline(self, place, engine, endpoint):
        """Return a place with the moment at which a request must have begun there.

        Parameters
        ----------
        place : Place
        engine : EngineProfile
        endpoint : Endpoint
            The one of the place.

        Returns
        -------
        Place
        """
        version = place.weights_version
        if not engine.layers or version is None:
            return place
        too_old_at = self._too_old_at(engine, version)
        if too_old_at is None:
            return place
        # Seconds by which the clock of declarations is ahead of that of deadlines.
        suspended = self.contact_now - self.now
        deadline = too_old_at - suspended - self._withdraw_margin(endpoint)
        return replace(place, begin_deadline=deadline)

    def _withdraw_margin(self, endpoint):
        """Return the seconds before a bound at which a request is taken back."""
        near = endpoint.is_in(self.failure_domain)
        margin = WITHDRAW_MARGIN if near else WITHDRAW_MARGIN_FAR
        # What is taken back crosses the same link as the pieces that fill it. Where
        # that takes longer than is kept for it, the engine begins the request on
        # weights that are too old, and the log says that it was withdrawn.
        return max(margin, endpoint.link_delay + TIMER_LATENCY)

    def _is_newest(self, endpoint, engine):
        """Tell whether nothing is known that makes an engine's weights too old.

        That is so for all engines but in the seconds in which a version spreads, so
        it is looked at before a time to the first token is worked out. What only
        agents told counts as well: it binds from the same moment.
        """
        version = endpoint.weights_version
        if not engine.layers or version is None:
            return True
        return self._too_old_at(engine, version) is None

    def _too_old_at(self, engine, version):
        """Return from when a version may not begin, None if nothing newer is known."""
        key = engine.model, version
        if key not in self._too_old_at_by_version:
            self._too_old_at_by_version[key] = self.declared.too_old_at(
                engine.model, version, bound=self.version_bound
            )
        return self._too_old_at_by_version[key]

    def _has_weights(self, endpoint, engine, ask):
        if endpoint.loading:
            return False
        if engine.layers and endpoint.layers != (0, engine.layers):
            return False
        version = endpoint.weights_version
        if ask.same_version is not None:
            return version == ask.same_version
        return not engine.layers or version is not None
