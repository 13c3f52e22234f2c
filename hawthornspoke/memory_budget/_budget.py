"""Which connections may hold more bytes, which pause, and which are cut."""

from hawthornspoke.base import Bounds, check_params

#: What bytes are held for: a request's body, data received after a request, a request
#: that its endpoint hasn't received yet, a response that wasn't passed on yet, a
#: response that the caller hasn't read yet, data that the operating system holds for a
#: connection that isn't read, data that it holds for a caller, a whole response that
#: wasn't written yet, and what a request takes whatever it carries.
BODY, PENDING, SENDING, UNREAD, WRITTEN, KERNEL, SENT, ANSWER, REQUEST = range(9)
USES = (
    "body",
    "pending",
    "sending",
    "unread",
    "written",
    "kernel",
    "sent",
    "answer",
    "request",
)

#: Uses of what callers have to receive: it becomes less as they read, or are cut.
OUTGOING = frozenset((WRITTEN, SENT, ANSWER))

#: Uses of bytes that the operating system holds, outside of the process's own memory.
OUTSIDE = frozenset((KERNEL, SENT))

#: Levels of pressure, by the bytes held, in ascending order.
LEVELS = NORMAL, PAUSING, REFUSING, CUTTING = (
    "normal",
    "pausing",
    "refusing",
    "cutting",
)

#: Shares of the limit above which responses to slow callers are no longer read, large
#: requests are refused, and the slowest callers are cut. Responses that are read
#: normally may use all of the limit.
PAUSE_SHARE = 0.5
REFUSE_SHARE = 0.65
CUT_SHARE = 0.8

#: Bytes from which a request's body is large. Smaller ones are never refused.
LARGE_BODY_BYTES = 16384

#: Unread bytes that a response to a slow caller may have above the pause mark, and any
#: response above the limit.
READ_BUFFER_BYTES = 65536

#: Unread bytes of a stream, or of a response to a slow caller, above which it isn't
#: read on, whatever else is held: a stream may be longer than the limit of what is held
#: of an answer.
MAX_BLOCKED_BYTES = 1024 * 1024

#: The same below which it is read on, as each pause costs a round trip or more.
RESUME_BLOCKED_BYTES = MAX_BLOCKED_BYTES // 2

#: Shares of the limit that responses without an announced size may hold: all of them
#: together, and one of them that is then read on while the others wait. The rest is for
#: what each of the others holds below ``READ_BUFFER_BYTES``.
UNANNOUNCED_SHARE = 0.125
MAX_UNANNOUNCED_SHARE = 0.75

#: Receive buffer, in bytes, of connections to endpoints if there is a budget. Bytes in
#: it count as memory of the process as well; Linux holds a little more than it says.
RECEIVE_BUFFER = 32768
KERNEL_BYTES = 40960

#: Send buffer, in bytes, of connections of callers if there is a budget. Linux doubles
#: it, and holds fewer bytes than that if they were written in small parts.
SEND_BUFFER = 65536

#: Bytes that the operating system holds at most for a caller.
MAX_SENT_BYTES = 2 * SEND_BUFFER

#: Bytes written to a caller from which those that it hasn't received are counted, and
#: from which a caller that receives them slowly is slow.
MIN_MEASURED_BYTES = 4096

#: Share of the limit that responses may hold at their begin whatever else is held, so
#: that slow callers don't keep all requests from being sent.
MIN_BEGUN_SHARE = 0.25

#: Bytes of a response that may arrive before the budget is asked about it.
FIRST_BYTES = READ_BUFFER_BYTES + KERNEL_BYTES

#: Bytes that a request takes by itself from its admission to its end: its task and its
#: state, and the connections to its caller and to its endpoint.
REQUEST_BYTES = 25_000

#: A caller is slow if it has bytes to receive and receives fewer of them per second
#: than SLOW_RATE over SLOW_TIME seconds; over URGENT_SLOW_TIME above the limit.
SLOW_RATE = 32768
SLOW_TIME = 1.0
URGENT_SLOW_TIME = 0.2


class Holder:
    """What one caller's connection holds, with all that is held for its request.

    Parameters
    ----------
    owner : object, default=None
        The connection, for the caller of the budget.

    Attributes
    ----------
    is_passed_on : bool
        Whether the response is passed on while it is received.
    written_bytes : int
        Bytes that were ever written to the caller.
    """

    __slots__ = (
        "owner",
        "held",
        "bytes_by_use",
        "is_slow",
        "is_passed_on",
        "written_bytes",
        "measured_bytes",
        "measured_at",
    )

    def __init__(self, *, owner=None):
        self.owner = owner
        self.held = 0
        self.bytes_by_use = [0] * len(USES)
        self.is_slow = False
        self.is_passed_on = False
        self.written_bytes = 0
        self.measured_bytes = 0
        self.measured_at = None

    @property
    def is_blocked(self):
        """Whether the caller's write buffer is full."""
        return self.bytes_by_use[WRITTEN] > 0


