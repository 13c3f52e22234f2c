"""Exchange of evidence between agents and entry hosts."""

from hawthornspoke.quarantine import Evidence, EvidenceExchange, EvidenceReceived


def item(incarnation_id, *, fingerprint="f", cleared=False, deadline=100.0):
    return Evidence(
        fingerprint=fingerprint,
        incarnation_id=incarnation_id,
        deadline=deadline,
        cleared=cleared,
    )


def deliver(exchange, *items, now=1.0):
    """Return the incarnations that are shared after delivering some items."""
    outcomes = exchange.step(EvidenceReceived(items=items), now=now)
    return [shared.incarnation_id for update in outcomes for shared in update.items]


def test_request_with_one_end_is_not_shared():
    exchange = EvidenceExchange()
    assert deliver(exchange, item("e1")) == []
    assert exchange.evidence(now=1.0) == []


def test_request_with_two_ends_is_shared():
    exchange = EvidenceExchange()
    deliver(exchange, item("e1"))
    assert deliver(exchange, item("e2")) == ["e1", "e2"]
    assert len(exchange.evidence(now=1.0)) == 2


def test_known_evidence_is_not_shared_again():
    exchange = EvidenceExchange()
    deliver(exchange, item("e1"), item("e2"))
    assert deliver(exchange, item("e1"), item("e2")) == []


def test_clearance_is_shared():
    exchange = EvidenceExchange()
    deliver(exchange, item("e1"), item("e2"))
    deliver(exchange, item("e1", cleared=True))
    shared = {
        known.incarnation_id: known.cleared for known in exchange.evidence(now=1.0)
    }
    assert shared == {"e1": True, "e2": False}


def test_expired_evidence_is_not_shared():
    exchange = EvidenceExchange()
    deliver(exchange, item("e1"), item("e2"))
    assert exchange.evidence(now=100.0) == []
