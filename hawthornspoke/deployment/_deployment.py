"""State machine, without I/O, that decides which orders an agent gives its engine.

An order makes the engine load or unload weights. Weights are declared if the
configuration names them for this host, and live while requests are served with them.
"""

from dataclasses import dataclass, field

from hawthornspoke.base import MACHINES, Bounds, Machine

#: Phases of an in-place swap, as announced to other hosts: no swap, waiting for a
#: permit, and swap announced or in progress. In such a swap the old weights are
#: unloaded first, because the engine lacks the memory for both.
NO_SWAP = 0
WAITING_FOR_PERMIT = 1
CHANGING = 2

#: Delay in seconds before a failed order is retried.
ORDER_RETRY_DELAY = 1.0

#: Progress in per mille that is reported for weights that the host has no space for,
#: and for live ones.
NO_SPACE_PROGRESS = -1
COMPLETE_PROGRESS = 1000


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetWeights:
    """Weights declared for a service or an adapter.

    Parameters
    ----------
    key : str
        Live key, which requests are served under: service name, or ``service:adapter``.
    digest : str
    base : str
        Digest of the base weights if these are adapter weights, else empty.
    source : str
        Name of the weights at the origin.
    priority : int
        Priority of the transfer; lower values go first.
    """

    key: str
    digest: str
    base: str = ""
    source: str = ""
    priority: int = 3


@dataclass(slots=True, kw_only=True, frozen=True)
class SetDeclaredWeights:
    """The configuration in force declares the weights that this host is to run.

    Parameters
    ----------
    items : tuple of TargetWeights
        Declared weights, base weights before their adapters.
    """

    items: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferComplete:
    """All chunks of the weights are stored on this host and verified."""

    digest: str
    size: int


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferRefused:
    """The host has no space for the weights."""

    digest: str
    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineStateUpdated:
    """The state of the engine was queried.

    Parameters
    ----------
    instance : str
        Identifier that changes when the engine restarts; empty if it has no state, as
        it doesn't run. An engine that is only silent keeps its last state.
    loaded : frozenset of str
        Digests of the loaded weights.
    memory : int
        Capacity for weights in bytes; 0 for no limit.
    used : int
        Bytes of this capacity that are in use.
    """

    instance: str
    loaded: frozenset = frozenset()
    memory: int = 0
    used: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class OrderEnded:
    """The order in progress, to load or unload weights, has ended."""

    digest: str
    ok: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class SwapPermitUpdated:
    """Whether enough other hosts serve for this one to stop for an in-place swap."""

    allowed: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Periodic message with the running requests.

    Parameters
    ----------
    running_by_digest : dict of str to int
        Number of running requests per digest.
    """

    running_by_digest: dict = field(default_factory=dict)


@dataclass(slots=True, kw_only=True, frozen=True)
class StartTransfer:
    """Start to transfer weights to this host."""

    digest: str
    source: str
    priority: int


@dataclass(slots=True, kw_only=True, frozen=True)
class CancelTransfer:
    """Stop the transfer of weights that are no longer declared."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class OrderLoad:
    """Order the engine to load weights that are complete on this host."""

    digest: str
    base: str


