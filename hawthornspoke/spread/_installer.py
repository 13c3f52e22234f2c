"""Stages verified pieces at the engine and orders it to take them up."""

import asyncio

from hawthornspoke.base import Failure, contact_clock, is_failure

#: Calls to the engine at once; it is on the same host.
MAX_CONCURRENT_CALLS = 4

#: Rounds of reading back what was staged. Pieces can turn bad where they lie.
MAX_ROUNDS = 4

#: Seconds between telling the entry hosts and the order, so that what they have
#: just sent is taken up before the engine takes nothing new.
NOTICE_DELAY = 0.03

#: Seconds after all pieces were found right in which the order must be sent. What
#: lies between is the notice and one call to the engine, of a second at most; more
#: means that this process stood still, and pieces can have turned bad meanwhile.
VERIFICATION_TTL = 1.2

#: Seconds for an order to show in the engine's state.
ORDER_TIMEOUT = 1.0

POLL_INTERVAL = 0.05

#: Seconds for an engine to finish what runs and load: the longest answers take
#: some four seconds.
INSTALL_TIMEOUT = 8.0

#: Pieces in a row that are of another version before the rest is not read.
MAX_CONSECUTIVE_MISMATCHES = 3

STAGE_FAILED = Failure(code="stage_failed")
ORDER_FAILED = Failure(code="order_failed")
PROCESS_STALLED = Failure(code="stood_still")

#: What was staged or ordered was for a start of the engine that is over.
ENGINE_RESTARTED = Failure(code="restarted", reason="the engine has started again")


