"""Admission to one endpoint, as a pure state machine."""

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

#: Weight of the newest sample in the running mean of service time.
SMOOTHING = 0.2

#: Finished request ids remembered, to refuse a second copy of a submit.
REMEMBERED = 4096


@dataclass(slots=True, kw_only=True, frozen=True)
class Admit:
    """A request arrived.

    Parameters
    ----------
    request_id : str
    service : str
    digest : str
        The weights it was routed for; empty for a plain service.
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
    """A started request came to its end, good or bad."""

    request_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Cancel:
    """The caller of a request is gone."""

    request_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class SetLive:
    """A service is answered with other weights from now on.

    Parameters
    ----------
    service : str
    digest : str or None
        None while nothing can be answered.
    """

    service: str
    digest: object


@dataclass(slots=True, kw_only=True, frozen=True)
class Drain:
    """Take no new work from now on."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Time passed."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Start:
    """Run this request now."""

    request_id: str
    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Refuse:
    """This request was not run and will not be."""

    request_id: str
    failure: object


@dataclass(slots=True, kw_only=True, frozen=True)
class Drained:
    """Nothing runs or waits any more."""


class _Waiting:
    __slots__ = ("admit", "since")

    def __init__(self, *, admit, since):
        self.admit = admit
        self.since = since


