"""Answers of neighbours that are not what they should be."""

import asyncio

import pytest

from hawthornspoke.base import is_failure
from hawthornspoke.mirror import Neighbours
from hawthornspoke.peering import listen
from hawthornspoke.protocol import Frame, TableNews, TableRow

NEIGHBOUR = "127.0.0.2"


class Log:
    """Takes lines."""

    def change(self, event, **fields):
        pass


def news(**fields):
    """Return an answer of a neighbour with some fields changed."""
    whole = {"current": True, "whole": True, "up_to": 3, "held_ms": 0, "age_ms": 1}
    return TableNews(**{**whole, "rows": [], **fields})


@pytest.mark.parametrize(
    "answer",
    [
        news(held_ms=None),
        news(age_ms=None),
        news(up_to=None),
        news(rows=[TableRow(key=None, row_revision=1, data=b"")]),
        news(rows=[TableRow(key="k", row_revision=None, data=b"")]),
        news(rows=[TableRow(key="k", row_revision=1, data=b"x", compressed=True)]),
    ],
)
def test_answer_that_cannot_be_read_is_a_failure(answer):
    """A host stopped reading for good.

    Events: a neighbour's answer lacks a field, or its bytes can't be unpacked; the
    error ends the task that follows the table. Cause: it was taken as it came.
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
        neighbours = Neighbours(address="127.0.0.1", port=port, log=Log())
        outcome = await neighbours.ask(NEIGHBOUR, "t", after=None, wait=0.0)
        neighbours.close()
        server.close()
        assert is_failure(outcome)

    asyncio.run(scenario())
