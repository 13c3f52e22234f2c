"""State machine that grants permits at the rate that an endpoint accepts."""

from hawthornspoke.base import MACHINES, Bounds, Machine
from hawthornspoke.permits._messages import (
    PermitClaimed,
    PermitsDenied,
    PermitsGranted,
    RateLimitReported,
    RateLimitUpdated,
)

#: Messages that the machine handles.
MESSAGES = (PermitClaimed, RateLimitReported)

#: Minimum rate of permits in requests per second. An endpoint that accepts none still
#: gets a request from time to time, as only its responses show that the limit ended.
MIN_RATE = 0.1

#: Permits that are granted at once, in seconds of the rate; at least one. With one at a
#: time, the round trip of a claim would bound what an entry host can send.
BATCH_TIME = 0.25

#: Seconds after the last claim or report until a limit, or its end, is forgotten.
LIMIT_LIFETIME = 30.0


class _EndpointPermits:
    """Permits of an endpoint; its ``rate`` is None if the limit has ended."""

    __slots__ = ("rate", "incarnation", "next_at", "heard_at", "stale_deadline")

    def __init__(self, *, rate, incarnation, next_at):
        self.rate = rate
        self.incarnation = incarnation
        self.next_at = next_at
        self.heard_at = next_at
        self.stale_deadline = next_at


@MACHINES.register("permit_allocator")
class PermitAllocator(Machine):
    """Grants permits for requests to endpoints that name a rate limit.

    Entry hosts claim permits for an endpoint from the same allocator, so that the sum
    of their requests stays within the limit whatever their share of the load is.

    Parameters
    ----------
    max_lead : float, default=1.0
        Seconds before a permit becomes usable from which it may be granted.
    validity : float, default=1.0
        Seconds for which a permit is usable. Permits that are used late add to those of
        the next seconds, so any window gets at most the requests of a window that is
        longer by this time.
    takeover_delay : float, default=1.0
        Seconds before the first permit of a limit that is learned from a claim: another
        allocator that has ended may have granted permits up to its ``max_lead`` ahead.
    """

    __slots__ = (
        "max_lead",
        "validity",
        "takeover_delay",
        "granted",
        "denied",
        "_permits_by_endpoint",
    )
    PARAMS = {
        "max_lead": Bounds(kind=(int, float), low=0),
        "validity": Bounds(kind=(int, float), low=0.01),
        "takeover_delay": Bounds(kind=(int, float), low=0),
    }

    def __init__(self, *, max_lead=1.0, validity=1.0, takeover_delay=1.0):
        self.max_lead = max_lead
        self.validity = validity
        self.takeover_delay = takeover_delay
        self.granted = 0
        self.denied = 0
        self._permits_by_endpoint = {}

    def on_rate_limit_reported(self, message, *, now):
        """Record a limit, or that there is none; return it if it is news.

        Returns
        -------
        list of RateLimitUpdated
        """
        self._sweep(now)
        if self._is_outdated(message):
            return []
        known = self._current(message)
        permits = self._record(message, first_at=now, now=now)
        if known is not None and known.rate == message.rate:
            return []
        permits.rate = message.rate
        if message.rate is None:
            return [_update(message)]
        # The next permit of a lower rate may be far away.
        permits.next_at = min(permits.next_at, now + 1 / _permit_rate(message.rate))
        return [_update(message)]

    def on_permit_claimed(self, message, *, now):
        """Grant permits, or tell when to claim again.

        Also returned is a limit that was not known yet, or the end of a limit that this
        entry host doesn't know of.

        Returns
        -------
        list of PermitsGranted, PermitsDenied and RateLimitUpdated
        """
        self._sweep(now)
        known = self._current(message)
        if known is not None and known.rate is None:
            denied = PermitsDenied(
                endpoint_id=message.endpoint_id,
                retry_at=now,
                incarnation=message.incarnation,
            )
            ended = RateLimitUpdated(
                endpoint_id=message.endpoint_id,
                rate=None,
                incarnation=message.incarnation,
            )
            return [denied, ended]
        # A report of another entry host may be newer than what this one knows, so that
        # its claim doesn't change a known limit.
        first_at = now + self.takeover_delay + message.first_delay
        permits = self._record(message, first_at=first_at, now=now)
        outcomes = [_update(message)] if known is None else []
        rate = _permit_rate(permits.rate)
        count = max(1, min(message.wanted, int(rate * BATCH_TIME)))
        usable_at = max(now, permits.next_at)
        if usable_at > now + self.max_lead:
            self.denied += 1
            denied = PermitsDenied(
                endpoint_id=message.endpoint_id,
                retry_at=usable_at - self.max_lead,
                incarnation=message.incarnation,
            )
            return [denied, *outcomes]
        permits.next_at = usable_at + count / rate
        self.granted += count
        granted = PermitsGranted(
            endpoint_id=message.endpoint_id,
            count=count,
            usable_at=usable_at,
            expires_at=usable_at + self.validity,
            incarnation=message.incarnation,
        )
        return [granted, *outcomes]

    def rate_of(self, endpoint_id):
        """Return the known limit of an endpoint, None if there is none."""
        known = self._permits_by_endpoint.get(endpoint_id)
        return None if known is None else known.rate

    def rate_limits(self, *, now):
        """Return the known limits, for an entry host that has just connected.

        Those that ended lately have a rate of None: the host may have missed that.

        Returns
        -------
        list of RateLimitUpdated
        """
        self._sweep(now)
        return [
            RateLimitUpdated(
                endpoint_id=endpoint_id, rate=item.rate, incarnation=item.incarnation
            )
            for endpoint_id, item in self._permits_by_endpoint.items()
        ]

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "granted": self.granted,
            "denied": self.denied,
            "limits": {
                endpoint_id: {
                    "rate": item.rate,
                    "next_permit_in": round(item.next_at - now, 3),
                }
                for endpoint_id, item in self._permits_by_endpoint.items()
            },
        }

    def _current(self, message):
        """Return what is known of the endpoint's current incarnation, if anything."""
        known = self._permits_by_endpoint.get(message.endpoint_id)
        if known is None or known.incarnation.differs_from(message.incarnation):
            return None
        return known

    def _is_outdated(self, report):
        """Return whether a repeated report is older than the last claim or report."""
        known = self._permits_by_endpoint.get(report.endpoint_id)
        if known is None or report.learned_at is None:
            return False
        return report.learned_at < known.heard_at

    def _record(self, message, *, first_at, now):
        permits = self._current(message)
        if permits is None:
            permits = self._permits_by_endpoint[message.endpoint_id] = _EndpointPermits(
                rate=message.rate, incarnation=message.incarnation, next_at=first_at
            )
        if message.incarnation.is_known:
            permits.incarnation = message.incarnation
        permits.heard_at = now
        permits.stale_deadline = now + LIMIT_LIFETIME
        return permits

    def _sweep(self, now):
        for endpoint_id, item in list(self._permits_by_endpoint.items()):
            if now >= item.stale_deadline:
                del self._permits_by_endpoint[endpoint_id]


def _permit_rate(rate):
    return max(rate, MIN_RATE)


def _update(message):
    return RateLimitUpdated(
        endpoint_id=message.endpoint_id,
        rate=message.rate,
        incarnation=message.incarnation,
    )
