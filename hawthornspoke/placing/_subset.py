"""Which engines an entry host sends to first, and hears of often.

Answers the load of many hosts: where each of 99 entry hosts hears each change at each
of 150 engines, engines tell 29,000 loads a second in all, and reading and writing
these takes longer than the requests. A host that keeps to a few engines needs to hear
only of these.
"""

from hawthornspoke.base import rendezvous_order
from hawthornspoke.placing._herd import DecayingRate

#: Engines of the own failure domain that a host keeps to at the least. Fewer would
#: be full together while their neighbours have room: with 64 slots of eight engines
#: a burst of one host's callers is a small part of them.
LEAST_NEAR = 8

#: Hosts that keep to each engine at the least. With one or two an engine would stand
#: idle, or be full, with the callers of a single host.
MIN_HOSTS_PER_ENGINE = 3

#: Engines of other failure domains that a host hears of often. They are needed only
#: when the own has no room; two dozen take what overflows from one host.
MAX_FAR_ENGINES = 24

#: Share of the requests that find no free slot among the engines that a host keeps to
#: from which it keeps to twice as many, and below which to half as many. With eight
#: engines the first is exceeded from nine slots in ten taken on.
WIDEN_THRESHOLD = 0.03
NARROW_THRESHOLD = 0.005

#: Seconds between two widenings: the loads of the engines that were added are known
#: half a second later. A narrowing waits longer, since a burst lasts for seconds and
#: returns.
WIDEN_COOLDOWN = 0.5
NARROW_COOLDOWN = 4.0

#: Requests a second below which the share that finds no room tells nothing.
MIN_REQUEST_RATE = 2.0


class Subset:
    """The engines of one service that a host keeps to.

    The engines of the own failure domain form a ring that is the same on every host.
    Each host takes as many in a row, beginning at its own place, so that all engines
    have as many hosts but for one, and a host or engine that comes or goes moves few.

    Parameters
    ----------
    host : str
        What tells this host from others; far engines are drawn by it.

    Attributes
    ----------
    since_by_id : dict of str to float
        By id of each engine that this host keeps to, or hears of often: since when.
    near_share, far_share : float
        Share of the engines in the own failure domain, and in others, that these are.
    """

    __slots__ = (
        "host",
        "position",
        "hosts",
        "width",
        "since_by_id",
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
        self.width = LEAST_NEAR
        self.since_by_id = {}
        self.near_share = self.far_share = 1.0
        self._near = ()
        self._far = ()
        self._request_rate = DecayingRate()
        self._spill_rate = DecayingRate()
        self._change_deadline = float("-inf")

    @property
    def is_known(self):
        """Whether the engines are known; until then all are heard of often."""
        return bool(self._near or self._far)

    def place(self, *, position, hosts, now):
        """Take the place of this host among those of its failure domain.

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
        """Take the engines that are there.

        Parameters
        ----------
        near, far : iterable of str
            Ids of those in the own failure domain, and in others.
        now : float
        """
        near, far = set(near), set(far)
        # Told twice a second; both orders follow from who is there.
        if (near, far) == (set(self._near), set(self._far)):
            return
        self._near = tuple(rendezvous_order(key="ring", nodes=near))
        self._far = tuple(rendezvous_order(key=self.host, nodes=far))
        self._recompute(now)

    def count(self, *, spilled, now):
        """Count a request, and keep to more or fewer engines if it is time to.

        Parameters
        ----------
        spilled : bool
            Whether it found no room among the engines that this host keeps to.
        now : float
        """
        self._request_rate.count(now)
        if spilled:
            self._spill_rate.count(now)
        asked = self._request_rate.value(now)
        if now < self._change_deadline or asked < MIN_REQUEST_RATE:
            return
        share = self._spill_rate.value(now) / asked
        if share >= WIDEN_THRESHOLD and self._effective_width() < len(self._near):
            self.width = 2 * self._effective_width()
            self._change_deadline = now + WIDEN_COOLDOWN
        elif share <= NARROW_THRESHOLD and self.width > LEAST_NEAR:
            self.width = max(LEAST_NEAR, self.width // 2)
            self._change_deadline = now + NARROW_COOLDOWN
        else:
            return
        self._recompute(now)

    def widen(self, now):
        """Keep to all engines of the failure domain.

        None of them answers the next caller in time, by loads that are a second old
        for those that this host did not keep to: it must know better.
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
        least = -(-MIN_HOSTS_PER_ENGINE * len(self._near) // max(1, self.hosts))
        return min(len(self._near), max(self.width, least))

    def _recompute(self, now):
        """Take the own window of the ring, and the first of the far engines."""
        count, width = len(self._near), self._effective_width()
        first = self.position * count // max(1, self.hosts)
        near = [self._near[(first + step) % count] for step in range(width)]
        far = self._far[:MAX_FAR_ENGINES]
        before = self.since_by_id
        self.since_by_id = {key: before.get(key, now) for key in (*near, *far)}
        self.near_share = width / count if count else 1.0
        self.far_share = len(far) / len(self._far) if self._far else 1.0