class MemoryBudget:
    """Bytes held by all connections, and who has to hold fewer.

    Parameters
    ----------
    limit : int
        Bytes that all connections may hold together.

    Attributes
    ----------
    held : int
        Bytes that all connections hold.
    own_bytes, peak_own_bytes : int
        Bytes of them in the process's own memory, and the most since the peak was set.

    Examples
    --------
    >>> budget = MemoryBudget(limit=1000)
    >>> holder = Holder()
    >>> budget.hold(holder, BODY, 600)
    >>> budget.level
    'pausing'
    >>> budget.release(holder)
    >>> budget.held
    0
    """

    __slots__ = (
        "limit",
        "held",
        "own_bytes",
        "peak_own_bytes",
        "holders",
        "paused",
        "_reserved",
        "_unsent",
        "_exceeding",
        "_is_beyond_limit",
        "_outgoing_bytes",
        "_kernel_bytes",
        "_min_begun_mark",
        "_unannounced_bytes",
        "_unannounced_mark",
        "_max_unannounced_bytes",
        "_pause_mark",
        "_refuse_mark",
        "_cut_mark",
    )
    PARAMS = {"limit": Bounds(kind=int, low=1)}

    def __init__(self, *, limit):
        self.limit = limit
        check_params(self, self.PARAMS)
        self.held = 0
        self.own_bytes = self.peak_own_bytes = 0
        self.holders = set()
        self.paused = {}
        self._reserved = set()
        self._unsent = set()
        self._exceeding = None
        self._is_beyond_limit = False
        self._outgoing_bytes = 0
        self._kernel_bytes = 0
        self._min_begun_mark = int(limit * MIN_BEGUN_SHARE)
        self._unannounced_bytes = 0
        self._unannounced_mark = int(limit * UNANNOUNCED_SHARE)
        self._max_unannounced_bytes = int(limit * MAX_UNANNOUNCED_SHARE)
        self._pause_mark = int(limit * PAUSE_SHARE)
        self._refuse_mark = int(limit * REFUSE_SHARE)
        self._cut_mark = int(limit * CUT_SHARE)

    @property
    def level(self):
        """The level of pressure."""
        if self.held > self._cut_mark:
            return CUTTING
        if self.held > self._refuse_mark:
            return REFUSING
        return PAUSING if self.held > self._pause_mark else NORMAL

    def hold(self, holder, use, size):
        """Set the number of bytes that a holder holds for one use.

        Parameters
        ----------
        holder : Holder
        use : int
        size : int
        """
        change = size - holder.bytes_by_use[use]
        if not change:
            return
        holder.bytes_by_use[use] = size
        holder.held += change
        self.held += change
        if use not in OUTSIDE:
            self.own_bytes += change
            self.peak_own_bytes = max(self.peak_own_bytes, self.own_bytes)
        if use == KERNEL:
            self._kernel_bytes += change
        if use in OUTGOING:
            self._outgoing_bytes += change
        if use == UNREAD and holder not in self._reserved:
            self._unannounced_bytes += change
        if use == WRITTEN and not size:
            holder.is_slow = False
            holder.measured_at = None
        if use == UNREAD and not size:
            self._reserved.discard(holder)
        if holder is self._exceeding and (
            holder.is_blocked or not holder.bytes_by_use[UNREAD]
        ):
            self._exceeding = None
            self._is_beyond_limit = False
        if holder.held:
            self.holders.add(holder)
        else:
            self.holders.discard(holder)

    def release_request(self, holder):
        """Release all that is held for a request that has ended.

        The response may still be in the write buffer, and data after the request
        belongs to the next one.
        """
        self.paused.pop(holder, None)
        holder.is_passed_on = False
        self._unsent.discard(holder)
        for use in (BODY, SENDING, UNREAD, KERNEL, ANSWER, REQUEST):
            self.hold(holder, use, 0)

    def release(self, holder):
        """Release all that is held for a connection that has ended."""
        self.paused.pop(holder, None)
        self._unsent.discard(holder)
        for use in range(len(USES)):
            self.hold(holder, use, 0)

    def admits_body(self, holder, size):
        """Return whether a request body of a size may be received.

        Parameters
        ----------
        holder : Holder
        size : int
            All bytes of the body that are expected or were received.

        Returns
        -------
        bool
        """
        if size < LARGE_BODY_BYTES:
            return True
        return self.held + size - holder.bytes_by_use[BODY] <= self._refuse_mark

    def admits_request(self, holder):
        """Return whether a request may be sent to an endpoint.

        Those that were admitted and weren't sent yet are reckoned with.

        Returns
        -------
        bool
        """
        expected = (len(self._unsent) + 1) * FIRST_BYTES
        others = self.held - holder.bytes_by_use[BODY] - holder.bytes_by_use[REQUEST]
        if others + REQUEST_BYTES + expected > self._cut_mark:
            waiting = (
                item.bytes_by_use[UNREAD] for item, size in self.paused.items() if size
            )
            if expected + self._kernel_bytes + sum(waiting) > self._min_begun_mark:
                return False
        self._unsent.add(holder)
        self.hold(holder, REQUEST, REQUEST_BYTES)
        return True

    def expect_response(self, holder):
        """Hold the bytes of a response that may arrive with its head."""
        self._unsent.discard(holder)
        self.hold(holder, KERNEL, FIRST_BYTES)

    def reserve_response(self, holder, size):
        """Hold the bytes of a whole response before they arrive, if they fit.

        Without that, many responses could each be received in part, and none of them
        to its end.

        Returns
        -------
        bool
        """
        is_expected = size <= READ_BUFFER_BYTES
        is_beyond = self.held + size - holder.bytes_by_use[UNREAD] > self.limit
        if is_beyond and not is_expected:
            return False
        self._reserve(holder, size)
        return True

    def must_pause(self, holder):
        """Return whether no more of a response may be read from its endpoint.

        The bytes of one that was reserved are counted already.
        """
        if holder in self._reserved:
            return False
        unread = holder.bytes_by_use[UNREAD]
        if holder.is_passed_on and self._must_wait(unread, MAX_BLOCKED_BYTES):
            return True
        if not holder.is_blocked:
            if unread <= READ_BUFFER_BYTES or self._has_room(0):
                return False
            if self.held > self.limit and not self._is_beyond_limit:
                return True
            return not self._may_exceed(holder)
        if unread > MAX_BLOCKED_BYTES:
            return True
        if self.held > self._refuse_mark:
            return unread > 0
        return self.held > self._pause_mark and unread > READ_BUFFER_BYTES

    def pause(self, holder, *, wanted=0):
        """Record that a response isn't read any more.

        Parameters
        ----------
        holder : Holder
        wanted : int, default=0
            Bytes to reserve before it is read on.
        """
        self.paused[holder] = wanted
        self.hold(holder, KERNEL, KERNEL_BYTES)

    def resume(self, holder):
        """Record that a response is read again; no effect if it wasn't paused."""
        if self.paused.pop(holder, None) is not None:
            self.hold(holder, KERNEL, 0)

    def resumable(self):
        """Return the paused holders that may go on, and resume them.

        Those that paused first come first. Each may receive ``KERNEL_BYTES`` before
        the budget is asked again.

        Returns
        -------
        list of Holder
        """
        resumed = []
        expected = 0
        is_reservable = True
        for holder, wanted in list(self.paused.items()):
            if wanted:
                # A small response must not keep passing a large one.
                is_reservable = is_reservable and self._fits(holder, wanted, expected)
                may_resume = is_reservable
            else:
                may_resume = self._may_read_on(holder, expected)
            if not may_resume:
                continue
            self.resume(holder)
            if wanted:
                self._reserve(holder, wanted)
            else:
                expected += KERNEL_BYTES
            resumed.append(holder)
        return resumed

    def may_ever_hold(self, size, *, is_announced):
        """Return whether a response of a size fits if nothing else is held.

        Parameters
        ----------
        size : int
        is_announced : bool
            Whether this is known to be all of it.

        Returns
        -------
        bool
        """
        return size <= (self.limit if is_announced else self._max_unannounced_bytes)

    def _reserve(self, holder, size):
        self.hold(holder, UNREAD, size)
        if size and holder not in self._reserved:
            self._unannounced_bytes -= size
            self._reserved.add(holder)

    def _may_read_on(self, holder, expected):
        unread = holder.bytes_by_use[UNREAD]
        if holder.is_passed_on and self._must_wait(unread, RESUME_BLOCKED_BYTES):
            return False
        if holder.is_blocked:
            is_short = self.held + expected > self._pause_mark
            return not is_short and holder.bytes_by_use[UNREAD] <= RESUME_BLOCKED_BYTES
        if holder.bytes_by_use[UNREAD] <= READ_BUFFER_BYTES:
            return True
        if self._has_room(expected):
            return True
        if not self._may_exceed(holder):
            return False
        self._is_beyond_limit = self.held + expected > self.limit
        return True

    def _has_room(self, expected):
        """Return whether responses of unknown size may all be read."""
        return (
            self.held + expected <= self.limit
            and self._unannounced_bytes + expected <= self._unannounced_mark
        )

    def _may_exceed(self, holder):
        """Return whether a response may be read on without room, one at a time.

        What responses of unknown size hold must not keep all of them waiting.
        """
        unread = holder.bytes_by_use[UNREAD]
        if unread > self._max_unannounced_bytes:
            return False
        if not self._leaves_room(holder, unread):
            return False
        if self._exceeding is None and not self._reserved:
            self._exceeding = holder
        return holder is self._exceeding

    def _fits(self, holder, wanted, expected):
        if not self._reserved and self._exceeding is None:
            return self._leaves_room(holder, wanted)
        unread, kernel = holder.bytes_by_use[UNREAD], holder.bytes_by_use[KERNEL]
        return self.held + expected + wanted - unread - kernel <= self.limit

    def _must_wait(self, unread, max_unread):
        """Return whether a stream waits for its caller, or for callers to be cut."""
        return unread > max_unread or self._outgoing_bytes > self._pause_mark

    def _lacks_room(self):
        """Return whether a response waits for what callers have to receive."""
        for holder, wanted in self.paused.items():
            if holder.is_blocked:
                continue
            if holder.is_passed_on:
                if self._outgoing_bytes > self._pause_mark:
                    return True
            elif self.held + (wanted or KERNEL_BYTES) > self.limit:
                return True
        return False

    def _leaves_room(self, holder, size):
        """Return whether a response may be read though others wait.

        What waiting responses hold must not keep all of them waiting; what other
        callers have to receive becomes less by itself, or as slow ones are cut.
        """
        own = sum(holder.bytes_by_use[use] for use in OUTGOING)
        if self._outgoing_bytes - own <= self._unannounced_mark:
            return True
        unread, kernel = holder.bytes_by_use[UNREAD], holder.bytes_by_use[KERNEL]
        return self.held + size - unread - kernel <= self.limit

    def blocked(self):
        """Return the holders whose callers' write buffers are full."""
        return [holder for holder in self.holders if holder.is_blocked]

    def measure(self, holder, size, now, *, unreceived=None):
        """Update what a caller has to receive, and whether it is slow.

        Parameters
        ----------
        holder : Holder
        size : int
            Bytes in the write buffer; it stays full, or not, as it is.
        now : float
            Seconds on any monotonic clock.
        unreceived : int or None, default=None
            Bytes that the caller hasn't received, with those that the operating system
            holds: it takes more from a write buffer only in steps of up to a megabyte.
            None if these are those in the write buffer.
        """
        if holder.is_blocked:
            self.hold(holder, WRITTEN, max(1, size))
        if unreceived is None:
            unreceived = size
        if not holder.is_blocked and unreceived < MIN_MEASURED_BYTES:
            holder.is_slow = False
            holder.measured_at = None
            return
        received = holder.written_bytes - unreceived
        if holder.measured_at is None:
            holder.measured_at, holder.measured_bytes = now, received
            return
        elapsed = now - holder.measured_at
        if elapsed >= (URGENT_SLOW_TIME if self.held > self.limit else SLOW_TIME):
            holder.is_slow = received - holder.measured_bytes < SLOW_RATE * elapsed
            holder.measured_at, holder.measured_bytes = now, received

    def to_cut(self):
        """Return the slow holders to cut, largest first, until the rest is low enough.

        Returns
        -------
        list of Holder
        """
        mark = self._pause_mark if self._lacks_room() else self._cut_mark
        excess = self.held - mark
        if excess <= 0:
            return []
        slow = [holder for holder in self.holders if holder.is_slow]
        slow.sort(key=lambda holder: holder.held, reverse=True)
        chosen = []
        for holder in slow:
            if excess <= 0:
                break
            chosen.append(holder)
            excess -= holder.held
        return chosen

    def dump(self):
        """Return the state as plain data."""
        return {
            "limit": self.limit,
            "held": self.held,
            "level": self.level,
            "holders": len(self.holders),
            "blocked": len(self.blocked()),
            "slow": sum(holder.is_slow for holder in self.holders),
            "paused": len(self.paused),
            "held_by_use": {
                name: sum(holder.bytes_by_use[use] for holder in self.holders)
                for use, name in enumerate(USES)
            },
        }
