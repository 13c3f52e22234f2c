"""Which weights may begin to answer, and until when.

A bound after its declaration only a version or a newer one may begin to answer. Two
margins keep it, one for each step of a request that goes to an older version:
``SEND_MARGIN`` before the bound nothing more is sent there; what was sent before and
has not begun ``WITHDRAW_MARGIN`` before the bound is taken back. The first holds the
way there, the engine's time to the first token and the second, so it is the larger
one. Between the two a request that was sent in time may still begin.
"""

from dataclasses import replace

from hawthornspoke.placing._predict import first_token_at

#: Seconds before a bound at which a request that has not begun on older weights is
#: taken back. Its end needs as long to reach the engine as anything else on a link
#: full of pieces, 0.18 s as seen, and a busy process notices the time 0.1 s late.
WITHDRAW_MARGIN = 0.4

#: The same for engines of other failure domains: links between regions carry pieces
#: and configurations too, and nobody measures how long a message waits there.
WITHDRAW_MARGIN_FAR = 0.6

#: Seconds by which a busy process notices a time late.
TIMER_LATE = 0.15

#: Times the expected time to the first token after which a request is taken to have
#: begun. On an engine four times slower than usual 1.05 s were seen for 0.4 s.
BEGIN_SHARE = 2.0


class Validity:
    """What may answer at one moment.

    Parameters
    ----------
    declared : DeclaredVersions
    version_bound : float
        Seconds after its declaration from which only a version or a newer one may
        begin to answer.
    version_margin : float
        Seconds before that from which nothing is sent to an older version.
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
        "_floor_by_model",
        "_is_newest_by_version",
    )

    def __init__(self, *, declared, version_bound, version_margin, contact_now, now):
        self.declared = declared
        self.version_bound = version_bound
        self.version_margin = version_margin
        self.contact_now = contact_now
        self.now = now
        self._floor_by_model = {}
        self._is_newest_by_version = {}

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
        expected = first_token_at(endpoint, engine, ask, load=endpoint.load)
        return self.begins_in_time(endpoint, engine, expected)

    def begins_in_time(self, endpoint, engine, expected):
        """Tell whether a request begins before an engine's weights are too old.

        One that is full, or slow, begins it later than the margin allows for.

        Parameters
        ----------
        endpoint : Endpoint
        engine : EngineProfile
        expected : float
            Seconds to the first token.

        Returns
        -------
        bool
        """
        if self._is_newest(endpoint, engine):
            return True
        begins = self.contact_now + BEGIN_SHARE * expected
        return endpoint.weights_version >= self._floor(engine.model, begins)

    def with_deadline(self, place, engine, *, near, link_delay):
        """Return a place with the moment at which a request must have begun there.

        Parameters
        ----------
        place : Place
        engine : EngineProfile
        near : bool
            Whether it is in the failure domain of this host.
        link_delay : float
            Seconds that a message waits on the way there.

        Returns
        -------
        Place
        """
        if not engine.layers or place.weights_version is None:
            return place
        too_old_at = self.declared.too_old_at(
            engine.model, place.weights_version, bound=self.version_bound
        )
        if too_old_at is None:
            return place
        # Seconds by which the clock of declarations is ahead of that of deadlines.
        suspended = self.contact_now - self.now
        margin = WITHDRAW_MARGIN if near else WITHDRAW_MARGIN_FAR
        # What is taken back crosses the same link as the pieces that fill it. Where
        # that takes longer than is kept for it, the engine begins the request on
        # weights that are too old, and the log says that it was withdrawn.
        margin = max(margin, link_delay + TIMER_LATE)
        return replace(place, begin_deadline=too_old_at - suspended - margin)

    def _is_newest(self, endpoint, engine):
        """Tell whether nothing is known that makes an engine's weights too old.

        That is so for all engines but in the seconds in which a version spreads, so
        it is looked at before a time to the first token is worked out. What only
        agents told counts as well: it binds from the same moment.
        """
        version = endpoint.weights_version
        if not engine.layers or version is None:
            return True
        key = engine.model, version
        if key not in self._is_newest_by_version:
            too_old_at = self.declared.too_old_at(
                engine.model, version, bound=self.version_bound
            )
            self._is_newest_by_version[key] = too_old_at is None
        return self._is_newest_by_version[key]

    def _floor(self, model, contact_now):
        """Return the oldest version to which something may be sent at a moment."""
        return self.declared.floor(
            model, bound=self.version_bound - self.version_margin, now=contact_now
        )

    def _floor_now(self, model):
        """Return the same for the moment of the question, found once for it."""
        floor = self._floor_by_model.get(model)
        if floor is None:
            floor = self._floor(model, self.contact_now)
            self._floor_by_model[model] = floor
        return floor

    def _has_weights(self, endpoint, engine, ask):
        if endpoint.loading:
            return False
        if engine.layers and endpoint.layers != (0, engine.layers):
            return False
        version = endpoint.weights_version
        if ask.same_version is not None:
            return version == ask.same_version
        if not engine.layers:
            return True
        if version is None:
            return False
        return version >= self._floor_now(engine.model)
