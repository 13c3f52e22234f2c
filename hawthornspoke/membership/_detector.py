"""Heartbeat failure detector that compensates for pauses of its own process."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine

LISTED = "listed"
ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEAVING = "leaving"

#: Seldom changed fields of a node's state. Entry hosts that relay the state omit them
#: while they are unchanged, to save bytes; such a record is called light.
STATIC_FIELDS = (
    "role",
    "failure_domain",
    "address",
    "port",
    "leaving",
    "live",
    "slots",
    "revision",
    "progress",
    "warming",
)


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberStateReceived:
    """State of a node was received, directly or relayed.

    Parameters
    ----------
    member : hawthornspoke.protocol.Member
    age : float
        Seconds since the node sent it, as measured by the entry host that relayed it;
        0 if received from the node itself.
    """

    member: object
    age: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class HostListUpdated:
    """The platform's host list was read.

    Parameters
    ----------
    entries : list of hawthornspoke.store.HostEntry
    """

    entries: list


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Periodic message to check deadlines; sent several times a second."""


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberChanged:
    """The status of a node has changed."""

    node: str
    before: str
    after: str


class MemberView:
    """State of one node as known to this process.

    Parameters
    ----------
    node : str
    role : str
    failure_domain : str
    address : str
    port : int

    Attributes
    ----------
    sent_at : float or None
        Estimated time at which the node sent its newest known state; None if the node
        is known only from the host list.
    listed, listed_leaving : bool
        Whether the host list contains the node, and marks it as leaving.
    """

    __slots__ = (
        "node",
        "role",
        "failure_domain",
        "address",
        "port",
        "status",
        "incarnation",
        "seq",
        "sent_at",
        "suspect_deadline",
        "dead_deadline",
        "listed",
        "listed_leaving",
        "member",
    )

    def __init__(self, *, node, role, failure_domain, address, port):
        self.node = node
        self.role = role
        self.failure_domain = failure_domain
        self.address = address
        self.port = port
        self.status = LISTED
        self.incarnation = 0
        self.seq = 0
        self.sent_at = None
        self.suspect_deadline = None
        self.dead_deadline = None
        self.listed = False
        self.listed_leaving = False
        self.member = None

    def accepts_requests(self):
        """Return whether new requests may be sent to the node.

        Returns
        -------
        bool
        """
        return self.status == ALIVE


