"""Max-min fair shares of the admitted work, by organisation."""

from hawthornspoke.base import DecayingRate

#: Time constant in seconds of the counts. One host gets a few requests of a small
#: organisation in this time.
TIME_CONSTANT = 8.0

#: Seconds after its last request until an organisation is forgotten. A twentieth of
#: what it asked for counts then; however little that is, another organisation could be
#: above its share by it.
KEPT_TIME = 3 * TIME_CONSTANT

#: Work of an answer token, in prompt tokens: in the time of a step, an engine generates
#: one token of each running request, or reads some ten prompt tokens for each of them.
ANSWER_TOKEN_WORK = 10.0


def work_of(request):
    """Return the work of a request in prompt tokens.

    Parameters
    ----------
    request : PlacementRequest

    Returns
    -------
    float
    """
    return request.prompt_tokens + ANSWER_TOKEN_WORK * request.answer_tokens


def fair_level(demands, total):
    """Return the most that anyone gets of a total that is shared max-min fairly.

    Parameters
    ----------
    demands : iterable of float
    total : float

    Returns
    -------
    float
        Demands below the level are met in full, and what they leave goes to the others;
        infinite if all are met.
    """
    left = total
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return level
        left -= demand
    return float("inf")


class FairShares:
    """Counts the work that organisations ask for and that is admitted."""

    __slots__ = ("_asked", "_admitted", "_forget_at")

    def __init__(self):
        self._asked = {}
        self._admitted = {}
        # In the order of the organisations' last requests.
        self._forget_at = {}

    def count(self, request, now, *, is_placed):
        """Count the first try of a request.

        Parameters
        ----------
        request : PlacementRequest
        now : float
        is_placed : bool
            Whether an endpoint was selected.
        """
        self._forget(now)
        name = request.organisation
        self._forget_at.pop(name, None)
        self._forget_at[name] = now + KEPT_TIME
        if name not in self._asked:
            self._asked[name] = DecayingRate(time_constant=TIME_CONSTANT)
            self._admitted[name] = DecayingRate(time_constant=TIME_CONSTANT)
        work = work_of(request)
        self._asked[name].count(now, work)
        if is_placed:
            self._admitted[name].count(now, work)

    def is_above(self, organisation, now):
        """Return whether an organisation has received more than its fair share.

        Parameters
        ----------
        organisation : str
        now : float

        Returns
        -------
        bool
        """
        self._forget(now)
        admitted = self._admitted.get(organisation)
        if admitted is None or len(self._asked) < 2:
            return False
        return admitted.value(now) > self._level(now)

    def dump(self, *, now):
        """Return the admitted work per second by organisation, and the fair level."""
        level = self._level(now)
        return {
            "fair_work": None if level == float("inf") else round(level, 1),
            "admitted_work_by_organisation": {
                name: round(rate.value(now), 1) for name, rate in self._admitted.items()
            },
        }

    def _forget(self, now):
        """Forget the organisations that have sent no requests for long."""
        while self._forget_at:
            name, forget_at = next(iter(self._forget_at.items()))
            if now < forget_at:
                return
            del self._forget_at[name], self._asked[name], self._admitted[name]

    def _level(self, now):
        return fair_level(
            [rate.value(now) for rate in self._asked.values()],
            sum(rate.value(now) for rate in self._admitted.values()),
        )
