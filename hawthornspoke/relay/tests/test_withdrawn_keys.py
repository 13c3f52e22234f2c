"""Requests after the last key of a configuration was withdrawn.

Guards against routes that are open to everybody once no key is valid any more.
"""

import asyncio
from dataclasses import replace

import pytest

from hawthornspoke.relay.tests.relay_harness import RelayHarness, ScriptedEndpoint

KEYS = {"k": "org"}

#: Header lines of a request: the withdrawn key, one that never was valid, and no key.
HEADERS = {
    "withdrawn key": ["X-Api-Key: k"],
    "key that never was valid": ["X-Api-Key: other"],
    "empty key": ["X-Api-Key: "],
    "no key": [],
}


def status_with(header, *, keys, is_public=False, requires_key=True):
    """Return the status of a request, and the number of requests at the endpoint."""

    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint, keys=KEYS) as harness:
            catalog = harness.make_catalog(revision=2, keys=keys)
            routes = tuple(replace(item, public=is_public) for item in catalog.routes)
            harness.handler.set_catalog(
                replace(catalog, routes=routes, requires_key=requires_key)
            )
            response = await harness.ask("again", extra=HEADERS[header])
            return response[0], len(endpoint.requests)

    return asyncio.run(scenario())


@pytest.mark.parametrize("header", HEADERS)
def test_no_request_runs_without_a_valid_key(header):
    assert status_with(header, keys={}) == (401, 0)


@pytest.mark.parametrize("header", ["no key", "empty key"])
def test_empty_key_is_no_key(header):
    """Guards against an empty key in the configuration that admits requests."""
    assert status_with(header, keys={"": "org"}) == (401, 0)


@pytest.mark.parametrize("header", HEADERS)
def test_public_route_needs_no_key(header):
    assert status_with(header, keys={}, is_public=True) == (200, 1)


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        ("withdrawn key", (401, 0)),
        ("key that never was valid", (401, 0)),
        ("no key", (200, 1)),
        ("empty key", (200, 1)),
    ],
)
def test_key_that_is_sent_must_be_valid_though_none_is_required(header, expected):
    """Guards against revoked keys that are accepted once no organisation is left."""
    assert status_with(header, keys={}, requires_key=False) == expected


def test_last_key_withdrawn_before_the_send():
    """Guards against a request that is sent though its key was withdrawn meanwhile."""

    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint, keys=KEYS) as harness:
            withdrawn = harness.make_catalog(revision=2, keys={})
            harness.pool.actions.append(lambda: harness.handler.set_catalog(withdrawn))
            response = await harness.ask("again", extra=HEADERS["withdrawn key"])
            assert (response[0], endpoint.requests) == (503, [])

    asyncio.run(scenario())
