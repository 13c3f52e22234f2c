"""Short soak test of answers that end with their connection."""

import pytest

from tests.soak.soak import assert_no_violations
from tests.soak.unframed import run_unframed

SECONDS = 10.0


@pytest.mark.parametrize("seed", [0, 3])
def test_answer_cut_by_the_end_of_its_endpoint_is_not_whole(seed):
    """Guards against half a stream or answer that its caller takes as whole."""
    assert_no_violations(run_unframed(seed, SECONDS))
