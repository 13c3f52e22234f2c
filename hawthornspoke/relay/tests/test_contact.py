"""Tests of the PlatformContact state machine, which limits the trust in keys."""

from hawthornspoke.relay import Confirmed, ContactLost, PlatformContact, ReadFailed


def test_keys_are_trusted_for_a_time_after_a_confirmation():
    contact = PlatformContact(keys_valid_for=4.6)
    assert not contact.keys_trusted(now=0.0)
    contact.step(Confirmed(at=10.0), now=10.2)
    assert contact.keys_trusted(now=14.5)
    assert not contact.keys_trusted(now=14.7)


def test_keys_are_not_trusted_after_a_suspension():
    """Guards against a revoked key that is accepted after a suspension of 10 s.

    The monotonic clock stops during a suspension, so the state machine gets the time
    of a clock that doesn't.
    """
    contact = PlatformContact(keys_valid_for=4.6)
    contact.step(Confirmed(at=10.0), now=10.0)
    assert not contact.keys_trusted(now=20.0)


def test_late_older_confirmation_does_not_replace_a_newer_one():
    contact = PlatformContact(keys_valid_for=4.6)
    contact.step(Confirmed(at=10.0), now=10.0)
    contact.step(Confirmed(at=8.0), now=10.1)
    assert contact.keys_trusted(now=14.5)


def test_host_is_unstable_before_keys_are_refused():
    contact = PlatformContact(keys_valid_for=5.0)
    contact.step(Confirmed(at=0.0), now=0.0)
    assert contact.is_stable(now=2.9)
    assert not contact.is_stable(now=3.1)
    assert contact.keys_trusted(now=3.1)


def test_loss_is_reported_once():
    contact = PlatformContact()
    contact.step(Confirmed(at=0.0), now=0.0)
    assert contact.step(ReadFailed(reason="x"), now=1.0) == [ContactLost(reason="x")]
    assert contact.step(ReadFailed(reason="x"), now=1.5) == []
    contact.step(Confirmed(at=2.0), now=2.0)
    assert contact.regained_at == 2.0
