"""Property-based tests of invariants of the gate."""

from hypothesis import given, settings, strategies as st

from hawthornspoke.gate import (
    Admit,
    Cancel,
    Drain,
    Finish,
    Gate,
    Refuse,
    SetLive,
    Start,
    Tick,
)

SETTINGS = settings(max_examples=300, deadline=None, derandomize=True)
DUPLICATE_CODES = ("duplicate",)
IDS = st.integers(0, 15).map(str)
DIGESTS = st.sampled_from(["d1", "d2", None])
MESSAGES = st.one_of(
    st.builds(
        Admit,
        request_id=IDS,
        service=st.just("s"),
        digest=st.sampled_from(["d1", "d2"]),
        urgency=st.integers(0, 7),
        deadline=st.floats(0, 60),
    ),
    st.builds(Finish, request_id=IDS),
    st.builds(Cancel, request_id=IDS),
    st.builds(SetLive, service=st.just("s"), digest=DIGESTS),
    st.just(Tick()),
    st.just(Drain()),
)


@SETTINGS
@given(st.lists(MESSAGES, max_size=60))
def test_requests_start_once_before_drain_on_live_weights(messages):
    """Guards against requests that run twice, after a drain or on wrong weights.

    Admissions, finishes, cancels, switches of weights and drains occur in any order.
    """
    gate = Gate(slots=2, queue_limit=3)
    started = []
    for number, message in enumerate(messages):
        was_draining = gate.draining
        for outcome in gate.step(message, now=float(number)):
            if isinstance(outcome, Start):
                assert not was_draining
                assert gate.live_by_service["s"] == outcome.digest
                started.append(outcome.request_id)
            elif isinstance(outcome, Refuse) and outcome.request_id in started:
                # A refused request may be submitted again. A started request may
                # only be refused as a duplicate.
                assert outcome.failure.code in DUPLICATE_CODES
        assert len(gate.running_by_id) <= 2
        assert len(gate.waiting_by_id) <= 3
        if gate.draining:
            assert not gate.waiting_by_id
    assert len(started) == len(set(started))
