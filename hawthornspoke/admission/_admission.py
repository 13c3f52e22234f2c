"""Admission of one service's requests at one entry host."""

from bisect import bisect_left

from hawthornspoke.admission._capacity import AdmissionLimit
from hawthornspoke.admission._fair_share import FairShares
from hawthornspoke.admission._policy import RANK_POLICIES
from hawthornspoke.admission._scarcity import Scarcity
from hawthornspoke.admission._served_shares import ServedShares

#: Policy unless another one is chosen; ``benchmarks/admission.py`` compares them.
DEFAULT_POLICY = "trunk_reservation"

#: Steps by which a retry is less urgent than a first try. A retry is late already, and
#: must not displace what can be on time.
RETRY_STEPS = 1.0

#: Steps by which requests of an organisation above its fair share are less urgent than
#: others of their rank: less than a rank, so that ranks stay in order.
ABOVE_SHARE_STEPS = 0.5

#: Served share of a rank from which its organisations don't compete.
WELL_SERVED_SHARE = 0.8


class ServiceAdmission:
    """Decides which requests for one service may take the last free slots.

    Hosts decide by their own requests and the engines' loads, and exchange no messages.

    Parameters
    ----------
    policy : str
        Name in ``RANK_POLICIES``.
    rng : random.Random
    """

    __slots__ = (
        "_policy_name",
        "_rng",
        "_ranks",
        "_policy",
        "_scarcity",
        "_by_rank",
        "_organisations_by_rank",
    )

    def __init__(self, *, policy, rng):
        self._policy_name = policy
        self._rng = rng
        self._ranks = []
        self._policy = None
        self._scarcity = Scarcity()
        self._by_rank = ServedShares()
        self._organisations_by_rank = {}

    @property
    def is_active(self):
        """Whether there are several ranks to decide between."""
        return len(self._ranks) > 1

    def set_ranks(self, ranks):
        """Set the ranks that requests may have.

        Parameters
        ----------
        ranks : iterable of int
        """
        ranks = sorted(ranks)
        if ranks == self._ranks:
            return
        self._ranks = ranks
        policy_class = RANK_POLICIES.get(self._policy_name)
        self._policy = policy_class(steps=len(ranks), rng=self._rng)
        self._by_rank = ServedShares()
        self._organisations_by_rank = {}

    def limit(self, request, capacity, now):
        """Return what a request may take of the engines.

        Parameters
        ----------
        request : PlacementRequest
        capacity : callable
            Returns the SharedCapacity.
        now : float

        Returns
        -------
        AdmissionLimit or None
            None without scarcity, and for the rest of a stream that was cut off.
        """
        scarcity = self._scarcity.value(now)
        if scarcity == 0.0 or request.required_version is not None:
            return None
        step = self._step_within_ranks(request, now)
        reserved_slots = None
        if step > 0:
            reserved_slots = self._policy.reserved_slots(
                step, capacity(), now, scarcity=scarcity
            )
        return AdmissionLimit(
            reserved_slots=reserved_slots,
            queue_share=self._by_rank.placed_share(
                lambda rank: rank <= request.rank, now
            ),
            scarcity=scarcity,
            step=step,
        )

    def count_outcome(self, request, now, *, is_placed):
        """Count the outcome of a request's first try.

        Parameters
        ----------
        request : PlacementRequest
            Retries are not counted.
        now : float
        is_placed : bool
            Whether an endpoint was selected.
        """
        if request.is_retry:
            return
        self._scarcity.count(now, is_placed=is_placed)
        self._by_rank.count(request.rank, now, is_placed=is_placed)
        self._fair_shares(request.rank).count(request, now, is_placed=is_placed)
        self._policy.count(self._step(request), now, is_placed=is_placed)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "ranks": self._ranks,
            "scarcity": round(self._scarcity.value(now), 2),
            "served_share_by_rank": self._by_rank.dump(now=now),
            "organisations_by_rank": {
                str(rank): shares.dump(now=now)
                for rank, shares in sorted(self._organisations_by_rank.items())
            },
            **self._policy.dump(now=now),
        }

    def _step_within_ranks(self, request, now):
        """Return a request's step by its rank, its organisation and earlier tries."""
        step = self._step(request)
        if self._rng.random() < self._by_rank.starvation(request.rank, now):
            step = 0
        elif self._is_deferred(request, now):
            step += ABOVE_SHARE_STEPS
        if request.is_retry:
            step += RETRY_STEPS
        return step

    def _is_deferred(self, request, now):
        """Return whether other organisations' requests of the same rank come first."""
        if self._by_rank.share(request.rank, now) >= WELL_SERVED_SHARE:
            return False
        return self._fair_shares(request.rank).is_above(request.organisation, now)

    def _fair_shares(self, rank):
        """Return the shares of the organisations within a rank."""
        shares = self._organisations_by_rank.get(rank)
        if shares is None:
            shares = self._organisations_by_rank[rank] = FairShares()
        return shares

    def _step(self, request):
        """Return the position of a request's rank, 0 for the most urgent."""
        return min(bisect_left(self._ranks, request.rank), len(self._ranks) - 1)
