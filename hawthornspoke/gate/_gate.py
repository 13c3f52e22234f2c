"""Admission control of one endpoint, as a state machine without I/O."""

from collections import OrderedDict
from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine
from hawthornspoke.gate._failures import (
    BUSY,
    DEADLINE_PASSED,
    DRAINING,
    DUPLICATE,
    OUTRANKED,
    WRONG_DIGEST,
)

#: Weight of the newest sample in the moving average of the service time.
SMOOTHING = 0.2

#: Number of finished request ids kept to detect duplicate submits.
MAX_FINISHED_IDS = 4096


@dataclass(slots=True, kw_only=True, frozen=True)
class Admit:
    """A request arrived.

    Parameters
    ----------
    request_id : str
    service : str
    digest : str
        Digest that identifies the version of the weights for which the request was
        routed here; empty for a plain service, which has no weights.
    urgency : int
        0 is the most urgent, 7 the least (RFC 9218).
    deadline : float
        On this process's monotonic clock.
    """

    request_id: str
    service: str
    digest: str
    urgency: int
    deadline: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Finish:
    """A started request has ended, successfully or not; its slot is free."""

    request_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Cancel:
    """The caller of a request has disconnected."""

    request_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class SetLive:
    """Change the live weights of a service, which its new requests run on.

    Parameters
    ----------
    service : str
    digest : str or None
        None while the service cannot be served.
    """

    service: str
    digest: object


