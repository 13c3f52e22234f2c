"""Short soak test of endpoints that repeat answers late."""

from tests.soak.soak import assert_no_violations
from tests.soak.stutter import run_stutter

SECONDS = 5.0


def test_callers_get_no_repeated_answer_of_another_request():
    """Guards against answers, statuses and waits that belong to another request."""
    assert_no_violations(run_stutter(0, SECONDS))
