"""Malformed answers of neighbours."""

import asyncio

import pytest

from hawthornspoke.base import is_failure
from hawthornspoke.mirror import Neighbours
from hawthornspoke.peering import listen
from hawthornspoke.protocol import Frame, TableNews, TableRow

NEIGHBOUR = "127.0.0.2"


class FakeLog:
    """Discards all events."""

    def change(self, event, **fields):
        pass


def answer_with(**fields):
    """Return a valid answer of a neighbour with some fields replaced."""
    complete_fields = {
        "current": True,
        "whole": True,
        "up_to": 3,
        "held_ms": 0,
        "age_ms": 1,
    }
    return TableNews(**{**complete_fields, "rows": [], **fields})


@pytest.mark.parametrize(
    "answer",
    [
        answer_with(held_ms=None),
        answer_with(age_ms=None),
        answer_with(up_to=None),
        answer_with(rows=[TableRow(key=None, row_revision=1, data=b"")]),
        answer_with(rows=[TableRow(key="k", row_revision=None, data=b"")]),
        answer_with(
            rows=[TableRow(key="k", row_revision=1, data=b"x", compressed=True)]
        ),
    ],
)
def test_malformed_answer_is_a_failure(answer):
    """An answer without a field, or with invalid compressed data, must not raise.

    The exception ended the task that follows the table, and the host received no
    further changes.
    """

    async def scenario():
        server = await listen(
            NEIGHBOUR,
            0,
            on_frame=lambda link, frame: link.send(
                Frame(call=-frame.call, table_news=answer)
            ),
            on_closed=lambda link: None,
        )
        port = server.sockets[0].getsockname()[1]
        neighbours = Neighbours(address="127.0.0.1", port=port, log=FakeLog())
        outcome = await neighbours.ask(NEIGHBOUR, "t", after=None, wait=0.0)
        neighbours.close()
        server.close()
        assert is_failure(outcome)

    asyncio.run(scenario())
