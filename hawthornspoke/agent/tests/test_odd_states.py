"""Engines whose answer to the question for their state is none."""

from types import SimpleNamespace

import pytest

from hawthornspoke.agent._engine_actor import EngineActor, ReadEngineState
from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.deployment import EngineStateUpdated
from hawthornspoke.store.tests.cutting_server import cutting_server

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


def read_state(kind, body):
    """Return the messages of an actor that has read an engine's state twice."""
    messages = []
    control = SimpleNamespace(is_alive=lambda: True, tell=messages.append)
    with cutting_server(HEAD + body) as url:
        engine = ENGINES.get(kind)(url=url)
        actor = EngineActor.start(engine=engine, store=None, control=control)
        try:
            actor.tell(ReadEngineState())
            actor.ask(ReadEngineState(), timeout=5.0)
        finally:
            actor.stop()
    return messages


@pytest.mark.parametrize("kind", ["model", "plain"])
@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b"12",
        b'"x"',
        b'{"instance": "a", "fence": "x"}',
        b'{"instance": "a", "loaded": 7}',
        b'{"instance": "a", "loaded": "ab"}',
        b'{"instance": "a", "loaded": [[1]]}',
        b'{"instance": "a", "memory": 1e999}',
        b'{"instance": 7}',
    ],
)
def test_odd_state_is_that_of_no_engine(body, kind):
    """Guards against an agent that ends by one odd answer of its engine."""
    absent = EngineStateUpdated(instance="")
    assert read_state(kind, body) == [absent, absent]


def test_state_without_optional_fields_is_read():
    expected = EngineStateUpdated(instance="a", loaded=frozenset({"d"}))
    body = b'{"instance": "a", "loaded": ["d"], "memory": null}'
    assert read_state("plain", body) == [expected, expected]