@dataclass(slots=True, kw_only=True, frozen=True)
class OrderUnload:
    """Order the engine to unload weights that no request runs on."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class SwitchLive:
    """Serve a live key with other weights, or not at all if the digest is None."""

    key: str
    digest: object


@MACHINES.register("deployment")
class Deployment(Machine):
    """Orders one engine to load and unload weights until it serves the declared ones.

    Parameters
    ----------
    settle : float, default=1.5
        Seconds between the announcement of an in-place swap to the other hosts and its
        start, in which their announcements arrive here.

    Notes
    -----
    If the engine has enough memory, new weights are loaded beside the old ones and the
    switch is a single assignment. Otherwise the host swaps in place: with a permit it
    stops serving, waits until no request runs on the old weights, and then unloads
    them. Replacing weights during a running request would yield an answer that mixes
    both versions.

    There is no coordinator: each agent decides on its own permit (``may_swap_weights``)
    from the swap phases that hosts announce to each other by gossip. Permits limit how
    many hosts of a service are out of service at once in a failure domain. As a permit
    may rest on outdated announcements, the host announces its swap, waits for
    ``settle`` seconds and starts only if it still has the permit.

    An engine that restarts while its agent keeps running has no weights, or weights
    that the agent did not order. A changed instance identifier reveals the restart,
    and every live key is then switched off until the declared weights are loaded.
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
        "_has_configuration",
        "_swap_not_before",
        "_retry_not_before",
        "_swap_permitted",
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
        self.engine = EngineStateUpdated(instance="")
        self.order = None
        self.phase = NO_SWAP
        self._has_configuration = False
        self._swap_not_before = 0.0
        self._retry_not_before = 0.0
        self._swap_permitted = False
        self._running_by_digest = {}

    def on_set_declared_weights(self, message, *, now):
        """Update the declared weights of this host."""
        self.declared_by_key = {item.key: item for item in message.items}
        for item in message.items:
            if item.base:
                self.base_by_digest[item.digest] = item.base
        self.refused_by_digest = {}
        self._has_configuration = True
        outcomes = []
        for key in list(self.live_by_key):
            if key not in self.declared_by_key:
                del self.live_by_key[key]
                outcomes.append(SwitchLive(key=key, digest=None))
        declared_digests = self._declared_digests()
        for digest in sorted(self.transfers - declared_digests):
            self.transfers.discard(digest)
            outcomes.append(CancelTransfer(digest=digest))
        return outcomes + self._advance(now=now)

    def on_transfer_complete(self, message, *, now):
        """Record that weights are complete on this host."""
        self.transfers.discard(message.digest)
        self.size_by_digest[message.digest] = message.size
        return self._advance(now=now)

    def on_transfer_refused(self, message, *, now):
        """Record that there is no space for weights, which are then not transferred."""
        self.transfers.discard(message.digest)
        self.refused_by_digest[message.digest] = message.reason
        return []

    def on_engine_state_updated(self, message, *, now):
        """Update the state of the engine."""
        outcomes = []
        restarted = message.instance != self.engine.instance
        for key, digest in list(self.live_by_key.items()):
            if restarted or digest not in message.loaded:
                del self.live_by_key[key]
                outcomes.append(SwitchLive(key=key, digest=None))
        self.engine = EngineStateUpdated(
            instance=message.instance,
            loaded=frozenset(message.loaded),
            memory=message.memory,
            used=message.used,
        )
        return outcomes + self._advance(now=now)

    def on_order_ended(self, message, *, now):
        """Update the state of the engine after an order has ended."""
        order, self.order = self.order, None
        if not message.ok:
            self._retry_not_before = now + ORDER_RETRY_DELAY
            return []
        loaded = set(self.engine.loaded)
        size = self.size_by_digest.get(message.digest, 0)
        if isinstance(order, OrderLoad):
            loaded.add(message.digest)
        else:
            loaded.discard(message.digest)
            size = -size
        self.engine = EngineStateUpdated(
            instance=self.engine.instance,
            loaded=frozenset(loaded),
            memory=self.engine.memory,
            used=max(0, self.engine.used + size),
        )
        return self._advance(now=now)

    def on_swap_permit_updated(self, message, *, now):
        """Update whether this host may stop serving."""
        self._swap_permitted = message.allowed
        return self._advance(now=now)

    def on_tick(self, message, *, now):
        """Update the running requests and advance."""
        running = dict(message.running_by_digest)
        for digest, count in message.running_by_digest.items():
            base = self.base_by_digest.get(digest)
            if base:
                running[base] = running.get(base, 0) + count
        self._running_by_digest = running
        return self._advance(now=now)

    def remove_stored_weights(self, digest):
        """Record that weights are no longer stored on this host.

        Parameters
        ----------
        digest : str
        """
        self.size_by_digest.pop(digest, None)

    def progress(self, transfer_progress):
        """Return the progress towards the declared state, by live key.

        Parameters
        ----------
        transfer_progress : dict of str to int
            Progress per digest of unfinished transfers, in per mille.

        Returns
        -------
        dict of str to int
            Progress in per mille; 1000 only if the weights are live, and -1 if this
            host has no space for them.
        """
        progress_by_key = {}
        for key, item in self.declared_by_key.items():
            if self.live_by_key.get(key) == item.digest:
                progress_by_key[key] = COMPLETE_PROGRESS
            elif item.digest in self.refused_by_digest:
                progress_by_key[key] = NO_SPACE_PROGRESS
            else:
                permille = transfer_progress.get(item.digest, 0)
                if item.digest in self.size_by_digest:
                    permille = COMPLETE_PROGRESS - 1
                progress_by_key[key] = min(COMPLETE_PROGRESS - 1, permille)
        return progress_by_key

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

    def _declared_digests(self):
        return {item.digest for item in self.declared_by_key.values()}

    def _advance(self, *, now):
        outcomes = self._start_transfers()
        if not self.engine.instance or not self._has_configuration:
            # Without a configuration it is unknown what is declared. A restarted agent
            # must not unload the weights that its engine serves.
            return outcomes
        outcomes += self._switch_loaded()
        outcomes += self._next_order(now=now)
        return outcomes

    def _start_transfers(self):
        outcomes = []
        for item in self.declared_by_key.values():
            is_stored = item.digest in self.size_by_digest
            if is_stored or item.digest in self.transfers | set(self.refused_by_digest):
                continue
            # Transferred even if the engine has loaded the weights under an earlier
            # agent process, since peers and a restarted engine may need them.
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
        if self.order is not None or now < self._retry_not_before:
            return []
        missing = self._next_to_load()
        if missing is None:
            self.phase = NO_SWAP
            return self._unload_unused()
        if self._fits(missing.digest):
            return self._issue_order(
                OrderLoad(digest=missing.digest, base=missing.base)
            )
        unload_orders = self._unload_unused()
        return unload_orders or self._swap_in_place(missing, now=now)

    def _next_to_load(self):
        """Return the next declared weights that are complete here but not loaded."""
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
            self.phase = WAITING_FOR_PERMIT
            self._swap_permitted = False
            return []
        if not self._swap_permitted:
            return []
        if self.phase == WAITING_FOR_PERMIT:
            # Announce the swap, and check the permit again after the wait. Two hosts
            # that had not seen each other's announcements may both have got a permit
            # although only one of them may stop. After the wait each has seen the
            # other's announcement, and only one is still permitted.
            self.phase = CHANGING
            self._swap_not_before = now + self.settle
            return []
        if now < self._swap_not_before:
            return []
        return self._stop_serving(item)

    def _stop_serving(self, item):
        """Stop serving a service and its adapters, before their weights are swapped."""
        service = item.key.partition(":")[0]
        outcomes = []
        for key in list(self.live_by_key):
            if key.partition(":")[0] == service:
                del self.live_by_key[key]
                outcomes.append(SwitchLive(key=key, digest=None))
        return outcomes

    def _unload_unused(self):
        """Order the unloading of weights that are not declared, live or in use."""
        used = self._declared_digests() | set(self.live_by_key.values())
        bases = {self.base_by_digest[item] for item in used & set(self.base_by_digest)}
        used |= bases
        for digest in sorted(self.engine.loaded - used):
            if self._running_by_digest.get(digest, 0) == 0:
                return self._issue_order(OrderUnload(digest=digest))
        return []

    def _issue_order(self, order):
        self.order = order
        return [order]
