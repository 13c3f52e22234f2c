"""Admission level: requests below a bound of their urgency are refused."""

from hawthornspoke.admission._capacity import NO_SLOT
from hawthornspoke.admission._policy import RANK_POLICIES, RankPolicy

#: Seconds between two changes of the level.
UPDATE_INTERVAL = 0.5

#: Share of the most urgent requests refused above which the level falls.
MAX_REFUSED_SHARE = 0.05

#: Ranks by which the level falls or rises at once. It rises more slowly, since each
#: rise is a trial that urgent requests pay for.
FALL, RISE = 0.3, 0.1

#: Lowest level: the most urgent rank is always admitted.
MIN_LEVEL = 1.0


@RANK_POLICIES.register("admission_level")
class AdmissionLevel(RankPolicy):
    """Admits requests down to a level, which follows whether urgent ones are placed.

    As in DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018)
    the level divides a rank into parts; a request belongs to a random one.
    """

    __slots__ = ("_level", "_update_at", "_asked", "_refused")

    def __init__(self, *, steps, rng):
        super().__init__(steps=steps, rng=rng)
        self._level = float(steps)
        self._update_at = 0.0
        self._asked = self._refused = 0

    def count(self, step, now, *, is_placed):
        """Count the first try of a request."""
        if step == 0:
            self._asked += 1
            self._refused += not is_placed
        if now >= self._update_at:
            self._update_level()
            self._update_at = now + UPDATE_INTERVAL

    def reserved_slots(self, step, capacity, now, *, scarcity):
        """Return 0 for an admitted request, ``NO_SLOT`` for any other."""
        return 0 if step + self.rng.random() < self._level else NO_SLOT

    def dump(self, *, now):
        """Return the level."""
        return {"level": round(self._level, 2)}

    def _update_level(self):
        if self._refused > MAX_REFUSED_SHARE * self._asked:
            self._level = max(MIN_LEVEL, self._level - FALL)
        else:
            self._level = min(float(self.steps), self._level + RISE)
        self._asked = self._refused = 0
