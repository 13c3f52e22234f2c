"""What an agent orders its engine to do, as a pure state machine."""

from dataclasses import dataclass, field

from hawthornspoke.base import MACHINES, Bounds, Machine

#: Phases of a swap in place, as other hosts are told of them.
NO_SWAP = 0
WAITING = 1
CHANGING = 2

#: Seconds after which a failed order is tried again.
RETRY_ORDER = 1.0

#: Per mille shown for weights that this host has no memory for.
REFUSED = -1
WHOLE = 1000


@dataclass(slots=True, kw_only=True, frozen=True)
class Declared:
    """Weights that are to answer for a live key.

    Parameters
    ----------
    key : str
        Service name, or ``service:adapter``.
    digest : str
    base : str
        Digest of the base weights of an adapter, else empty.
    source : str
        Name at the origin.
    priority : int
    """

    key: str
    digest: str
    base: str = ""
    source: str = ""
    priority: int = 3


@dataclass(slots=True, kw_only=True, frozen=True)
class SetDeclared:
    """What this host is to run by the document in force.

    Parameters
    ----------
    items : tuple of Declared
        Bases before their adapters.
    """

    items: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferComplete:
    """All chunks of some weights are here and verified."""

    digest: str
    size: int


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferRefused:
    """The host has no room for some weights."""

    digest: str
    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineSeen:
    """The engine was asked for its state.

    Parameters
    ----------
    instance : str
        Changes when the engine restarts; empty if it does not answer.
    loaded : frozenset of str
    memory : int
        Bytes of weights it can hold; 0 for no limit.
    used : int
    """

    instance: str
    loaded: frozenset = frozenset()
    memory: int = 0
    used: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class OrderEnded:
    """An order to the engine came to its end."""

    digest: str
    ok: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class PermitRead:
    """Whether this host may go out of service, by what is known of the others."""

    allowed: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Time passed.

    Parameters
    ----------
    running_by_digest : dict of str to int
        Requests that run on each digest.
    """

    running_by_digest: dict = field(default_factory=dict)


@dataclass(slots=True, kw_only=True, frozen=True)
class StartTransfer:
    """Get some weights."""

    digest: str
    source: str
    priority: int


@dataclass(slots=True, kw_only=True, frozen=True)
class DropTransfer:
    """Some weights are not declared any more; stop getting them."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class OrderLoad:
    """Order the engine to load weights that are whole here."""

    digest: str
    base: str


