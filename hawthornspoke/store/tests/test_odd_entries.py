"""Entries of other writers in the host list and in rows of the table."""

import json
import re
from types import SimpleNamespace

import pytest

from hawthornspoke.base import is_failure
from hawthornspoke.config import parse_manifest
from hawthornspoke.entry._claims_runner import ClaimRunner
from hawthornspoke.node._messages import HostsRead, ReadHosts, ReadTable, TableRowRead
from hawthornspoke.node._platform_actor import PlatformActor, PlatformClients
from hawthornspoke.store import HostListClient, TableClient

DEEP = "[" * 100_000 + "]" * 100_000

#: JSON in place of one value, by the place of that value in a slice.
ODD_VALUES = {
    "slice": ["7", "null", "[]", DEEP],
    "metadata": ["7", '"x"', "[]", DEEP],
    "role": ["7", "{}", "null", DEEP],
    "ports": ["{}", "[7]", "[]", DEEP],
    "port": ["0", "-1", "99999", "1e400", "9" * 4000, "9" * 5000, '"80"', DEEP],
    "endpoints": ["7", "{}", '"x"', DEEP],
    "endpoint": ["7", '"x"', "[]", "null", DEEP],
    "conditions": ["[]", "7", DEEP],
    "terminating": ["7", "[]"],
    "hostname": ["[]", "7", "null", '"\\ud800"', DEEP],
    "zone": ["{}", "7", DEEP],
    "addresses": ["[]", "7", "[7]", "[[]]", DEEP],
    "address": ['"0.0.0.0"', '"255.255.255.255"', '"224.0.0.1"', '"1.2.3"', '""'],
}
CASES = [(place, value) for place, values in ODD_VALUES.items() for value in values]


def slice_json(name, **odd):
    """Return a slice with one host; ``odd`` replaces values by other JSON."""
    template = """
        @slice={"metadata": @metadata={"labels": {"role": @role="entry"#}}#,
        "ports": @ports=[{"port": @port=80#}]#,
        "endpoints": @endpoints=[@endpoint={"hostname": @hostname="NAME"#,
        "zone": @zone="z"#, "addresses": @addresses=[@address="127.0.0.1"#]#,
        "conditions": @conditions={"terminating": @terminating=false#}#}#]#}#"""
    text = template.replace("NAME", name)
    # Each value stands between ``@place=`` and ``#``; inner ones are replaced first.
    innermost = re.compile("@([a-z]+)=([^@#]*)#")
    while match := innermost.search(text):
        value = odd.get(match[1], match[2])
        text = text[: match.start()] + value + text[match.end() :]
    return text


def list_json(*slices):
    return '{"items": [' + ", ".join(slices) + "]}"


class FakeHttp:
    """Answers each request with the same body."""

    def __init__(self, body):
        self.body = body if isinstance(body, bytes) else body.encode()

    def request(self, method, path, **options):
        return SimpleNamespace(status=200, data=self.body, headers={})


def read_hosts(*slices):
    return HostListClient(http=FakeHttp(list_json(*slices))).read()


@pytest.mark.parametrize(("place", "odd"), CASES)
def test_odd_entry_hides_no_other_entry(place, odd):
    """Guards against one entry of another writer that hides all hosts."""
    entries = read_hosts(
        slice_json("a"), slice_json("odd", **{place: odd}), slice_json("b")
    )
    assert [entry.host for entry in entries] == ["a", "b"]


def test_odd_endpoint_hides_no_other_endpoint_of_its_slice():
    start = '"endpoints": ['
    slice_item = slice_json("a").replace(start, f"{start}7, {DEEP}, ")
    assert [entry.host for entry in read_hosts(slice_item)] == ["a"]


def test_bytes_that_are_no_text_hide_no_other_entry():
    body = list_json(slice_json("a"), slice_json("odd"))
    http = FakeHttp(body.encode().replace(b'"odd"', b'"\xff"'))
    assert [entry.host for entry in HostListClient(http=http).read()] == ["a"]


@pytest.mark.parametrize(
    "body", ["", "7", "{}", '{"items":7}', DEEP, '{"items":[', "]}"]
)
def test_unusable_list_is_a_failure(body):
    assert is_failure(HostListClient(http=FakeHttp(body)).read())


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        "[]",
        '{"Item":7}',
        '{"Item":{"revision":7}}',
        '{"Item":{"revision":{"N":"x"}}}',
        '{"Item":{"revision":{"N":7}}}',
        '{"Item":{"revision":{"N":"%s"}}}' % ("9" * 5000),
        '{"Item":{"revision":{"BOOL":7}}}',
        '{"Item":{"revision":{"S":{}}}}',
    ],
)
def test_odd_row_of_the_table_is_a_failure(body):
    """Guards against a reader of the table that ends by one row."""
    assert is_failure(TableClient(http=FakeHttp(body)).get("config"))


def test_row_of_the_table_is_read():
    body = '{"Item":{"a":{"N":"-12"},"b":{"BOOL":true},"c":{"S":"x"}}}'
    row = TableClient(http=FakeHttp(body)).get("config")
    assert row == {"a": -12, "b": True, "c": "x"}


def test_actor_that_reads_the_platform_lives_on():
    """Guards against an actor that ends by one odd entry, so that no list is read."""
    received = []
    control = SimpleNamespace(is_alive=lambda: True, tell=received.append)
    clients = PlatformClients(
        table=TableClient(http=FakeHttp(DEEP)),
        hosts=HostListClient(http=FakeHttp(list_json(DEEP))),
        objects=None,
        origin=None,
    )
    actor = PlatformActor.start(clients=clients, control=control)
    try:
        for message in (ReadHosts(), ReadTable()):
            actor.ask(message)
    finally:
        actor.stop()
    assert [type(message) for message in received] == [HostsRead, TableRowRead]


@pytest.mark.parametrize(
    "row",
    [
        {"status": 200, "headers": DEEP},
        {"status": 200, "headers": "[]"},
        {"status": 200, "headers": '{"A": 7}'},
        {"status": 200},
        {"status": "x", "headers": "{}"},
        {"headers": "{}"},
    ],
)
def test_odd_row_of_a_stored_response_is_a_failure(row):
    """Guards against a caller whose repeated request ends with nothing."""
    runner = ClaimRunner(clients=None, write_retrier=None)
    assert is_failure(runner.read_stored_response(row))


def test_stored_response_is_read():
    runner = ClaimRunner(clients=None, write_retrier=None)
    row = {"status": 200, "headers": json.dumps({"A": "b"}), "body": "eA=="}
    assert runner.read_stored_response(row) == (200, {"A": "b"}, b"x")


@pytest.mark.parametrize(
    "data",
    [
        DEEP,
        "[]",
        '{"chunks": [], "chunk_size": 1e400, "size": 0}',
        '{"chunks": 7, "chunk_size": 1, "size": 0}',
        '{"chunks": [], "chunk_size": %s, "size": 0}' % ("9" * 5000),
    ],
)
def test_odd_manifest_is_a_failure(data):
    """Guards against an agent that ends by a manifest of another writer."""
    assert is_failure(parse_manifest(data.encode()))
