"""Event queue of a request."""

from hawthornspoke.agent._runs import Run
from hawthornspoke.base import Failure
from hawthornspoke.protocol import Event, EventKind, Submit


def make_run():
    return Run(submit=Submit(request_id="r"), deadline=0.0)


def test_read_without_timeout_and_without_events_is_empty():
    """A read without a timeout and without events returns an empty list.

    It returned a list with None, so a request in its last millisecond ended as
    "reply lost".
    """
    run = make_run()
    assert run.next_events(0) == []
    assert not run.ended


def test_events_keep_their_order_and_the_last_one_ends_the_run():
    run = make_run()
    run.push(Event(kind=EventKind.STARTED))
    run.push(Event(kind=EventKind.DONE))
    assert [event.kind for event in run.next_events(0)] == [
        EventKind.STARTED,
        EventKind.DONE,
    ]
    assert run.ended


def test_refusal_carries_reason_retry_time_and_live_weights():
    run = make_run()
    run.refuse(Failure(code="busy", reason="full", retry_after=0.25), live="d2")
    (event,) = run.next_events(0.1)
    assert event.kind == EventKind.REFUSED
    assert (event.reason, event.retry_after_ms, event.digest) == (
        "busy: full",
        250,
        "d2",
    )


def test_cancelled_run_rejects_further_events():
    """A thread must not fill a queue that is never read."""
    run = make_run()
    run.cancel()
    assert run.push(Event(kind=EventKind.STARTED)) is False