@dataclass(slots=True, kw_only=True, frozen=True)
class Drain:
    """Refuse new and queued requests from now on."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Periodic message to check deadlines."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Start:
    """The request is to be run now."""

    request_id: str
    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Refuse:
    """The request was not run and will not be run."""

    request_id: str
    failure: object


@dataclass(slots=True, kw_only=True, frozen=True)
class Drained:
    """The gate is draining and no request is running or queued."""


class _TrackedRequest:
    """A queued or running request, and the time at which it was queued or started."""

    __slots__ = ("request", "since")

    def __init__(self, *, request, since):
        self.request = request
        self.since = since


@MACHINES.register("gate")
class Gate(Machine):
    """Starts, queues and refuses requests of one endpoint.

    Parameters
    ----------
    slots : int, default=8
        Maximum number of concurrently running requests.
    queue_limit : int, default=32
        Maximum number of queued requests.
    aging : float, default=2.0
        Seconds of waiting that reduce the urgency value by one, so that requests of
        low urgency do not starve.

    Notes
    -----
    Only the gate decides whether a request is started. Switching weights is a single
    assignment in ``live_by_service``: requests queued for the previous weights are
    refused as not run, and running requests keep the digest that they were started
    with, so that no answer is produced by two versions.
    """

    __slots__ = (
        "slots",
        "queue_limit",
        "aging",
        "live_by_service",
        "running_by_id",
        "waiting_by_id",
        "draining",
        "mean_service",
        "started",
        "refused_by_code",
        "_finished_ids",
        "_drained_reported",
    )
    PARAMS = {
        "slots": Bounds(kind=int, low=1),
        "queue_limit": Bounds(kind=int, low=0),
        "aging": Bounds(kind=(int, float), low=0.01),
    }

    def __init__(self, *, slots=8, queue_limit=32, aging=2.0):
        self.slots = slots
        self.queue_limit = queue_limit
        self.aging = aging
        self.live_by_service = {}
        self.running_by_id = {}
        self.waiting_by_id = {}
        self.draining = False
        self.mean_service = 0.0
        self.started = 0
        self.refused_by_code = {}
        self._finished_ids = OrderedDict()
        self._drained_reported = False

    def on_admit(self, message, *, now):
        """Start, queue or refuse a request.

        Parameters
        ----------
        message : Admit
        now : float

        Returns
        -------
        list of Start or Refuse
        """
        failure = self._admission_failure(message, now=now)
        if failure is not None:
            return [self._refuse(message.request_id, failure)]
        self.waiting_by_id[message.request_id] = _TrackedRequest(
            request=message, since=now
        )
        outcomes = self._start_queued(now=now)
        outcomes += self._shed_overflow(now=now)
        return outcomes

    def on_finish(self, message, *, now):
        """Free a slot.

        Parameters
        ----------
        message : Finish
        now : float

        Returns
        -------
        list of Start or Refuse or Drained
        """
        running = self.running_by_id.pop(message.request_id, None)
        if running is None:
            return []
        self._record_finished(message.request_id)
        self._update_mean_service(now - running.since)
        return self._start_queued(now=now) + self._report_drained()

    def on_cancel(self, message, *, now):
        """Remove a queued request; a running one holds its slot until ``Finish``.

        Parameters
        ----------
        message : Cancel
        now : float

        Returns
        -------
        list of Drained
        """
        if self.waiting_by_id.pop(message.request_id, None) is not None:
            self._record_finished(message.request_id)
        return self._report_drained()

    def on_set_live(self, message, *, now):
        """Switch the live weights of a service.

        Parameters
        ----------
        message : SetLive
        now : float

        Returns
        -------
        list of Start or Refuse
        """
        if message.digest is None:
            self.live_by_service.pop(message.service, None)
        else:
            self.live_by_service[message.service] = message.digest
        outcomes = []
        for request_id, tracked in list(self.waiting_by_id.items()):
            if self._has_wrong_digest(tracked.request):
                del self.waiting_by_id[request_id]
                outcomes.append(
                    self._refuse(
                        request_id, self._wrong_digest_failure(tracked.request)
                    )
                )
        return outcomes + self._start_queued(now=now)

    def on_drain(self, message, *, now):
        """Refuse queued requests; running requests continue.

        Parameters
        ----------
        message : Drain
        now : float

        Returns
        -------
        list of Refuse or Drained
        """
        self.draining = True
        outcomes = []
        for request_id in list(self.waiting_by_id):
            del self.waiting_by_id[request_id]
            failure = DRAINING.with_reason("endpoint is leaving", retry_after=0.0)
            outcomes.append(self._refuse(request_id, failure))
        return outcomes + self._report_drained()

    def on_tick(self, message, *, now):
        """Refuse queued requests whose deadline has passed.

        Parameters
        ----------
        message : Tick
        now : float

        Returns
        -------
        list of Refuse
        """
        outcomes = []
        for request_id, tracked in list(self.waiting_by_id.items()):
            if now >= tracked.request.deadline:
                del self.waiting_by_id[request_id]
                outcomes.append(self._refuse(request_id, self._deadline_failure()))
        return outcomes

    def count_running(self, digest):
        """Return the number of running requests that use the given weights.

        Parameters
        ----------
        digest : str

        Returns
        -------
        int
        """
        running = self.running_by_id.values()
        return sum(1 for item in running if item.request.digest == digest)

    def expected_wait(self):
        """Estimate the waiting time in seconds of a new request.

        Returns
        -------
        float
        """
        if len(self.running_by_id) < self.slots and not self.waiting_by_id:
            return 0.0
        return self.mean_service * (len(self.waiting_by_id) + 1) / self.slots

    def dump(self, *, now):
        """Return the state as plain data.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict
        """
        return {
            "slots": self.slots,
            "draining": self.draining,
            "live_by_service": dict(self.live_by_service),
            "running_by_id": _dump_requests(self.running_by_id, now),
            "waiting_by_id": _dump_requests(self.waiting_by_id, now),
            "mean_service": round(self.mean_service, 4),
            "started": self.started,
            "refused_by_code": dict(self.refused_by_code),
        }

    def _admission_failure(self, message, *, now):
        if self._is_duplicate(message.request_id):
            return DUPLICATE.with_reason(
                f"request {message.request_id} was seen before"
            )
        if self.draining:
            return DRAINING.with_reason("endpoint is leaving", retry_after=0.0)
        if self._has_wrong_digest(message):
            return self._wrong_digest_failure(message)
        if now >= message.deadline:
            return self._deadline_failure()
        wait = self.expected_wait()
        if now + wait >= message.deadline:
            reason = f"expected wait {wait:.2f} s outlasts the deadline"
            return BUSY.with_reason(reason, retry_after=wait)
        return None

    def _is_duplicate(self, request_id):
        return (
            request_id in self.running_by_id
            or request_id in self.waiting_by_id
            or request_id in self._finished_ids
        )

    def _has_wrong_digest(self, request):
        if request.service not in self.live_by_service:
            return True
        return self.live_by_service[request.service] != request.digest

    def _wrong_digest_failure(self, request):
        live = self.live_by_service.get(request.service)
        live_text = "nothing" if live is None else repr(live[:12])
        return WRONG_DIGEST.with_reason(f"{request.service}: live here is {live_text}")

    def _deadline_failure(self):
        wait = self.expected_wait()
        return DEADLINE_PASSED.with_reason("not started in time", retry_after=wait)

    def _sort_key(self, tracked, now):
        """Return the sort key: urgency value reduced by waiting, then arrival time."""
        waited = now - tracked.since
        return tracked.request.urgency - waited / self.aging, tracked.since

    def _start_queued(self, *, now):
        outcomes = []
        while self.waiting_by_id and len(self.running_by_id) < self.slots:
            next_request = min(
                self.waiting_by_id.values(), key=lambda item: self._sort_key(item, now)
            )
            request = next_request.request
            del self.waiting_by_id[request.request_id]
            if now >= request.deadline:
                outcomes.append(
                    self._refuse(request.request_id, self._deadline_failure())
                )
                continue
            self.running_by_id[request.request_id] = _TrackedRequest(
                request=request, since=now
            )
            self.started += 1
            outcomes.append(Start(request_id=request.request_id, digest=request.digest))
        return outcomes

    def _shed_overflow(self, *, now):
        """Refuse the least urgent requests while the queue exceeds its limit."""
        outcomes = []
        while len(self.waiting_by_id) > self.queue_limit:
            last_request = max(
                self.waiting_by_id.values(), key=lambda item: self._sort_key(item, now)
            )
            request_id = last_request.request.request_id
            del self.waiting_by_id[request_id]
            wait = self.expected_wait()
            is_newest = last_request.since == now
            kind = BUSY if is_newest else OUTRANKED
            failure = kind.with_reason("queue is full", retry_after=wait)
            outcomes.append(self._refuse(request_id, failure))
        return outcomes

    def _refuse(self, request_id, failure):
        count = self.refused_by_code.get(failure.code, 0)
        self.refused_by_code[failure.code] = count + 1
        return Refuse(request_id=request_id, failure=failure)

    def _update_mean_service(self, service_time):
        if self.mean_service == 0.0:
            self.mean_service = service_time
        self.mean_service += SMOOTHING * (service_time - self.mean_service)

    def _record_finished(self, request_id):
        self._finished_ids[request_id] = None
        if len(self._finished_ids) > MAX_FINISHED_IDS:
            self._finished_ids.popitem(last=False)

    def _report_drained(self):
        if not self.draining or self.running_by_id or self._drained_reported:
            return []
        self._drained_reported = True
        return [Drained()]


def _dump_requests(items_by_id, now):
    return {
        request_id: {
            "service": item.request.service,
            "digest": item.request.digest,
            "urgency": item.request.urgency,
            "age": round(now - item.since, 3),
            "time_left": round(item.request.deadline - now, 3),
        }
        for request_id, item in items_by_id.items()
    }
