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
    return _in_order_of_preference(node, failure_domain, entries)[:N_RELAYS]


def probe_targets(*, node, failure_domain, entries, silent, round_number):
    """Return the silent entry hosts that an agent sends a heartbeat to as well.

    An agent hears of an entry host only by the replies to its own heartbeats. Without
    these probes it would never notice that a silent entry host has returned, and the
    host would not get the reports of the agents of its own failure domain.

    Parameters
    ----------
    node : str
        The agent.
    failure_domain : str
        Failure domain of the agent.
    entries : list of MemberView
        Entry hosts that are not known to be dead.
    silent : list of MemberView
        Entry hosts that are suspect, leaving or dead, but may return.
    round_number : int
        Number of the heartbeat. Takes turns if there are many silent entry hosts.

    Returns
    -------
    list of MemberView
        At most ``N_RELAYS`` of those that :func:`relay_targets` would prefer to the
        present relays if they were not silent.
    """
    candidates = _in_order_of_preference(node, failure_domain, [*entries, *silent])
    silent_names = {view.node for view in silent}
    preferred = []
    relay_count = 0
    for view in candidates:
        if view.node in silent_names:
            preferred.append(view)
        else:
            relay_count += 1
        if relay_count == N_RELAYS:
            break
    return _take_turns(preferred, N_RELAYS, round_number)


def silent_peers(*, failure_domain, silent, round_number):
    """Return the silent entry host that an entry host sends its next heartbeat to.

    Two entry hosts that consider each other dead, for example after a network partition
    between them, would otherwise never hear each other again.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the sender. Those of other failure domains are among the
        targets of summaries.
    silent : list of MemberView
        Entry hosts that are suspect, leaving or dead, but may return.
    round_number : int
        Number of the heartbeat. The silent hosts take turns.

    Returns
    -------
    list of MemberView
        At most one.
    """
    same_domain = [view for view in silent if view.failure_domain == failure_domain]
    ordered = sorted(same_domain, key=lambda view: view.node)
    return _take_turns(ordered, 1, round_number)


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
        All entry hosts that may receive summaries, also silent ones: an entry host
        hears a single one of another failure domain so rarely that its silence does
        not show a failure.
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


def _in_order_of_preference(node, failure_domain, entries):
    """Return the entry hosts that an agent may report to, the preferred ones first."""
    same_domain = [view for view in entries if view.failure_domain == failure_domain]
    by_name = {view.node: view for view in same_domain or entries}
    return [by_name[name] for name in rendezvous_order(key=node, nodes=by_name)]


def _take_turns(views, count, round_number):
    """Return some of the views, others each round."""
    if not views:
        return []
    start = round_number * count % len(views)
    return [*views[start:], *views[:start]][:count]
