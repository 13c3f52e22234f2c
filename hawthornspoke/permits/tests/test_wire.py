"""Rate limits, claims and grants on the wire."""

import pytest
from hypothesis import given, settings

from hawthornspoke.catalog import Incarnation
from hawthornspoke.permits import (
    PermitClaimed,
    PermitsDenied,
    PermitsGranted,
    RateLimitReported,
    RateLimitUpdated,
    decode_claim,
    decode_grant,
    decode_rate_limits,
    decode_reports,
    encode_claim,
    encode_grant,
    encode_rate_limit,
    encode_report,
)
from hawthornspoke.protocol import EndpointRateLimit, PermitClaim, PermitGrant
from hawthornspoke.protocol.tests.structs import structs

CLAIM = PermitClaimed(
    endpoint_id="e", rate=1.5, incarnation=Incarnation(started_ms=7), wanted=3
)


@pytest.mark.parametrize("rate", [1.5, None])
def test_limit_is_decoded_as_it_was_sent(rate):
    update = RateLimitUpdated(endpoint_id="e", rate=rate)
    assert decode_rate_limits([encode_rate_limit(update)]) == [update]


def test_repeated_report_moves_to_the_clock_of_the_receiver():
    report = RateLimitReported(endpoint_id="e", rate=None, learned_at=7.5)
    limit = encode_report(report, now=10.0)
    (received,) = decode_reports([limit], now=100.0)
    assert received.learned_at == 97.5
    assert received.rate is None


@pytest.mark.parametrize("rate", [1.5, None])
def test_report_that_is_not_repeated_has_no_age(rate):
    report = RateLimitReported(endpoint_id="e", rate=rate)
    assert decode_reports([encode_report(report, now=10.0)], now=100.0) == [report]


def test_report_is_never_decoded_as_newer_than_it_is():
    """Guards against an end that counts as newer than a limit learned after it."""
    report = RateLimitReported(endpoint_id="e", rate=None, learned_at=9.99951)
    (received,) = decode_reports([encode_report(report, now=10.0)], now=10.0)
    assert received.learned_at <= report.learned_at


@pytest.mark.parametrize("age_ms", [-(2**31), -1, 2**31 - 1])
def test_age_out_of_range_is_limited(age_ms):
    limit = EndpointRateLimit(endpoint_id="e", age_ms=age_ms)
    (received,) = decode_reports([limit], now=100.0)
    assert 40.0 <= received.learned_at <= 100.0


def test_claim_is_decoded_as_it_was_sent():
    assert decode_claim(encode_claim(CLAIM)) == CLAIM


def test_late_grant_expires_no_later_than_it_was_granted():
    """Guards against permits that outlive their time by that of their answer."""
    granted = PermitsGranted(endpoint_id="e", count=2, usable_at=10.25, expires_at=11.5)
    answer = encode_grant(granted, now=10.0)
    received = decode_grant(answer, CLAIM, claimed_at=100.0, now=100.5)
    assert (received.usable_at, received.expires_at) == (100.75, 101.5)


def test_grant_moves_to_the_clock_of_the_receiver():
    granted = PermitsGranted(endpoint_id="e", count=2, usable_at=10.5, expires_at=11.5)
    received = decode_grant(
        encode_grant(granted, now=10.0), CLAIM, claimed_at=100.0, now=100.0
    )
    assert (received.count, received.usable_at, received.expires_at) == (
        2,
        100.5,
        101.5,
    )
    denied = PermitsDenied(endpoint_id="e", retry_at=12.0)
    received = decode_grant(
        encode_grant(denied, now=10.0), CLAIM, claimed_at=100.0, now=100.0
    )
    assert received.retry_at == 102.0


@pytest.mark.parametrize(
    "limit",
    [
        EndpointRateLimit(),
        EndpointRateLimit(endpoint_id="", rate=1.0),
        EndpointRateLimit(endpoint_id="e" * 300, rate=1.0),
        EndpointRateLimit(endpoint_id="e", rate=float("nan")),
        EndpointRateLimit(endpoint_id="e", rate=float("inf")),
        EndpointRateLimit(endpoint_id="e", rate=-1.0),
    ],
)
def test_invalid_limit_is_skipped(limit):
    """Guards against a limit that would stop an endpoint's requests for good."""
    assert decode_rate_limits([limit]) == []
    assert decode_reports([limit], now=0.0) == []
    assert decode_claim(PermitClaim(limit=limit)) is None


@settings(max_examples=100, deadline=None)
@given(structs(PermitClaim), structs(PermitGrant))
def test_any_claim_and_grant_are_handled(received_claim, received_grant):
    claim = decode_claim(received_claim)
    assert claim is None or claim.wanted >= 1
    answer = decode_grant(received_grant, CLAIM, claimed_at=0.0, now=0.0)
    assert answer is None or isinstance(answer, PermitsGranted | PermitsDenied)
