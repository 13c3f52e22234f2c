"""The capacity that remains while the engines of a failure domain switch versions."""

import pytest

from hawthornspoke.spread._changeover import DISPATCH_CUTOFF, order_time

#: Seconds from a declaration to the bound of older weights, and until all hosts hold
#: all pieces.
BOUND = 8.0
TRANSFER_TIME = 6.3

#: Seconds from an order until the engine serves again.
SWITCH_TIME = 1.5

STEP = 0.05


def serving(orders, *, expires_at, now):
    """Return the number of engines that can accept a request at a given time."""
    old_until = expires_at - DISPATCH_CUTOFF
    return sum(
        now < min(order, old_until) or now >= order + SWITCH_TIME for order in orders
    )


def min_serving_share(engines, *, bound=BOUND, transfer_time=TRANSFER_TIME):
    """Return the lowest share of serving engines until the old weights expire."""
    orders = [
        order_time(complete_at=transfer_time, expires_at=bound, position=position)
        for position in range(engines)
    ]
    assert max(orders) <= max(transfer_time, bound - DISPATCH_CUTOFF) + 1e-9
    times = [
        transfer_time + STEP * number
        for number in range(int((bound - transfer_time) / STEP))
    ]
    times_before_cutoff = [now for now in times if now < bound - DISPATCH_CUTOFF]
    lowest = min(
        serving(orders, expires_at=bound, now=now) for now in times_before_cutoff
    )
    return lowest / engines


@pytest.mark.parametrize("engines", [2, 6, 25, 150])
def test_half_of_the_engines_serve_until_the_bound_of_the_older_weights(engines):
    """Guards against 0.8 s in which no engine serves, 1.2 s before the bound.

    All hosts hold all pieces 6.3 s after the declaration, the bound is 8 s, and an
    engine takes one to two seconds to finish its requests and load. If less than two
    seconds were left, orders were sent at once so that each engine would be done by the
    bound: to 9 of 9 engines within 0.6 s. Half of the callers with a deadline of two
    seconds were answered late. But an engine only has to stop accepting requests by the
    bound.
    """
    assert min_serving_share(engines) * engines >= engines // 2


@pytest.mark.parametrize("engines", [6, 25, 150])
def test_longer_bound_keeps_more_engines_serving(engines):
    """With a bound of 13.4 s and pieces after 7.5 s, a quarter switches at a time."""
    assert min_serving_share(engines, bound=13.4, transfer_time=7.5) >= 0.66


def test_engine_with_expired_weights_is_ordered_at_once():
    assert order_time(complete_at=9.0, expires_at=8.0, position=1) == 9.0