@MACHINES.register("membership")
class Membership(Machine):
    """Status of all other nodes.

    Parameters
    ----------
    node : str
        Name of this node, whose own status is not tracked.
    suspect_after : float, default=2.5
        Seconds without a message after which a node gets no new requests.
    dead_after : float, default=8.0
        Seconds without a message after which a node is considered dead.
    forget_after : float, default=60.0
        Seconds after which a dead node is removed if the host list lacks it.
    pause_gap : float, default=1.0
        Seconds between two ticks above which this process is assumed to have been
        paused.

    Notes
    -----
    Deadlines are stored, and shifted after a pause of this process. Otherwise an entry
    host that was frozen for 2 s would suspect all other nodes at once, and refuse
    callers although every endpoint is healthy.
    """

    __slots__ = (
        "node",
        "suspect_after",
        "dead_after",
        "forget_after",
        "pause_gap",
        "by_id",
        "pauses",
        "_last_tick",
    )
    PARAMS = {
        "node": Bounds(kind=str),
        "suspect_after": Bounds(kind=(int, float), low=0.01),
        "dead_after": Bounds(kind=(int, float), low=0.01),
        "forget_after": Bounds(kind=(int, float), low=0.01),
        "pause_gap": Bounds(kind=(int, float), low=0.01),
    }

    def __init__(
        self,
        *,
        node="node",
        suspect_after=2.5,
        dead_after=8.0,
        forget_after=60.0,
        pause_gap=1.0,
    ):
        self.node = node
        self.suspect_after = suspect_after
        self.dead_after = dead_after
        self.forget_after = forget_after
        self.pause_gap = pause_gap
        self.by_id = {}
        self.pauses = 0
        self._last_tick = None

    def on_member_state_received(self, message, *, now):
        """Update a node if the received state is newer than the stored one.

        Parameters
        ----------
        message : MemberStateReceived
        now : float

        Returns
        -------
        list of MemberChanged
        """
        member = message.member
        if not member.node or member.node == self.node:
            return []
        view = self.by_id.get(member.node)
        if view is None or view.member is None:
            if member.light:
                # The omitted fields are unknown until a full record arrives.
                return []
        if view is None:
            view = self._add(member.node, _role_name(member.role), member)
        state_version = (member.incarnation or 0, member.seq or 0)
        if state_version <= (view.incarnation, view.seq):
            # A duplicate or outdated state, for example delayed by a relay. Accepting
            # it would mark a dead node as alive for a full timeout.
            return []
        view.incarnation, view.seq = state_version
        if member.light:
            fill_light_record(member, view.member)
        view.failure_domain = member.failure_domain or view.failure_domain
        view.address = member.address or view.address
        view.port = member.port or view.port
        view.member = member
        view.sent_at = now - message.age
        view.suspect_deadline = view.sent_at + self.suspect_after
        view.dead_deadline = view.sent_at + self.dead_after
        return self._update_status(view, now=now)

    def on_host_list_updated(self, message, *, now):
        """Apply the host list: add unknown nodes and mark leaving ones.

        Parameters
        ----------
        message : HostListUpdated
        now : float

        Returns
        -------
        list of MemberChanged
        """
        listed = {entry.host: entry for entry in message.entries}
        changes = []
        for name, entry in listed.items():
            if name == self.node:
                continue
            view = self.by_id.get(name) or self._add(name, entry.role, entry)
            view.listed = True
            view.listed_leaving = entry.leaving
            if view.sent_at is None:
                view.address = entry.address
                view.port = entry.port
            changes += self._update_status(view, now=now)
        for name, view in self.by_id.items():
            if name not in listed:
                view.listed = False
        return changes

    def on_tick(self, message, *, now):
        """Mark nodes whose deadlines passed as suspect or dead; remove long-dead ones.

        Parameters
        ----------
        message : Tick
        now : float

        Returns
        -------
        list of MemberChanged
        """
        self._compensate_pause(now)
        changes = []
        removed = []
        for view in self.by_id.values():
            changes += self._update_status(view, now=now)
            if self._should_forget(view, now=now):
                removed.append(view.node)
        for name in removed:
            del self.by_id[name]
        return changes

    def nodes(self, *, role, status=ALIVE):
        """Return the nodes of a role and status.

        Parameters
        ----------
        role : str
        status : str, default="alive"

        Returns
        -------
        list of MemberView
        """
        return [
            view
            for view in self.by_id.values()
            if view.role == role and view.status == status
        ]

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
            "pauses": self.pauses,
            "by_id": {name: _dump_view(view, now) for name, view in self.by_id.items()},
        }

    def _add(self, name, role, source):
        view = MemberView(
            node=name,
            role=role,
            failure_domain=source.failure_domain or "",
            address=source.address or "",
            port=source.port or 0,
        )
        self.by_id[name] = view
        return view

    def _compensate_pause(self, now):
        gap = 0.0 if self._last_tick is None else now - self._last_tick
        self._last_tick = now
        if gap <= self.pause_gap:
            return
        self.pauses += 1
        for view in self.by_id.values():
            if view.status in (ALIVE, LEAVING) and view.sent_at is not None:
                view.suspect_deadline += gap
                view.dead_deadline += gap

    def _update_status(self, view, *, now):
        before = view.status
        view.status = self._current_status(view, now=now)
        if view.status == before:
            return []
        return [MemberChanged(node=view.node, before=before, after=view.status)]

    def _current_status(self, view, *, now):
        if view.sent_at is None:
            return LEAVING if view.listed_leaving else LISTED
        if now >= view.dead_deadline:
            return DEAD
        if view.listed_leaving or view.member.leaving:
            return LEAVING
        if now >= view.suspect_deadline:
            return SUSPECT
        return ALIVE

    def _should_forget(self, view, *, now):
        if view.listed:
            return False
        if view.sent_at is None:
            return True
        return now >= view.dead_deadline + self.forget_after


def fill_light_record(member, previous):
    """Fill the omitted fields of a light record from the previous record.

    Parameters
    ----------
    member : hawthornspoke.protocol.Member
        Light record; modified in place.
    previous : hawthornspoke.protocol.Member
        Previous record of the node. If its ``static_seq`` is older than the light
        record's, a full record was lost, and the old values are used until the next
        full record. An endpoint refuses a request sent because of an old value, which
        corrects it.
    """
    for name in STATIC_FIELDS:
        setattr(member, name, getattr(previous, name))
    member.static_seq = previous.static_seq


def _role_name(role):
    return "entry" if role == 1 else "agent"


def _dump_view(view, now):
    age = None if view.sent_at is None else round(now - view.sent_at, 3)
    live = {}
    if view.member is not None:
        live = {item.service_name: item.digest for item in view.member.live or ()}
    return {
        "role": view.role,
        "status": view.status,
        "failure_domain": view.failure_domain,
        "address": f"{view.address}:{view.port}",
        "incarnation": view.incarnation,
        "age": age,
        "listed": view.listed,
        "live": live,
    }
