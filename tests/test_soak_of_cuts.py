"""Short soak test of answers without framing whose connections something else ends."""

import pytest

from tests.soak.cuts import kind_of, run_cuts
from tests.soak.soak import assert_no_violations

SECONDS = 4.0

#: A seed of each kind in which no answer has framing.
SEED_BY_KIND = {
    "link_closed": 0,
    "host_link_closed": 29,
    "closed_then_ended": 3,
    "left": 5,
}


@pytest.mark.parametrize("kind", SEED_BY_KIND)
def test_answer_whose_connection_is_ended_by_something_else_is_not_whole(kind):
    """Guards against half an answer as a whole one, as its endpoint still runs."""
    assert kind_of(SEED_BY_KIND[kind]) == kind
    assert_no_violations(run_cuts(SEED_BY_KIND[kind], SECONDS))
