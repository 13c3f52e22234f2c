"""Actor that controls the engine, and the function that runs a request."""

from dataclasses import dataclass

import pykka
from loguru import logger

from hawthornspoke import fields
from hawthornspoke.agent._engines import FENCED, IncompleteResponse
from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.deployment import EngineStateUpdated, OrderEnded, OrderLoad
from hawthornspoke.protocol import ENGINE_ENDED, Event, EventKind


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadEngineState:
    """Read the engine's state."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineSilent:
    """The engine's state was not read, as it was silent; the last one still counts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class StageChunk:
    """Stage a verified chunk: send it to the engine, which keeps it until it loads."""

    digest: str
    index: int


@dataclass(slots=True, kw_only=True, frozen=True)
class DropStaged:
    """Make the engine discard staged chunks of weights that are no longer needed."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class RunEnded:
    """A started request has ended."""

    request_id: str


class EngineActor(pykka.ThreadingActor):
    """Reads the engine's state and orders it to load or unload weights, one at a time.

    Parameters
    ----------
    engine : object
        Driver of the registry ``ENGINES``.
    store : ChunkStore
    control : pykka.ActorRef

    Notes
    -----
    Only this actor sends orders, and only one agent runs at a time, as it has to bind
    the host's port. Each order carries a fencing token: the highest that the engine
    reported, plus one. So an engine that checks it rejects delayed orders of an earlier
    agent.
    """

    use_daemon_thread = True

    def __init__(self, *, engine, store, control):
        super().__init__()
        self.engine = engine
        self.store = store
        self.control = control
        self.fence = 0
        self.instance = ""
        self.staged_by_digest = {}

    def on_receive(self, message):
        """Read the engine's state, stage or drop chunks, or load or unload weights."""
        if isinstance(message, ReadEngineState):
            self._tell(self._read_state())
            return
        if isinstance(message, StageChunk):
            self._stage(message.digest, message.index)
            return
        if isinstance(message, DropStaged):
            self.staged_by_digest.pop(message.digest, None)
            self.engine.drop_staged(message.digest)
            return
        outcome = self._order(message)
        if is_failure(outcome):
            logger.warning("order {} failed: {}", type(message).__name__, outcome)
        self._tell(OrderEnded(digest=message.digest, ok=not is_failure(outcome)))

    def _read_state(self):
        state = self.engine.state()
        if is_failure(state):
            logger.warning("the engine's state was not read: {}", state)
            return EngineSilent()
        if state is None:
            return EngineStateUpdated(instance="")
        try:
            updated = _decode_state(state)
            fence = _count(state, "fence")
        except fields.FieldError as error:
            logger.warning("the engine's state is unusable: {}", error)
            return EngineStateUpdated(instance="")
        if updated.instance != self.instance:
            self.instance = updated.instance
            self.fence = fence + 1
            self.staged_by_digest = {}
        return updated

    def _order(self, message):
        if isinstance(message, OrderLoad):
            manifest = self.store.manifest(message.digest)
            if manifest is None:
                return Failure(code="not_held")
            for index in range(len(manifest.chunks)):
                failure = self._stage(message.digest, index)
                if failure is not None:
                    return failure
            # The engine discards staged chunks after any load, successful or not.
            self.staged_by_digest.pop(message.digest, None)
            outcome = self.engine.load(manifest, base=message.base, fence=self.fence)
        else:
            outcome = self.engine.unload(message.digest, fence=self.fence)
        if outcome == FENCED:
            # Another agent has used a higher token. Forgetting the instance makes the
            # next read of the state yield a new token and the set of loaded weights.
            self.instance = ""
        return outcome

    def _stage(self, digest, index):
        """Send a chunk unless it is staged already; return None or a Failure."""
        staged = self.staged_by_digest.setdefault(digest, set())
        if index in staged:
            return None
        data = self.store.get(digest, index)
        if data is None:
            return Failure(code="not_held", reason=f"chunk {index} is not held")
        failure = self.engine.stage(digest, index, data)
        if failure is None:
            staged.add(index)
        return failure

    def _tell(self, message):
        if self.control.is_alive():
            self.control.tell(message)


def _decode_state(state):
    return EngineStateUpdated(
        instance=fields.text(state, "instance", ""),
        loaded=frozenset(fields.texts(state, "loaded", ())),
        memory=_count(state, "memory"),
        used=_count(state, "used"),
    )


def _count(state, name):
    return fields.whole_number(state, name, 0, high=fields.MAX_EXACT_INT)


def run_request(*, run, engine, exits, control):
    """Run a request that the gate has started, and queue its events.

    Parameters
    ----------
    run : Run
    engine : object
    exits : EngineExits
    control : pykka.ActorRef
    """
    request_id = run.submit.request_id
    try:
        run.push(Event(kind=EventKind.STARTED))
        remaining = max(0.05, run.deadline - monotonic())
        for item in engine.stream_events(run, timeout=remaining):
            if is_failure(item):
                run.refuse(item)
                return
            if not run.push(item):
                run.fail("cancelled")
                return
        run.push(Event(kind=EventKind.DONE))
    except IncompleteResponse as error:
        if engine.has_ended():
            run.fail(f"{ENGINE_ENDED.code}: {exits.record()}")
        else:
            run.fail(str(error))
    except Exception as error:
        # The caller needs a final event after any error in a driver.
        logger.exception("request {}: unexpected error in the agent", request_id)
        run.fail(repr(error))
    finally:
        if control.is_alive():
            control.tell(RunEnded(request_id=request_id))