class Installer:
    """Speaks with the engine about weights.

    Parameters
    ----------
    engine : object
        ``put_piece``, ``get_piece``, ``held_pieces``, ``start`` and ``snapshot``.
    log : EventLog
    on_order_pending : callable
        Called with True just before an order, with False when it has ended.
    """

    __slots__ = (
        "_engine",
        "_log",
        "_on_order_pending",
        "_staged_name",
        "_staged",
        "_generation",
        "_pending_puts",
    )

    def __init__(self, *, engine, log, on_order_pending):
        self._engine = engine
        self._log = log
        self._on_order_pending = on_order_pending
        self._staged_name = None
        self._staged = set()
        self._generation = 0
        self._pending_puts = set()

    def forget(self):
        """Take that the engine has started again: nothing counts as staged.

        It may have lost what was staged, and an order for a version of which a piece
        is missing takes up other bytes in its place.
        """
        self._generation += 1
        self._staged_name = None
        self._staged = set()

    async def recover(self, weights):
        """Take the pieces that lie at the engine already.

        Parameters
        ----------
        weights : Weights

        Returns
        -------
        int
            How many were right.
        """
        generation = self._generation
        held = await self._engine.held_pieces(weights.model)
        if is_failure(held):
            return 0
        found = mismatches = 0
        for index in held:
            data = await self._engine.get_piece(weights.model, index)
            if not is_failure(data) and weights.put(index, data):
                found += 1
                mismatches = 0
                continue
            mismatches += 1
            if mismatches >= MAX_CONSECUTIVE_MISMATCHES and not found:
                break
        if found == len(weights.digests) and generation == self._generation:
            self._staged_name = weights.name
            self._staged = set(weights.held())
        return found

    async def stage(self, weights, index):
        """Put one piece there; a failure only means that it is put later."""
        if self._staged_name != weights.name:
            self._staged_name = weights.name
            self._staged = set()
        if index in self._staged:
            return
        generation = self._generation
        task = asyncio.current_task()
        self._pending_puts.add(task)
        try:
            data = weights.get(index)
            result = await self._engine.put_piece(weights.model, index, data)
        finally:
            self._pending_puts.discard(task)
        if self._staged_name != weights.name:
            return
        if not is_failure(result) and generation == self._generation:
            self._staged.add(index)

    async def _cancel_puts(self):
        # A piece of the version before that a slow engine has not taken in yet would
        # replace one of this version after that was read back and found right.
        puts = list(self._pending_puts)
        for task in puts:
            task.cancel()
        await asyncio.gather(*puts, return_exceptions=True)

    async def install(self, weights, *, is_order_valid):
        """Stage all pieces, read all back, and order the engine to load them.

        Parameters
        ----------
        weights : Weights
            Whole.
        is_order_valid : callable
            Tells whether the order would still be right at the moment of the call.

        Returns
        -------
        None or Failure
        """
        await self._cancel_puts()
        initial = await self._engine.snapshot()
        if is_failure(initial):
            return initial
        result = PROCESS_STALLED
        for _ in range(MAX_ROUNDS):
            failure = await self._stage_all(weights)
            if failure is not None:
                return failure
            checked_deadline = contact_clock() + VERIFICATION_TTL
            try:
                self._on_order_pending(True)
                await asyncio.sleep(NOTICE_DELAY)
                result = await self._send_order(
                    weights, initial, is_order_valid, checked_deadline
                )
            finally:
                self._on_order_pending(False)
            if result != PROCESS_STALLED:
                break
        return result

    async def _stage_all(self, weights):
        indices = range(len(weights.digests))
        for _ in range(MAX_ROUNDS):
            await self._for_each(
                [index for index in indices if index not in self._staged],
                lambda index: self.stage(weights, index),
            )
            self._staged_name = weights.name
            await self._for_each(
                indices, lambda index: self._verify_piece(weights, index)
            )
            if len(self._staged) == len(weights.digests):
                return None
        return STAGE_FAILED.because(f"{len(self._staged)} of {len(weights.digests)}")

    async def _verify_piece(self, weights, index):
        # A piece that turned bad after it was staged would be loaded as it is; the
        # engine does not look at digests.
        data = await self._engine.get_piece(weights.model, index)
        if is_failure(data) or not weights.matches_digest(index, data):
            self._staged.discard(index)
            self._log.change("staged_piece_bad", weights=weights.name, piece=index)

    async def _send_order(self, weights, initial, is_order_valid, checked_deadline):
        """Order the start whose pieces were read back; see ``install``.

        The order itself names only how many came before it, and each start counts
        from none: it can't tell two starts apart.
        """
        before = await self._engine.snapshot()
        if is_failure(before):
            return before
        if _has_restarted(initial, before):
            return ENGINE_RESTARTED
        if before.busy:
            return ORDER_FAILED.because("another order is in progress")
        failure = self._check_order(is_order_valid, checked_deadline)
        if failure is not None:
            self._log.change(
                "order_not_sent", weights=weights.name, reason=str(failure)
            )
            return failure
        result = await self._engine.start(
            weights.model, weights.version, sequence=before.sequence
        )
        self._log.change(
            "order",
            weights=weights.name,
            sequence=before.sequence,
            running=before.running,
            result=str(result),
        )
        return await self._wait_until_loaded(weights, before, result)

    def _check_order(self, is_order_valid, checked_deadline):
        # Looked at directly before the order: the host can have stood still since
        # the install was decided, and an engine that takes up what is too old by
        # now answers nothing for the time of a change.
        if not is_order_valid():
            return ORDER_FAILED.because("the version is no longer due")
        if contact_clock() >= checked_deadline:
            return PROCESS_STALLED.because("the pieces must be read back once more")
        return None

    async def _wait_until_loaded(self, weights, before, result):
        """Wait until the engine has the weights; its state is the only proof."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + INSTALL_TIMEOUT
        begin_deadline = loop.time() + ORDER_TIMEOUT
        while loop.time() < deadline:
            observed = await self._engine.snapshot()
            if not is_failure(observed):
                if _has_restarted(before, observed):
                    # It may have taken up what its start had left of the pieces.
                    return ENGINE_RESTARTED
                if observed.version == weights.version and not observed.busy:
                    return None
                begun = observed.busy or observed.sequence != before.sequence
                if not begun and loop.time() >= begin_deadline:
                    break
            if is_failure(result) and loop.time() >= begin_deadline:
                break
            await asyncio.sleep(POLL_INTERVAL)
        return ORDER_FAILED.because(str(result))

    async def _for_each(self, indices, call):
        gate = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def one(index):
            async with gate:
                await call(index)

        await asyncio.gather(*(one(index) for index in indices))


def _has_restarted(before, after):
    """Tell whether two looks at an engine are at two starts of it.

    Parameters
    ----------
    before, after : EngineSnapshot
        Asked for one after the other.

    Returns
    -------
    bool
    """
    if after.incarnation.differs_from(before.incarnation):
        return True
    # Where no start is told, a count that goes back is the only sign of another.
    return after.sequence < before.sequence
