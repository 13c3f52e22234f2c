"""Who sends its state to whom, so that cost stays flat as the fleet grows."""

from hawthornspoke.base import rendezvous_order

#: Entry hosts that each agent reports to. Two, so that one dying entry host
#: hides no endpoint for longer than a heartbeat.
RELAYS = 2


def relay_targets(*, node, failure_domain, entries):
    """Return the entry hosts that an agent sends its heartbeat to.

    Parameters
    ----------
    node : str
        The agent.
    failure_domain : str
        The agent's.
    entries : list of MemberView
        Entry hosts that are not known to be dead.

    Returns
    -------
    list of MemberView
        Of its own failure domain if that has any, so that a cut between
        failure domains takes no endpoint away from its own neighbours.
    """
    own = [view for view in entries if view.failure_domain == failure_domain]
    by_name = {view.node: view for view in own or entries}
    order = rendezvous_order(key=node, nodes=by_name)
    return [by_name[name] for name in order[:RELAYS]]


def may_relay(*, relay, node, failure_domain, entries, copy_deadline, now):
    """Tell whether an entry host is to relay an agent that reports to it.

    Parameters
    ----------
    relay : str
        The entry host that asks.
    node : str
        The agent.
    failure_domain : str
        The agent's.
    entries : list of MemberView
        The other entry hosts that are not known to be dead.
    copy_deadline : float
        Until when a copy that another entry host relayed counts as fresh.
    now : float

    Returns
    -------
    bool
        True for the first relay in the agent's order, and for the second while
        it hears no copy: two copies of every record are half of an entry host's
        inward bytes, and a dead first relay must not hide its endpoints.
    """
    if now >= copy_deadline:
        return True
    own = [view.node for view in entries if view.failure_domain == failure_domain]
    return rendezvous_order(key=node, nodes=[relay, *own])[0] == relay


def summary_targets(*, failure_domain, entries, place, turn):
    """Return one entry host in each other failure domain.

    Parameters
    ----------
    failure_domain : str
        The sender's.
    entries : list of MemberView
        Entry hosts that are not known to be dead.
    place : int
        The sender's place among the entry hosts of its failure domain.
    turn : int
        Number of the round; each round the targets move on by one, so that all
        senders together reach every entry host of a failure domain evenly.

    Returns
    -------
    list of MemberView
    """
    by_domain = {}
    for view in entries:
        if view.failure_domain != failure_domain:
            by_domain.setdefault(view.failure_domain, []).append(view)
    targets = []
    for _, views in sorted(by_domain.items()):
        ordered = sorted(views, key=lambda view: view.node)
        targets.append(ordered[(place + turn) % len(ordered)])
    return targets
