"""Permission for a host to stop serving while its weights are replaced in place."""

from dataclasses import dataclass

from hawthornspoke.base import rendezvous_order

OLD = "old"
WAITING = "waiting"
CHANGING = "changing"
NEW = "new"


@dataclass(slots=True, kw_only=True, frozen=True)
class HostState:
    """Progress of one host of the service in a rollout.

    Parameters
    ----------
    node : str
    state : str
        ``"old"``; ``"waiting"`` for permission; ``"changing"``, out of service while it
        replaces its weights; or ``"new"``.
    """

    node: str
    state: str


def may_swap_weights(*, node, ranking_key, hosts, max_unavailable):
    """Return whether a host may stop serving to replace its weights in place.

    Parameters
    ----------
    node : str
        The host that requests permission.
    ranking_key : str
        Key by which hosts are ranked, the same on all hosts; agents pass the revision
        of the configuration.
    hosts : list of HostState
        The live hosts of the service in the failure domain, including ``node``.
    max_unavailable : int
        Maximum number of the service's hosts in the failure domain that are out of
        service at once.

    Returns
    -------
    bool

    Notes
    -----
    There is no coordinator: two hosts that both see no other host changing could both
    go out of service, and live traffic would lose more capacity than
    ``max_unavailable`` allows. So all hosts rank the waiting ones in the same order
    (rendezvous hashing), and a host that isn't among the first must wait. Hosts that
    are changing already are ranked in the same way, in case too many are.
    """
    changing = [item.node for item in hosts if item.state == CHANGING]
    if node in changing:
        order = rendezvous_order(key=ranking_key, nodes=changing)
        return order.index(node) < max_unavailable
    waiting = [item.node for item in hosts if item.state == WAITING]
    if node not in waiting:
        return False
    order = rendezvous_order(key=ranking_key, nodes=waiting)
    return len(changing) + order.index(node) < max_unavailable
