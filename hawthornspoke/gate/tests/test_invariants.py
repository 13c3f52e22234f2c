"""Random messages to the gate: what must hold after any of them."""

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

RUNS = settings(max_examples=300, deadline=None, derandomize=True)
TRUE_OF_A_COPY = ("duplicate",)
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


@RUNS
@given(st.lists(MESSAGES, max_size=60))
def test_no_request_starts_twice_drained_or_on_other_weights(messages):
    """Symptom: a request runs twice, after a drain, or on weights not live.

    Events: any order of arrivals, ends, cancels, switches and a drain.
    """
    gate = Gate(slots=2, queue_limit=3)
    started = []
    for number, message in enumerate(messages):
        drained = gate.draining
        for outcome in gate.step(message, now=float(number)):
            if isinstance(outcome, Start):
                assert not drained
                assert gate.live_by_service["s"] == outcome.digest
                started.append(outcome.request_id)
            elif isinstance(outcome, Refuse) and outcome.request_id in started:
                # Refused and asked again is fine; started and then refused as
                # anything but a second copy would be a lie.
                assert outcome.failure.code in TRUE_OF_A_COPY
        assert len(gate.running_by_id) <= 2
        assert len(gate.waiting_by_id) <= 3
        if gate.draining:
            assert not gate.waiting_by_id
    assert len(started) == len(set(started))
