"""A failure detector that allows for its own pauses."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine

LISTED = "listed"
ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEAVING = "leaving"

#: Fields of a member's state that a light record leaves out.
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
class MemberHeard:
    """State of a node, from itself or relayed.

    Parameters
    ----------
    member : hawthornspoke.protocol.Member
    age : float
        Seconds since the node sent it, as far as the relays know.
    """

    member: object
    age: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class HostListed:
    """The platform's host list was read.

    Parameters
    ----------
    entries : list of hawthornspoke.store.HostEntry
    """

    entries: list


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Time passed; sent several times a second."""


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberChanged:
    """A node's status changed."""

    node: str
    before: str
    after: str


class MemberView:
    """What is known of one node.

    Parameters
    ----------
    node : str
    role : str
    failure_domain : str
    address : str
    port : int
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
        "heard_at",
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
        self.heard_at = None
        self.suspect_deadline = None
        self.dead_deadline = None
        self.listed = False
        self.listed_leaving = False
        self.member = None

    def takes_work(self):
        """Tell whether new work may be sent there.

        Returns
        -------
        bool
        """
        return self.status == ALIVE


@MACHINES.register("membership")
class Membership(Machine):
    """Node statuses by name.

    Parameters
    ----------
    node : str
        This node's name; nothing is concluded about itself.
    suspect_after : float, default=2.5
        Seconds of silence after which no new work goes to a node.
    dead_after : float, default=8.0
        Seconds of silence after which a node counts as gone.
    forget_after : float, default=60.0
        Seconds after which a dead and unlisted node is forgotten.
    pause_gap : float, default=1.0
        A longer time between two ticks means that this process was paused.

    Notes
    -----
    Deadlines are stored, and moved when this process finds that it was itself
    paused: otherwise a 2 s freeze of one entry host would make it suspect all
    others at once, and refuse callers while every endpoint is healthy.
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

    def on_member_heard(self, message, *, now):
        """Take a node's state if it is newer than the one held.

        Parameters
        ----------
        message : MemberHeard
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
                # Nothing to complete it with: wait for the whole record.
                return []
        if view is None:
            view = self._add(member.node, _role_name(member.role), member)
        stamp = (member.incarnation or 0, member.seq or 0)
        if stamp <= (view.incarnation, view.seq):
            # An older or repeated state, late by way of a relay. Taking it
            # would bring a dead node back to life for a whole timeout.
            return []
        view.incarnation, view.seq = stamp
        if member.light:
            complete(member, view.member)
        view.failure_domain = member.failure_domain or view.failure_domain
        view.address = member.address or view.address
        view.port = member.port or view.port
        view.member = member
        view.heard_at = now - message.age
        view.suspect_deadline = view.heard_at + self.suspect_after
        view.dead_deadline = view.heard_at + self.dead_after
        return self._refresh(view, now=now)

    def on_host_listed(self, message, *, now):
        """Take the platform's list: a seed, and one more sign of leaving.

        Parameters
        ----------
        message : HostListed
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
            if view.heard_at is None:
                view.address = entry.address
                view.port = entry.port
            changes += self._refresh(view, now=now)
        for name, view in self.by_id.items():
            if name not in listed:
                view.listed = False
        return changes

    def on_tick(self, message, *, now):
        """Compare deadlines with the time.

        Parameters
        ----------
        message : Tick
        now : float

        Returns
        -------
        list of MemberChanged
        """
        self._allow_for_pause(now)
        changes = []
        forgotten = []
        for view in self.by_id.values():
            changes += self._refresh(view, now=now)
            if self._is_over(view, now=now):
                forgotten.append(view.node)
        for name in forgotten:
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

    def _allow_for_pause(self, now):
        gap = 0.0 if self._last_tick is None else now - self._last_tick
        self._last_tick = now
        if gap <= self.pause_gap:
            return
        self.pauses += 1
        for view in self.by_id.values():
            if view.status in (ALIVE, LEAVING) and view.heard_at is not None:
                view.suspect_deadline += gap
                view.dead_deadline += gap

    def _refresh(self, view, *, now):
        before = view.status
        view.status = self._status(view, now=now)
        if view.status == before:
            return []
        return [MemberChanged(node=view.node, before=before, after=view.status)]

    def _status(self, view, *, now):
        if view.heard_at is None:
            return LEAVING if view.listed_leaving else LISTED
        if now >= view.dead_deadline:
            return DEAD
        if view.listed_leaving or view.member.leaving:
            return LEAVING
        if now >= view.suspect_deadline:
            return SUSPECT
        return ALIVE

    def _is_over(self, view, *, now):
        if view.listed:
            return False
        if view.heard_at is None:
            return True
        return now >= view.dead_deadline + self.forget_after


def complete(member, known):
    """Fill a light record with the rarely changing fields that are known.

    Parameters
    ----------
    member : hawthornspoke.protocol.Member
        Light; changed in place.
    known : hawthornspoke.protocol.Member
        The state held so far. If its ``static_seq`` is older, a whole record was
        lost on the way: its fields are kept until the next one, and what they
        get wrong is put right by the endpoint's refusal.
    """
    for name in STATIC_FIELDS:
        setattr(member, name, getattr(known, name))
    member.static_seq = known.static_seq


def _role_name(role):
    return "entry" if role == 1 else "agent"


def _dump_view(view, now):
    age = None if view.heard_at is None else round(now - view.heard_at, 3)
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
