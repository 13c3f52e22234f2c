"""Weights that the configuration in force requires on a host, and their transfer."""

from hawthornspoke.deployment import TargetWeights

DEFAULT_PRIORITY = 3


def required_weights(services):
    """Return the weights that a host's services need, base weights before adapters.

    Parameters
    ----------
    services : list of ServiceView

    Returns
    -------
    list of TargetWeights
    """
    items = []
    for view in services:
        if view.kind != "model":
            continue
        priority = view.table.get("burst_priority", DEFAULT_PRIORITY)
        base = TargetWeights(
            key=view.live_key(),
            digest=view.digest,
            source=view.sources.get(view.digest, ""),
            priority=priority,
        )
        items.append(base)
        for name, digest in sorted(view.adapters.items()):
            adapter = TargetWeights(
                key=view.live_key(name),
                digest=digest,
                base=view.digest,
                source=view.sources.get(digest, ""),
                priority=priority,
            )
            items.append(adapter)
    return items


def transfer_options(document):
    """Return the transfer options that the document declares.

    Parameters
    ----------
    document : dict

    Returns
    -------
    dict
        Keyword arguments of :class:`hawthornspoke.swarm.TransferRequested`.
    """
    rollout = document["rollout"]
    return {
        "strategy": rollout["strategy"],
        "origin_copies": rollout["origin_copies"],
        "origin_scope": rollout["origin_scope"],
    }
