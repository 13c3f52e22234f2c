"""Fingerprints of requests."""

import pytest

from hawthornspoke.quarantine import fingerprint_of

REQUEST = {
    "organisation": "o",
    "method": "POST",
    "host": "svc.example",
    "target": "/a/b?c=1",
    "body": b"text",
}


def test_repeats_share_a_fingerprint():
    assert fingerprint_of(**REQUEST) == fingerprint_of(**REQUEST)


@pytest.mark.parametrize(
    "changed",
    [
        {"organisation": "p"},
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/a/b"},
        {"body": b"text."},
        {"organisation": "oP", "method": "OST"},
        {"target": "/a/b?c=1t", "body": b"ext"},
    ],
    ids=str,
)
def test_other_requests_have_other_fingerprints(changed):
    assert fingerprint_of(**REQUEST) != fingerprint_of(**(REQUEST | changed))


def test_target_with_undecodable_bytes_has_a_fingerprint():
    assert fingerprint_of(**(REQUEST | {"target": "/\udcff"}))
