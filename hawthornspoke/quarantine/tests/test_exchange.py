"""What agents tell entry hosts of requests that end endpoints."""

from hawthornspoke.quarantine import Evidence, EvidenceExchange, EvidenceHeard


def item(start, *, fingerprint="f", cleared=False, deadline=100.0):
    return Evidence(
        fingerprint=fingerprint, start=start, deadline=deadline, cleared=cleared
    )


def hear(exchange, *items, now=1.0):
    """Return the starts that are told on hearing some items."""
    outcomes = exchange.step(EvidenceHeard(items=items), now=now)
    return [told.start for news in outcomes for told in news.items]


def test_request_seen_at_one_end_is_told_to_nobody():
    exchange = EvidenceExchange()
    assert hear(exchange, item("e1")) == []
    assert exchange.evidence(now=1.0) == []


def test_request_seen_at_two_ends_is_told_with_both():
    exchange = EvidenceExchange()
    hear(exchange, item("e1"))
    assert hear(exchange, item("e2")) == ["e1", "e2"]
    assert len(exchange.evidence(now=1.0)) == 2


def test_what_is_known_is_not_told_again():
    exchange = EvidenceExchange()
    hear(exchange, item("e1"), item("e2"))
    assert hear(exchange, item("e1"), item("e2")) == []


def test_cleared_request_is_told_so():
    exchange = EvidenceExchange()
    hear(exchange, item("e1"), item("e2"))
    hear(exchange, item("e1", cleared=True))
    told = {known.start: known.cleared for known in exchange.evidence(now=1.0)}
    assert told == {"e1": True, "e2": False}


def test_old_evidence_is_told_to_nobody():
    exchange = EvidenceExchange()
    hear(exchange, item("e1"), item("e2"))
    assert exchange.evidence(now=100.0) == []
