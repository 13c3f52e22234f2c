"""State of the engine as an agent reports it to entry hosts."""

from hawthornspoke.peering import made_us
from hawthornspoke.protocol import DeclaredAge, EngineState


def engine_state(
    *,
    observed,
    address,
    model,
    upgrade,
    boottime_now,
    order_pending,
    links,
    ages,
    slowdown=None,
):
    """Return the state of an engine as reported to entry hosts.

    Parameters
    ----------
    observed : EngineSnapshot or None
        None while the engine is unreachable.
    address : str
        Address of the engine.
    model : str or None
    upgrade : Upgrade
    boottime_now : float
        Current time of ``boottime_clock``, from which ages count too.
    order_pending : bool
        Whether an order to load weights is about to be sent or in progress.
    links : EntryLinks
    ages : list of DeclaredAge
        Ages of the recently declared versions.
    slowdown : float or None, default=None
        By other work on the host; None if it isn't known.

    Returns
    -------
    EngineState
    """
    link_delay_ms = int(links.delay() * 1000)
    ready_at = upgrade.ready_at(boottime_now)
    state = EngineState(
        endpoint_address=address,
        model=model,
        next_version=upgrade.next_version(),
        next_ready_ms=-1 if ready_at is None else int((ready_at - boottime_now) * 1000),
        loading=True,
        entry_hosts=len(links),
        link_delay_ms=link_delay_ms,
        # Entry hosts of older versions count ages from the arrival of the report.
        declared=[
            DeclaredAge(
                version=item.version,
                age_ms=item.age_ms + link_delay_ms,
                known_ms=item.known_ms,
            )
            for item in ages
        ],
        made_us=made_us(boottime_now),
    )
    sums = links.request_rate_sums()
    if sums is not None:
        state.local_request_rate, state.overflow_rate = sums
    if observed is not None:
        state.weights_version = observed.version
        state.layer_from, state.layer_to = observed.layers or (0, 0)
        state.running = observed.running
        state.waiting = observed.waiting
        state.loading = observed.busy or order_pending
        state.pace = observed.pace
        state.slowdown = slowdown
        state.started_ms = observed.incarnation.started_ms
    return state
