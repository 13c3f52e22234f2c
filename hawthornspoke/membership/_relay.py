"""Gossip targets, chosen so that the cost does not grow with the fleet size."""

from hawthornspoke.base import rendezvous_order

#: Number of entry hosts that each agent reports to. With two, the failure of one
#: entry host hides no endpoint for longer than a heartbeat.
N_RELAYS = 2


def relay_targets(*, node, failure_domain, entries):
    """Return the entry hosts that an agent sends its heartbeats to.

    Parameters
    ----------
    node : str
        The agent.
    failure_domain : str
        Failure domain of the agent.
    entries : list of MemberView
        Entry hosts that are not known to be dead.

    Returns
    -------
    list of MemberView
        Entry hosts of the agent's failure domain if there are any, so that a network
        partition between failure domains hides no endpoint within its own one.
    """
    same_domain = [view for view in entries if view.failure_domain == failure_domain]
    by_name = {view.node: view for view in same_domain or entries}
    order = rendezvous_order(key=node, nodes=by_name)
    return [by_name[name] for name in order[:N_RELAYS]]


def may_relay(*, relay, node, failure_domain, entries, copy_deadline, now):
    """Return whether an entry host relays the state of an agent reporting to it.

    Parameters
    ----------
    relay : str
        The entry host.
    node : str
        The agent.
    failure_domain : str
        Failure domain of the agent.
    entries : list of MemberView
        Other entry hosts that are not known to be dead.
    copy_deadline : float
        Time until which the latest state of the agent that another entry host relayed
        counts as fresh.
    now : float

    Returns
    -------
    bool
        True for the first relay in the agent's rendezvous order, and for the second
        one while it receives no copy: a dead first relay must not hide its agents.
        If both always relayed, the second copies would be half of the bytes that
        an entry host receives.
    """
    if now >= copy_deadline:
        return True
    same_domain = [
        view.node for view in entries if view.failure_domain == failure_domain
    ]
    return rendezvous_order(key=node, nodes=[relay, *same_domain])[0] == relay


def summary_targets(*, failure_domain, entries, sender_index, round_number):
    """Return the targets of a summary: one entry host of each other failure domain.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the sender.
    entries : list of MemberView
        Entry hosts that are not known to be dead.
    sender_index : int
        Index of the sender among the entry hosts of its failure domain.
    round_number : int
        Number of the summary, counted by the sender. The targets advance by one each
        time, so that all entry hosts of a failure domain get equally many summaries.

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
        targets.append(ordered[(sender_index + round_number) % len(ordered)])
    return targets
