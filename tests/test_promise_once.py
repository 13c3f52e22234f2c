"""Guarantee: a request marked as non-idempotent runs at most once."""

import json
import threading
import time
import uuid

import pytest


def post_invoice(fleet, entry, key, **options):
    headers = {"Idempotency-Key": key, **options.pop("headers", {})}
    body = json.dumps({"invoice": options.pop("number", 1)}).encode()
    return fleet.call(entry, "/services/billing/inv", headers=headers, body=body)


def run_count(fleet, key):
    return sum(
        1
        for name in fleet.host_names("billing")
        for run in fleet.runs(name)["runs"]
        if run["key"] == key
    )


@pytest.fixture
def key():
    return uuid.uuid4().hex


def test_stored_response_is_returned_by_any_entry_host(fleet, key):
    """Guards against a second execution when the client retries with the same key."""
    first = post_invoice(fleet, "entry-0", key)
    second = post_invoice(fleet, "entry-1", key)
    assert first.status == second.status == 201, second.data
    assert first.data == second.data
    assert second.headers["X-Stored-Answer"] == "true"
    assert run_count(fleet, key) == 1


def test_key_with_another_body_is_refused(fleet, key):
    """Guards against returning the stored response of a different request."""
    assert post_invoice(fleet, "entry-0", key).status == 201
    other = post_invoice(fleet, "entry-0", key, number=2)
    assert other.status == 422, other.data
    assert run_count(fleet, key) == 1


def test_same_key_at_all_entry_hosts_at_once(fleet):
    """Guards against duplicate execution of concurrent requests with one key.

    The same key arrives at three entry hosts simultaneously. A read followed by an
    unconditional write lets more than one of them claim it.
    """
    for _ in range(8):
        key = uuid.uuid4().hex
        responses = []

        def send_request(entry, key=key, responses=responses):
            responses.append(post_invoice(fleet, entry, key))

        threads = [
            threading.Thread(target=send_request, args=(name,))
            for name in fleet.host_names("entry")
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert run_count(fleet, key) == 1
        statuses = sorted(response.status for response in responses)
        assert statuses[0] == 201
        assert set(statuses) <= {201, 409}


def test_claim_with_a_lost_answer_is_read_back(fleet, key):
    """Guards against a request that blocks itself or runs twice.

    The claim is written, but the table's response is lost. The entry host must read
    the row back and compare its token instead of assuming success or failure.
    """
    fleet.set_platform_faults(table_lost_answers=1)
    response = post_invoice(fleet, "entry-0", key)
    fleet.set_platform_faults(table_lost_answers=0)
    assert response.status == 201, response.data
    assert run_count(fleet, key) == 1
    assert post_invoice(fleet, "entry-1", key).headers["X-Stored-Answer"] == "true"


def test_platform_outage_rejects_keyed_requests_at_once_and_serves_others(fleet, key):
    """Guards against a full outage or unclaimed runs while the table is down."""
    fleet.set_platform_faults(table_down=True)
    started = time.monotonic()
    refused = post_invoice(fleet, "entry-0", key)
    seconds = time.monotonic() - started
    response_without_key = fleet.send_completion("entry-0")
    fleet.set_platform_faults(table_down=False)
    assert refused.status == 503, refused.data
    assert json.loads(refused.data)["error"]["outcome"] == "not_run"
    assert int(refused.headers["Retry-After"]) >= 1
    assert seconds < 1.0
    assert response_without_key.status == 200
    assert run_count(fleet, key) == 0
    # The key was released, so the client can retry with it.
    fleet.wait_for(
        lambda: post_invoice(fleet, "entry-0", key).status == 201, seconds=10
    )
    assert run_count(fleet, key) == 1


def test_slow_table_does_not_delay_the_response_past_the_deadline(fleet, key):
    """Guards against a rejection that arrives long after the client's deadline."""
    fleet.set_platform_faults(table_delay=5)
    started = time.monotonic()
    response = post_invoice(fleet, "entry-0", key, headers={"X-Request-Timeout": "0.5"})
    seconds = time.monotonic() - started
    fleet.set_platform_faults(table_delay=0)
    assert response.status in (408, 503), response.data
    assert seconds < 2.0
    time.sleep(5.5)
    assert run_count(fleet, key) == 0


def test_entry_host_frozen_between_claim_and_send(fresh_fleet):
    """Guards against running a request after its client retried elsewhere.

    An entry host is suspended past the deadline of its requests, their clients retry
    at another host with the same keys, and the first host resumes. A request runs
    twice if its claim expires, or if the resumed host sends it after the deadline.
    """
    fleet = fresh_fleet
    fleet.set_platform_faults(table_delay=0.4)
    keys = [uuid.uuid4().hex for _ in range(6)]

    def send_request(key):
        try:
            post_invoice(fleet, "entry-0", key, headers={"X-Request-Timeout": "1"})
        except Exception:
            return

    threads = [threading.Thread(target=send_request, args=(key,)) for key in keys]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    fleet.suspend("entry-0")
    time.sleep(1.5)
    fleet.set_platform_faults(table_delay=0)
    retried = [post_invoice(fleet, "entry-1", key) for key in keys]
    fleet.resume("entry-0")
    for thread in threads:
        thread.join(timeout=30)
    time.sleep(1.0)
    assert all(run_count(fleet, key) <= 1 for key in keys)
    for key, response in zip(keys, retried, strict=True):
        if response.status != 201:
            error = json.loads(response.data)["error"]
            # "not_run" is allowed only if the request has not run and never will.
            assert error["outcome"] == "unknown" or run_count(fleet, key) == 0


def test_post_to_a_plain_service_is_not_repeated_by_default(fleet):
    """Guards against repeating a POST on another host after a lost response."""
    for name in fleet.host_names("billing"):
        fleet.post(fleet.engine_url(name) + "/_faults", {"drop_answers": 5})
    before = sum(len(fleet.runs(name)["runs"]) for name in fleet.host_names("billing"))
    for _ in range(4):
        assert fleet.call("entry-0", "/services/billing/x").status == 502
    after = sum(len(fleet.runs(name)["runs"]) for name in fleet.host_names("billing"))
    for name in fleet.host_names("billing"):
        fleet.post(fleet.engine_url(name) + "/_faults", {"drop_answers": 0})
    assert after - before == 4


def test_non_idempotent_request_is_not_rerun_after_a_server_error(fleet):
    """Guards against repeating a non-idempotent request after a server error.

    Every engine runs the request and then fails. An error must not be retried like
    a rejection.
    """
    for name in fleet.host_names("runner"):
        fleet.set_engine_faults(name, die_after_tokens=2)
    response = fleet.send_completion(
        "entry-0", headers={"X-Idempotent": "false"}, max_tokens=6
    )
    for name in fleet.host_names("runner"):
        fleet.set_engine_faults(name, die_after_tokens=0)
    error = json.loads(response.data)["error"]
    assert response.status == 502
    assert error["outcome"] == "unknown"
    ran = [
        run
        for name in fleet.host_names("runner")
        for run in fleet.runs(name)["runs"]
        if run.startswith(error["request_id"])
    ]
    assert len(ran) == 1
