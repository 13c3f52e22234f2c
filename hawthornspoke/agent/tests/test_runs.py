"""Events of a request on their way to the entry host."""

from hawthornspoke.agent._runs import Run
from hawthornspoke.base import Failure
from hawthornspoke.protocol import Event, EventKind, Submit


def make_run():
    return Run(submit=Submit(request_id="r"), deadline=0.0)


def test_read_without_time_to_wait_and_without_events():
    """Symptom: a request in its last millisecond ends as "reply lost".

    Events: the entry host reads with no time left to wait; nothing is there yet.
    Cause: an empty reply that was not empty but held a None.
    """
    run = make_run()
    assert run.take(0) == []
    assert not run.ended


def test_events_come_in_order_and_the_last_one_ends_the_run():
    run = make_run()
    run.push(Event(kind=EventKind.STARTED))
    run.push(Event(kind=EventKind.DONE))
    assert [event.kind for event in run.take(0)] == [EventKind.STARTED, EventKind.DONE]
    assert run.ended


def test_refusal_carries_reason_time_and_live_weights():
    run = make_run()
    run.refuse(Failure(code="busy", reason="full", retry_after=0.25), live="d2")
    (event,) = run.take(0.1)
    assert event.kind == EventKind.REFUSED
    assert (event.reason, event.retry_after_ms, event.digest) == (
        "busy: full",
        250,
        "d2",
    )


def test_cancelled_run_takes_no_more_events():
    """Symptom: a task fills a queue that nobody will read."""
    run = make_run()
    run.cancel()
    assert run.push(Event(kind=EventKind.STARTED)) is False
