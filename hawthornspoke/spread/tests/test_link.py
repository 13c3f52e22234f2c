"""The delay of a link as estimated from probes."""

import pytest

from hawthornspoke.spread._link_delay import LinkDelayEstimator, ProbeEnded, ProbeSent


def probe(link, number, *, sent, back):
    """Send one probe and receive its answer."""
    link.step(ProbeSent(number=number), now=sent)
    link.step(ProbeEnded(number=number, answered=True), now=back)


def test_idle_link_has_no_delay():
    link = LinkDelayEstimator()
    assert link.delay(0.0) == 0.0
    for number in range(4):
        probe(link, number, sent=number, back=number + 0.004)
    assert link.delay(4.0) == pytest.approx(0.0, abs=1e-6)


def test_congested_link_delays_answered_probes():
    link = LinkDelayEstimator()
    probe(link, 1, sent=0.0, back=0.004)
    probe(link, 2, sent=1.0, back=1.604)
    probe(link, 3, sent=1.25, back=1.804)
    assert link.delay(2.0) == pytest.approx(0.55)


def test_congested_link_is_detected_from_unanswered_probes():
    link = LinkDelayEstimator()
    probe(link, 1, sent=0.0, back=0.004)
    link.step(ProbeSent(number=2), now=1.0)
    link.step(ProbeSent(number=3), now=1.25)
    assert link.delay(1.9) == pytest.approx(0.646)


def test_one_unresponsive_host_is_not_a_congested_link():
    """Guards against an engine that is not used because one entry host is suspended."""
    link = LinkDelayEstimator()
    probe(link, 1, sent=0.0, back=0.004)
    link.step(ProbeSent(number=2), now=1.0)
    probe(link, 3, sent=1.25, back=1.254)
    assert link.delay(2.0) == pytest.approx(0.0, abs=1e-6)


def test_closed_connection_does_not_count():
    link = LinkDelayEstimator()
    probe(link, 1, sent=0.0, back=0.004)
    link.step(ProbeSent(number=2), now=1.0)
    link.step(ProbeEnded(number=2, answered=False), now=3.0)
    assert link.delay(3.0) == pytest.approx(0.0, abs=1e-6)
