"""Ages of declarations in a message, and the bounds that they prove."""

import math
from dataclasses import dataclass

from hawthornspoke.catalog import UNKNOWN_TIME, DeclarationBounds
from hawthornspoke.protocol import DeclaredAge

MICROSECONDS = 1_000_000

#: Maximum age in milliseconds: ten years.
MAX_AGE_MS = 10 * 365 * 86_400_000

#: Milliseconds that the age in a directive without a time may be too low by: older
#: programs round it down.
ROUNDING_MS = 1


def declared_age(bounds, now):
    """Return the age of a declaration as messages state it.

    Parameters
    ----------
    bounds : DeclarationBounds
        Proven bounds.
    now : float
        Time of the message, in seconds of ``boottime_clock``.

    Returns
    -------
    DeclaredAge
    """
    age_ms = known_ms = None
    if bounds.earliest != UNKNOWN_TIME:
        age_ms = math.ceil(1000 * (now - bounds.earliest))
    if bounds.latest < float("inf"):
        known_ms = max(0, math.floor(1000 * (now - bounds.latest)))
    return DeclaredAge(version=bounds.version, age_ms=age_ms, known_ms=known_ms)


def made_us(now):
    """Return the time of a message as messages state it, in whole microseconds."""
    return int(now * MICROSECONDS)


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclarationReport:
    """What a message states about declarations of one model.

    Parameters
    ----------
    model : str or None
    made_us : int or None
        When the message was made, on its sender's clock; None if it doesn't state it.
    declared : tuple of DeclaredAge
    """

    model: str | None
    made_us: int | None
    declared: tuple

    @classmethod
    def from_directive(cls, directive):
        """Return the report in a Directive; its first version is the declared one."""
        age_ms = directive.age_ms
        if age_ms is not None and directive.made_us is None:
            age_ms += ROUNDING_MS
        newest = DeclaredAge(
            version=directive.weights_version,
            age_ms=age_ms,
            known_ms=directive.known_ms,
        )
        return cls(
            model=directive.model,
            made_us=directive.made_us,
            declared=(newest, *(directive.earlier_versions or ())),
        )

    @classmethod
    def from_state(cls, state):
        """Return the report in an EngineState."""
        declared = tuple(state.declared or ())
        if state.made_us is not None:
            # For receivers that count it from the arrival, the age contains the delay.
            delay_ms = max(0, state.link_delay_ms or 0)
            declared = tuple(
                DeclaredAge(
                    version=item.version,
                    age_ms=None if item.age_ms is None else item.age_ms - delay_ms,
                    known_ms=item.known_ms,
                )
                for item in declared
            )
        return cls(model=state.model, made_us=state.made_us, declared=declared)

    def bounds(self, *, earliest_made, latest_made):
        """Return what the report proves.

        Parameters
        ----------
        earliest_made, latest_made : float
            Bounds on the time of the message, in seconds of ``boottime_clock``.

        Returns
        -------
        tuple of DeclarationBounds
            Versions with invalid ages are omitted.
        """
        return tuple(
            DeclarationBounds(
                version=item.version,
                earliest=(
                    UNKNOWN_TIME
                    if item.age_ms is None
                    else earliest_made - item.age_ms / 1000
                ),
                latest=latest_made - (item.known_ms or 0) / 1000,
            )
            for item in self.declared
            if _is_valid(item)
        )


def _is_valid(item):
    if item.version is None:
        return False
    known_ms = item.known_ms or 0
    age_ms = known_ms if item.age_ms is None else item.age_ms
    return 0 <= known_ms <= age_ms <= MAX_AGE_MS
