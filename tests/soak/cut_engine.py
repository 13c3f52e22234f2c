"""Engine of the soak test of connections that something else ends."""

import asyncio
import random

from hawthornspoke.base import monotonic
from tests.soak.simulation import STEP_SECONDS
from tests.soak.unframed import HALF_STEPS, UnframedEngine, encode_unframed_head

#: Steps of an answer without framing.
PLAIN_STEPS, STREAM_STEPS = 0.5 + 2 * HALF_STEPS, 12.5

#: Fraction of the answers that take long, and for how many seconds they do; fraction of
#: the other plain ones that are sent at once.
LONG_SHARE, AT_ONCE_SHARE = 0.3, 0.4
LONG_SECONDS = (1.0, 2.5)

#: Seconds after which an answer is sent that is sent at once.
AT_ONCE_DELAY = 0.1


class CutEngine(UnframedEngine):
    """Engine whose answers last different times.

    Attributes
    ----------
    long_seconds : (float, float)
    agent_ports : set of int
        From which its agent is connected.
    """

    slots = 12

    def __init__(self, **options):
        super().__init__(**options)
        self.long_seconds = LONG_SECONDS
        self.agent_ports = set()
        self._half_by_connection = {}

    def step_seconds(self, request):
        """Return the seconds of one step of a request's run."""
        rng = random.Random(request.get("Attempt-Id"))
        if rng.random() >= LONG_SHARE:
            return STEP_SECONDS
        is_stream = request.target.startswith("/stream/")
        steps = STREAM_STEPS if is_stream else PLAIN_STEPS
        return rng.uniform(*self.long_seconds) / steps

    async def handle(self, request, reply):
        """Answer a request; remember the connection of an agent."""
        if request.target.startswith("/v1/"):
            self.agent_ports.add(port_of(reply._connection))
        await super().handle(request, reply)

    @property
    def unframed_ids(self):
        """Ids of the answers that were sent to their end without framing."""
        return {end.request_id for end in self.unframed_ends}

    def send_halves(self):
        """Send the first halves of the answers that would be sent at once."""
        while self._half_by_connection:
            connection, half = self._half_by_connection.popitem()
            connection.write(half)

    async def close_and_end(self, delay, seconds):
        """Close all connections, end some time after it, and start again."""
        began = monotonic()
        self.is_listening = False
        self.send_halves()
        for connection in list(self.server.connections):
            connection.transport.close()
        await asyncio.sleep(delay)
        self.leaving = False
        await self.end(seconds)
        self.faults.append((began, monotonic()))

    async def _answer_unframed(self, request, reply, head):
        is_plain = not request.target.startswith("/stream/")
        is_long = self.step_seconds(request) != STEP_SECONDS
        rng = random.Random(f"{request.get('Attempt-Id')} at once")
        if is_plain and not is_long and rng.random() < AT_ONCE_SHARE:
            await self._answer_at_once(request, reply, head)
        else:
            await super()._answer_unframed(request, reply, head)

    async def _answer_at_once(self, request, reply, head):
        """Send head, body and end together."""
        began_at = monotonic()
        request_id = request.get("Attempt-Id")
        first, second = self._parts(request_id, request, is_stream=False)
        connection = reply._connection
        self._half_by_connection[connection] = encode_unframed_head(head) + first
        await asyncio.sleep(AT_ONCE_DELAY)
        half = self._half_by_connection.pop(connection, None)
        if half is None or connection.transport is None:
            return
        connection.write(half + second)
        self._finish_unframed(request_id, reply, began_at)


def port_of(connection):
    """Return the port of the other end of a server's connection."""
    return connection.transport.get_extra_info("peername")[1]
