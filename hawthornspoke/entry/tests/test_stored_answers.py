"""Answers stored under idempotency keys, which are read for repeated requests."""

from types import SimpleNamespace

import pytest

from hawthornspoke.base import digest_of, is_failure
from hawthornspoke.entry._claims_runner import ANSWERS_PREFIX, ClaimRunner

BODY = b"a long answer"


def read_with_object(data):
    """Read a stored answer whose body in the object store is as given."""
    objects = SimpleNamespace(get=lambda key: data)
    clients = SimpleNamespace(objects=objects)
    runner = ClaimRunner(clients=clients, write_retrier=None)
    name = ANSWERS_PREFIX + digest_of(BODY)
    row = {"status": 200, "headers": "{}", "body_object": name}
    return runner.read_stored_response(row)


@pytest.mark.parametrize("data", [BODY[:5], b"", b"another answer"])
def test_body_that_is_not_the_stored_one_is_a_failure(data):
    """Guards against a part of an answer that a repeated request gets as the whole."""
    assert is_failure(read_with_object(data))


def test_stored_body_is_read():
    assert read_with_object(BODY) == (200, {}, BODY)


@pytest.mark.parametrize("fields", [{"body": "no base64!"}, {"body": 7}, {}])
def test_row_without_a_readable_body_is_a_failure(fields):
    """Guards against an empty answer in the place of one that can't be read."""
    runner = ClaimRunner(clients=None, write_retrier=None)
    row = {"status": 200, "headers": "{}", **fields}
    assert is_failure(runner.read_stored_response(row))


def test_empty_stored_body_is_read():
    runner = ClaimRunner(clients=None, write_retrier=None)
    row = {"status": 204, "headers": "{}", "body": ""}
    assert runner.read_stored_response(row) == (204, {}, b"")
