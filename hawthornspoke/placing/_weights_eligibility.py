"""Decides which weights versions may start requests, and until when.

Once ``version_bound`` seconds have passed since the declaration of a version, only this
or a newer version may start requests: at this bound, older versions expire. A request
that was sent to older weights and hasn't started ``WITHDRAW_MARGIN`` seconds before the
bound is withdrawn from the engine. Until then older weights serve all requests that are
expected to start in time. Excluding them earlier left whole fleets idle for a second
before each bound, with no newer weights ready. If newer weights can serve a request as
well, they are preferred from ``version_margin`` seconds before the bound: on older ones
a request that starts later than expected would be withdrawn needlessly.
"""

import enum
from dataclasses import replace

from hawthornspoke.placing._predict import expected_first_token

#: Seconds before the bound at which a request that has not started on older weights is
#: withdrawn. On a link saturated by weight transfers the withdrawal takes 0.18 s to
#: reach the engine, and timers of a busy process fire 0.1 s late.
WITHDRAW_MARGIN = 0.4

#: The same margin for engines of other failure domains: links between failure domains
#: carry weights and configurations too, and their queueing delay isn't measured.
WITHDRAW_MARGIN_FAR = 0.6

#: Seconds by which timers of a busy process fire late.
TIMER_LATENCY = 0.15

#: Multiple of the expected time to first token within which a request is assumed to
#: start on an engine of usual speed.
START_FACTOR = 1.5

#: Increase of START_FACTOR per unit of the engine's slowdown, which may have grown
#: since it was reported. With a slowdown of 4, 1.05 s were measured
#: where 0.4 s were expected.
START_FACTOR_SLOWDOWN = 0.6

#: Replaces START_FACTOR if newer weights can serve the request as well. It is larger,
#: so that older weights are used only if the request almost certainly starts in time.
START_FACTOR_SURE = 2.0


class StartForecast(enum.Enum):
    """Whether a request starts before an engine's weights expire."""

    TOO_LATE = "too_late"
    EXPECTED = "expected"
    #: In time with a safety margin.
    SURE = "sure"


class WeightsEligibility:
    """Decides which endpoints have eligible weights at one point in time.

    Weights are eligible for a request if all layers are loaded, the request starts
    before they expire, and they have the version that it requires, if any.

    Parameters
    ----------
    declared : DeclaredVersions
    version_bound : float
        Seconds after the declaration of a version from which only this or a newer
        version may start requests.
    version_margin : float
        Seconds before the bound from which older versions lose precedence.
    failure_domain : str
        Of this host.
    boottime_now : float
        Current time on the clock that includes suspended time, which is the clock of
        declarations.
    now : float
        Current time on the monotonic clock, which is the clock of deadlines.
    """

    __slots__ = (
        "declared",
        "version_bound",
        "version_margin",
        "boottime_now",
        "now",
        "failure_domain",
        "_expires_at_by_version",
    )

    def __init__(
        self,
        *,
        declared,
        version_bound,
        version_margin,
        failure_domain,
        boottime_now,
        now,
    ):
        self.declared = declared
        self.version_bound = version_bound
        self.version_margin = version_margin
        self.boottime_now = boottime_now
        self.now = now
        self.failure_domain = failure_domain
        self._expires_at_by_version = {}

    def allows(self, endpoint, engine, request):
        """Return whether an engine has eligible weights and starts a request in time.

        Parameters
        ----------
        endpoint : Endpoint
        engine : EngineProfile
        request : PlacementRequest

        Returns
        -------
        bool
        """
        if not self._has_weights(endpoint, engine, request):
            return False
        if self._is_newest(endpoint, engine):
            return True
        expected = expected_first_token(
            endpoint, engine, request, load=endpoint.load, now=self.now
        )
        return self.forecast(endpoint, engine, expected) is not StartForecast.TOO_LATE

    def forecast(self, endpoint, engine, expected):
        """Return whether a request starts before an engine's weights expire.

        Parameters
        ----------
        endpoint : Endpoint
        engine : EngineProfile
        expected : float
            Time to first token in seconds.

        Returns
        -------
        StartForecast
        """
        if self._is_newest(endpoint, engine):
            return StartForecast.SURE
        left = self._expires_at(engine, endpoint.weights_version) - self.boottime_now
        if START_FACTOR_SURE * expected < left - self.version_margin:
            return StartForecast.SURE
        factor = START_FACTOR + START_FACTOR_SLOWDOWN * max(0.0, endpoint.pace - 1.0)
        if factor * expected <= left - self._withdraw_margin(endpoint):
            return StartForecast.EXPECTED
        return StartForecast.TOO_LATE

    def with_deadline(self, placement, engine, endpoint):
        """Return a Placement with the deadline by which the request must have started.

        Parameters
        ----------
        placement : Placement
        engine : EngineProfile
        endpoint : Endpoint
            The endpoint of the Placement.

        Returns
        -------
        Placement
        """
        version = placement.weights_version
        if not engine.layers or version is None:
            return placement
        expires_at = self._expires_at(engine, version)
        if expires_at is None:
            return placement
        # Time for which the host was suspended, which the clock of deadlines excludes.
        suspended = self.boottime_now - self.now
        deadline = expires_at - suspended - self._withdraw_margin(endpoint)
        return replace(placement, start_deadline=deadline)

    def _withdraw_margin(self, endpoint):
        """Return the seconds before the bound at which a request is withdrawn."""
        near = endpoint.is_in(self.failure_domain)
        margin = WITHDRAW_MARGIN if near else WITHDRAW_MARGIN_FAR
        # The withdrawal shares the link with the transfers that saturate it. If it
        # takes longer than the margin, the engine starts the request on expired
        # weights while the log reports a withdrawal.
        return max(margin, endpoint.link_delay + TIMER_LATENCY)

    def _is_newest(self, endpoint, engine):
        """Return whether no newer version limits the use of an engine's weights.

        This holds for all engines except during the seconds of a rollout, so it is
        checked before the time to first token is computed. Declarations known only from
        agents' reports count as well, since they take effect at the same time.
        """
        version = endpoint.weights_version
        if not engine.layers or version is None:
            return True
        return self._expires_at(engine, version) is None

    def _expires_at(self, engine, version):
        """Return when a version expires, None if no newer one is known."""
        key = engine.model, version
        if key not in self._expires_at_by_version:
            self._expires_at_by_version[key] = self.declared.expires_at(
                engine.model, version, bound=self.version_bound
            )
        return self._expires_at_by_version[key]

    def _has_weights(self, endpoint, engine, request):
        if endpoint.loading:
            return False
        if engine.layers and endpoint.layers != (0, engine.layers):
            return False
        version = endpoint.weights_version
        if request.required_version is not None:
            return version == request.required_version
        return not engine.layers or version is not None