@MACHINES.register("gate")
class Gate(Machine):
    """Starts, queues and refuses requests of one endpoint.

    Parameters
    ----------
    slots : int, default=8
        Requests that run at once.
    queue_limit : int, default=32
        Requests that wait at most.
    aging : float, default=2.0
        Seconds of waiting that count as one step of urgency, so that the least
        urgent request is not starved for ever.

    Notes
    -----
    The gate alone decides whether a request was started. A switch to other
    weights is one assignment in ``live_by_service``: a request that waited
    across it is refused as not run, and a running one keeps the digest it
    started with, so that no answer mixes two versions.
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
        "_drained_told",
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
        self._drained_told = False

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
        failure = self._objection(message, now=now)
        if failure is not None:
            return [self._refuse(message.request_id, failure)]
        self.waiting_by_id[message.request_id] = _Waiting(admit=message, since=now)
        outcomes = self._start_waiting(now=now)
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
        self._remember(message.request_id)
        self._learn(now - running.since)
        return self._start_waiting(now=now) + self._tell_drained()

    def on_cancel(self, message, *, now):
        """Forget a request that waits; one that runs ends by ``Finish``.

        Parameters
        ----------
        message : Cancel
        now : float

        Returns
        -------
        list of Drained
        """
        if self.waiting_by_id.pop(message.request_id, None) is not None:
            self._remember(message.request_id)
        return self._tell_drained()

    def on_set_live(self, message, *, now):
        """Switch the weights of a service.

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
        for request_id, waiting in list(self.waiting_by_id.items()):
            if self._mismatch(waiting.admit):
                del self.waiting_by_id[request_id]
                outcomes.append(self._refuse(request_id, self._wrong(waiting.admit)))
        return outcomes + self._start_waiting(now=now)

    def on_drain(self, message, *, now):
        """Refuse what waits; what runs goes on.

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
            failure = DRAINING.because("endpoint is leaving", retry_after=0.0)
            outcomes.append(self._refuse(request_id, failure))
        return outcomes + self._tell_drained()

    def on_tick(self, message, *, now):
        """Refuse what has waited past its deadline.

        Parameters
        ----------
        message : Tick
        now : float

        Returns
        -------
        list of Refuse
        """
        outcomes = []
        for request_id, waiting in list(self.waiting_by_id.items()):
            if now >= waiting.admit.deadline:
                del self.waiting_by_id[request_id]
                outcomes.append(self._refuse(request_id, self._late()))
        return outcomes

    def running_on(self, digest):
        """Return how many requests run on some weights.

        Parameters
        ----------
        digest : str

        Returns
        -------
        int
        """
        running = self.running_by_id.values()
        return sum(1 for item in running if item.admit.digest == digest)

    def expected_wait(self):
        """Return the seconds a new request would wait, by the mean so far.

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

    def _objection(self, message, *, now):
        if self._is_known(message.request_id):
            return DUPLICATE.because(f"request {message.request_id} was seen before")
        if self.draining:
            return DRAINING.because("endpoint is leaving", retry_after=0.0)
        if self._mismatch(message):
            return self._wrong(message)
        if now >= message.deadline:
            return self._late()
        wait = self.expected_wait()
        if now + wait >= message.deadline:
            reason = f"expected wait {wait:.2f} s outlasts the deadline"
            return BUSY.because(reason, retry_after=wait)
        return None

    def _is_known(self, request_id):
        return (
            request_id in self.running_by_id
            or request_id in self.waiting_by_id
            or request_id in self._finished_ids
        )

    def _mismatch(self, admit):
        if admit.service not in self.live_by_service:
            return True
        return self.live_by_service[admit.service] != admit.digest

    def _wrong(self, admit):
        live = self.live_by_service.get(admit.service)
        shown = "nothing" if live is None else repr(live[:12])
        return WRONG_DIGEST.because(f"{admit.service}: live here is {shown}")

    def _late(self):
        wait = self.expected_wait()
        return DEADLINE_PASSED.because("not started in time", retry_after=wait)

    def _rank(self, waiting, now):
        """Return the sort key: urgency bettered by waiting, then arrival."""
        waited = now - waiting.since
        return waiting.admit.urgency - waited / self.aging, waiting.since

    def _start_waiting(self, *, now):
        outcomes = []
        while self.waiting_by_id and len(self.running_by_id) < self.slots:
            best = min(
                self.waiting_by_id.values(), key=lambda item: self._rank(item, now)
            )
            admit = best.admit
            del self.waiting_by_id[admit.request_id]
            if now >= admit.deadline:
                outcomes.append(self._refuse(admit.request_id, self._late()))
                continue
            self.running_by_id[admit.request_id] = _Waiting(admit=admit, since=now)
            self.started += 1
            outcomes.append(Start(request_id=admit.request_id, digest=admit.digest))
        return outcomes

    def _shed_overflow(self, *, now):
        """Refuse the least urgent at once: nobody is held back to be refused."""
        outcomes = []
        while len(self.waiting_by_id) > self.queue_limit:
            worst = max(
                self.waiting_by_id.values(), key=lambda item: self._rank(item, now)
            )
            request_id = worst.admit.request_id
            del self.waiting_by_id[request_id]
            wait = self.expected_wait()
            newest = worst.since == now
            kind = BUSY if newest else OUTRANKED
            failure = kind.because("queue is full", retry_after=wait)
            outcomes.append(self._refuse(request_id, failure))
        return outcomes

    def _refuse(self, request_id, failure):
        count = self.refused_by_code.get(failure.code, 0)
        self.refused_by_code[failure.code] = count + 1
        return Refuse(request_id=request_id, failure=failure)

    def _learn(self, service_time):
        if self.mean_service == 0.0:
            self.mean_service = service_time
        self.mean_service += SMOOTHING * (service_time - self.mean_service)

    def _remember(self, request_id):
        self._finished_ids[request_id] = None
        if len(self._finished_ids) > REMEMBERED:
            self._finished_ids.popitem(last=False)

    def _tell_drained(self):
        if not self.draining or self.running_by_id or self._drained_told:
            return []
        self._drained_told = True
        return [Drained()]


def _dump_requests(items_by_id, now):
    return {
        request_id: {
            "service": item.admit.service,
            "digest": item.admit.digest,
            "urgency": item.admit.urgency,
            "age": round(now - item.since, 3),
            "time_left": round(item.admit.deadline - now, 3),
        }
        for request_id, item in items_by_id.items()
    }
