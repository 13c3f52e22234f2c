"""Permission to go out of service for a swap in place."""

from dataclasses import dataclass

from hawthornspoke.base import rendezvous_order

OLD = "old"
WAITING = "waiting"
CHANGING = "changing"
NEW = "new"


@dataclass(slots=True, kw_only=True, frozen=True)
class HostState:
    """Where a host of the service stands in a change-over.

    Parameters
    ----------
    node : str
    state : str
        ``"old"``, ``"waiting"``, ``"changing"`` or ``"new"``.
    """

    node: str
    state: str


def may_change_over(*, node, digest, hosts, max_unavailable):
    """Tell whether a host may stop answering in order to swap its weights.

    Parameters
    ----------
    node : str
        The host that asks.
    digest : str
        The new weights.
    hosts : list of HostState
        The live hosts of the service in the failure domain, this one too.
    max_unavailable : int
        Hosts of the failure domain that may be out of service at once.

    Returns
    -------
    bool

    Notes
    -----
    Without a coordinator, two hosts that both see nobody changing would both go,
    and live traffic would lose more capacity than was declared. All hosts order
    those that wait in the same way, and one counts the places before it.
    """
    changing = [item.node for item in hosts if item.state == CHANGING]
    if node in changing:
        order = rendezvous_order(key=digest, nodes=changing)
        return order.index(node) < max_unavailable
    waiting = [item.node for item in hosts if item.state == WAITING]
    if node not in waiting:
        return False
    order = rendezvous_order(key=digest, nodes=waiting)
    return len(changing) + order.index(node) < max_unavailable