@dataclass(slots=True, kw_only=True, frozen=True)
class OrderUnload:
    """Order the engine to drop weights on which nothing runs."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class SwitchLive:
    """Answer a live key with other weights, or with none."""

    key: str
    digest: object


@MACHINES.register("deployment")
class Deployment(Machine):
    """Moves one engine to the declared weights.

    Parameters
    ----------
    settle : float, default=1.5
        Seconds for which a swap in place is announced before it begins.

    Notes
    -----
    New weights are loaded beside the old ones where the engine has room, and the
    switch is one assignment. Where it has none, the host goes out of service
    first, with a permit, waits until nothing runs on the old weights, and only
    then unloads them: an engine that is asked to replace weights under a running
    request answers by a mixture.

    An engine that restarts behind a live agent comes back empty or with weights
    of its own; its instance name tells, and every live key is switched off at
    once until the declared weights are loaded again.
    """

    __slots__ = (
        "settle",
        "declared_by_key",
        "live_by_key",
        "size_by_digest",
        "base_by_digest",
        "transfers",
        "refused_by_digest",
        "engine",
        "order",
        "phase",
        "_is_declared",
        "_begin_deadline",
        "_retry_deadline",
        "_allowed",
        "_running_by_digest",
    )
    PARAMS = {"settle": Bounds(kind=(int, float), low=0)}

    def __init__(self, *, settle=1.5):
        self.settle = settle
        self.declared_by_key = {}
        self.live_by_key = {}
        self.size_by_digest = {}
        self.base_by_digest = {}
        self.transfers = set()
        self.refused_by_digest = {}
        self.engine = EngineSeen(instance="")
        self.order = None
        self.phase = NO_SWAP
        self._is_declared = False
        self._begin_deadline = 0.0
        self._retry_deadline = 0.0
        self._allowed = False
        self._running_by_digest = {}

    def on_set_declared(self, message, *, now):
        """Take what is declared for this host."""
        self.declared_by_key = {item.key: item for item in message.items}
        for item in message.items:
            if item.base:
                self.base_by_digest[item.digest] = item.base
        self.refused_by_digest = {}
        self._is_declared = True
        outcomes = []
        for key in list(self.live_by_key):
            if key not in self.declared_by_key:
                del self.live_by_key[key]
                outcomes.append(SwitchLive(key=key, digest=None))
        wanted = self._wanted()
        for digest in sorted(self.transfers - wanted):
            self.transfers.discard(digest)
            outcomes.append(DropTransfer(digest=digest))
        return outcomes + self._advance(now=now)

    def on_transfer_complete(self, message, *, now):
        """Take that some weights are whole here."""
        self.transfers.discard(message.digest)
        self.size_by_digest[message.digest] = message.size
        return self._advance(now=now)

    def on_transfer_refused(self, message, *, now):
        """Take that there is no room; the declared state is not reached here."""
        self.transfers.discard(message.digest)
        self.refused_by_digest[message.digest] = message.reason
        return []

    def on_engine_seen(self, message, *, now):
        """Take the engine's state."""
        outcomes = []
        restarted = message.instance != self.engine.instance
        for key, digest in list(self.live_by_key.items()):
            if restarted or digest not in message.loaded:
                del self.live_by_key[key]
                outcomes.append(SwitchLive(key=key, digest=None))
        self.engine = EngineSeen(
            instance=message.instance,
            loaded=frozenset(message.loaded),
            memory=message.memory,
            used=message.used,
        )
        return outcomes + self._advance(now=now)

    def on_order_ended(self, message, *, now):
        """Take the end of an order."""
        order, self.order = self.order, None
        if not message.ok:
            self._retry_deadline = now + RETRY_ORDER
            return []
        loaded = set(self.engine.loaded)
        size = self.size_by_digest.get(message.digest, 0)
        if isinstance(order, OrderLoad):
            loaded.add(message.digest)
        else:
            loaded.discard(message.digest)
            size = -size
        self.engine = EngineSeen(
            instance=self.engine.instance,
            loaded=frozenset(loaded),
            memory=self.engine.memory,
            used=max(0, self.engine.used + size),
        )
        return self._advance(now=now)

    def on_permit_read(self, message, *, now):
        """Take whether this host may go out of service."""
        self._allowed = message.allowed
        return self._advance(now=now)

    def on_tick(self, message, *, now):
        """Take what runs, and go on."""
        running = dict(message.running_by_digest)
        for digest, count in message.running_by_digest.items():
            base = self.base_by_digest.get(digest)
            if base:
                running[base] = running.get(base, 0) + count
        self._running_by_digest = running
        return self._advance(now=now)

    def forget_digest(self, digest):
        """Take that some weights are not held here any more.

        Parameters
        ----------
        digest : str
        """
        self.size_by_digest.pop(digest, None)

    def progress(self, transfer_progress):
        """Return per mille of the declared state by live key.

        Parameters
        ----------
        transfer_progress : dict of str to int
            Per mille of the transfers that are not finished.

        Returns
        -------
        dict of str to int
            -1 where this host has no room; 1000 only when the weights are live.
        """
        shown = {}
        for key, item in self.declared_by_key.items():
            if self.live_by_key.get(key) == item.digest:
                shown[key] = WHOLE
            elif item.digest in self.refused_by_digest:
                shown[key] = REFUSED
            else:
                part = transfer_progress.get(item.digest, 0)
                if item.digest in self.size_by_digest:
                    part = WHOLE - 1
                shown[key] = min(WHOLE - 1, part)
        return shown

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "declared_by_key": {
                key: item.digest for key, item in self.declared_by_key.items()
            },
            "live_by_key": dict(self.live_by_key),
            "refused_by_digest": dict(self.refused_by_digest),
            "transfers": sorted(self.transfers),
            "engine": {
                "instance": self.engine.instance,
                "loaded": sorted(self.engine.loaded),
                "memory": self.engine.memory,
                "used": self.engine.used,
            },
            "order": None if self.order is None else repr(self.order),
            "phase": self.phase,
        }

    def _wanted(self):
        return {item.digest for item in self.declared_by_key.values()}

    def _advance(self, *, now):
        outcomes = self._start_transfers()
        if not self.engine.instance or not self._is_declared:
            # Nothing heard yet is not the same as nothing declared: a restarted
            # agent must not order away what its engine answers with.
            return outcomes
        outcomes += self._switch_loaded()
        outcomes += self._next_order(now=now)
        return outcomes

    def _start_transfers(self):
        outcomes = []
        for item in self.declared_by_key.values():
            known = item.digest in self.size_by_digest
            if known or item.digest in self.transfers | set(self.refused_by_digest):
                continue
            # Fetched even if an earlier life of this agent has loaded it: peers
            # may need it, and so does the engine when it restarts.
            self.transfers.add(item.digest)
            start = StartTransfer(
                digest=item.digest, source=item.source, priority=item.priority
            )
            outcomes.append(start)
        return outcomes

    def _switch_loaded(self):
        outcomes = []
        for key, item in self.declared_by_key.items():
            ready = item.digest in self.engine.loaded
            if item.base and item.base not in self.engine.loaded:
                ready = False
            if ready and self.live_by_key.get(key) != item.digest:
                self.live_by_key[key] = item.digest
                outcomes.append(SwitchLive(key=key, digest=item.digest))
        return outcomes

    def _next_order(self, *, now):
        if self.order is not None or now < self._retry_deadline:
            return []
        missing = self._first_missing()
        if missing is None:
            self.phase = NO_SWAP
            return self._unload_idle()
        if self._fits(missing.digest):
            return self._give(OrderLoad(digest=missing.digest, base=missing.base))
        idle = self._unload_idle()
        return idle or self._swap_in_place(missing, now=now)

    def _first_missing(self):
        """Return the next declared weights that are whole here and not loaded."""
        for item in self.declared_by_key.values():
            if item.digest in self.engine.loaded:
                continue
            if item.digest not in self.size_by_digest:
                continue
            if item.base and item.base not in self.engine.loaded:
                continue
            return item
        return None

    def _fits(self, digest):
        if not self.engine.memory:
            return True
        size = self.size_by_digest[digest]
        return self.engine.used + size <= self.engine.memory

    def _swap_in_place(self, item, *, now):
        if self.phase == NO_SWAP:
            self.phase = WAITING
            self._allowed = False
            return []
        if not self._allowed:
            return []
        if self.phase == WAITING:
            # Tell the others first and look again: two hosts that saw the same
            # free place have then seen each other.
            self.phase = CHANGING
            self._begin_deadline = now + self.settle
            return []
        if now < self._begin_deadline:
            return []
        return self._go_out_of_service(item)

    def _go_out_of_service(self, item):
        """Switch off the service, and the adapters that stand on its base."""
        service = item.key.partition(":")[0]
        outcomes = []
        for key in list(self.live_by_key):
            if key.partition(":")[0] == service:
                del self.live_by_key[key]
                outcomes.append(SwitchLive(key=key, digest=None))
        return outcomes

    def _unload_idle(self):
        """Order away weights that are neither declared, live nor in use."""
        used = self._wanted() | set(self.live_by_key.values())
        bases = {self.base_by_digest[item] for item in used & set(self.base_by_digest)}
        used |= bases
        for digest in sorted(self.engine.loaded - used):
            if self._running_by_digest.get(digest, 0) == 0:
                return self._give(OrderUnload(digest=digest))
        return []

    def _give(self, order):
        self.order = order
        return [order]
