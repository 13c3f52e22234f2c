"""Subsetting: the engines that an entry host prefers and gets frequent reports from.

Limits the reporting load with many hosts: if 99 entry hosts got each load change of
150 engines, there would be 29,000 reports a second in all, and encoding and decoding
them would take longer than the requests. A host that prefers a few engines needs
frequent reports from these only.
"""

from hawthornspoke.base import DecayingRate, rendezvous_order

#: Minimum number of engines of the own failure domain in a subset. Fewer would be full
#: at once while others have capacity; eight engines have 64 slots, of which a burst of
#: one host's callers takes a small part.
MIN_NEAR_ENGINES = 8

#: Minimum number of hosts that share an engine. With one or two, an engine would be
#: idle or full depending on the callers of a single host.
MIN_HOSTS_PER_ENGINE = 3

#: Maximum number of engines of other failure domains in a subset. They are needed only
#: if the own failure domain is full; 24 take the overflow of one host.
MAX_FAR_ENGINES = 24

#: Share of requests without a free slot in the subset above which the subset doubles,
#: and below which it halves. With eight engines the upper threshold is exceeded once
#: nine slots in ten are occupied.
WIDEN_THRESHOLD = 0.03
NARROW_THRESHOLD = 0.005

#: Seconds after widening or narrowing the subset in which it isn't changed again. The
#: loads of added engines are known after half a second. The subset narrows more slowly,
#: since a burst lasts for seconds and recurs.
WIDEN_COOLDOWN = 0.5
NARROW_COOLDOWN = 4.0

#: Requests a second below which too few are counted for that share to be significant.
MIN_REQUEST_RATE = 2.0


class Subset:
    """The engines of one service that a host prefers.

    The engines of the own failure domain form a ring that is the same on every host.
    Each host takes a window of consecutive engines that starts at its own position, so
    that hosts per engine differ by one at most, and few assignments change if a host or
    an engine joins or leaves.

    Parameters
    ----------
    host : str
        Identifies this host; it determines the choice of far engines.

    Attributes
    ----------
    added_at_by_id : dict of str to float
        When each engine in the subset was added to it, by engine id.
    near_share, far_share : float
        Fraction of the own failure domain's engines that are in the subset, and of the
        engines of other failure domains.
    """

    __slots__ = (
        "host",
        "position",
        "hosts",
        "width",
        "added_at_by_id",
        "near_share",
        "far_share",
        "_near",
        "_far",
        "_request_rate",
        "_spill_rate",
        "_change_deadline",
    )

    def __init__(self, *, host):
        self.host = host
        self.position = 0
        self.hosts = 1
        self.width = MIN_NEAR_ENGINES
        self.added_at_by_id = {}
        self.near_share = self.far_share = 1.0
        self._near = ()
        self._far = ()
        self._request_rate = DecayingRate()
        self._spill_rate = DecayingRate()
        self._change_deadline = float("-inf")

    @property
    def is_known(self):
        """Whether any engines are known; until then all report frequently."""
        return bool(self._near or self._far)

    def set_position(self, *, position, hosts, now):
        """Set the position of this host among those of its failure domain.

        Parameters
        ----------
        position : int
            From 0.
        hosts : int
        now : float
        """
        if (position, hosts) != (self.position, self.hosts):
            self.position, self.hosts = position, hosts
            self._recompute(now)

    def set_engines(self, *, near, far, now):
        """Set the available engines.

        Parameters
        ----------
        near, far : iterable of str
            Ids of the engines in the own failure domain, and in others.
        now : float
        """
        near, far = set(near), set(far)
        # Called twice a second, usually with the same engines. The order in which they
        # are given doesn't matter.
        if (near, far) == (set(self._near), set(self._far)):
            return
        self._near = tuple(rendezvous_order(key="ring", nodes=near))
        self._far = tuple(rendezvous_order(key=self.host, nodes=far))
        self._recompute(now)

    def record_request(self, *, spilled, now):
        """Record a request, and widen or narrow the subset if necessary.

        Parameters
        ----------
        spilled : bool
            Whether it found no free slot in the subset.
        now : float
        """
        self._request_rate.count(now)
        if spilled:
            self._spill_rate.count(now)
        request_rate = self._request_rate.value(now)
        if now < self._change_deadline or request_rate < MIN_REQUEST_RATE:
            return
        share = self._spill_rate.value(now) / request_rate
        if share >= WIDEN_THRESHOLD and self._effective_width() < len(self._near):
            self.width = 2 * self._effective_width()
            self._change_deadline = now + WIDEN_COOLDOWN
        elif share <= NARROW_THRESHOLD and self.width > MIN_NEAR_ENGINES:
            self.width = max(MIN_NEAR_ENGINES, self.width // 2)
            self._change_deadline = now + NARROW_COOLDOWN
        else:
            return
        self._recompute(now)

    def widen_to_all(self, now):
        """Extend the subset to all engines of the failure domain.

        Called if none of them can serve a request in time according to their reports.
        Engines outside the subset report once a second only, so newer reports are
        needed.
        """
        if self._effective_width() < len(self._near):
            self.width = len(self._near)
            self._change_deadline = now + NARROW_COOLDOWN
            self._recompute(now)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "position": [self.position, self.hosts],
            "width": self._effective_width(),
            "engines": [len(self._near), len(self._far)],
            "spilled": round(self._spill_rate.value(now), 2),
        }

    def _effective_width(self):
        min_width = -(-MIN_HOSTS_PER_ENGINE * len(self._near) // max(1, self.hosts))
        return min(len(self._near), max(self.width, min_width))

    def _recompute(self, now):
        """Take this host's window of the ring and the first of the far engines."""
        count, width = len(self._near), self._effective_width()
        first = self.position * count // max(1, self.hosts)
        near = [self._near[(first + step) % count] for step in range(width)]
        far = self._far[:MAX_FAR_ENGINES]
        before = self.added_at_by_id
        self.added_at_by_id = {key: before.get(key, now) for key in (*near, *far)}
        self.near_share = width / count if count else 1.0
        self.far_share = len(far) / len(self._far) if self._far else 1.0
