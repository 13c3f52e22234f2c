"""Stages verified pieces at the engine and orders it to load them.

Staging copies a piece to the engine without loading it. An order is the
call that makes the engine finish its requests and load the staged pieces.
"""

import asyncio

from hawthornspoke.base import Failure, boottime_clock, is_failure
from hawthornspoke.spread._verification import PieceVerification

#: Maximum concurrent calls to the engine, which is on the same host.
MAX_CONCURRENT_CALLS = 4

#: Maximum rounds of staging pieces and reading them back. Staged pieces can become
#: corrupt.
MAX_ROUNDS = 4

#: Seconds between telling entry hosts of an order and sending it, so that requests
#: already on their way are admitted before the engine stops admitting new ones.
NOTICE_DELAY = 0.03

#: Seconds until an accepted order must be visible in the engine's state.
ORDER_TIMEOUT = 1.0

POLL_INTERVAL = 0.05

#: Seconds for an engine to finish its running requests and load. The longest responses
#: take about four seconds.
INSTALL_TIMEOUT = 8.0

#: Consecutive staged pieces that don't match the version after which the rest is not
#: read, if none has matched.
MAX_CONSECUTIVE_MISMATCHES = 3

STAGE_FAILED = Failure(code="stage_failed")
ORDER_FAILED = Failure(code="order_failed")
PROCESS_STALLED = Failure(code="stood_still")

#: The pieces were staged at, or the order was sent to, an earlier incarnation of the
#: engine.
ENGINE_RESTARTED = Failure(code="restarted", reason="the engine has restarted")


class Installer:
    """Client of the engine for staging and loading weights.

    Parameters
    ----------
    engine : object
        Provides ``put_piece``, ``get_piece``, ``held_pieces``, ``start`` and
        ``snapshot``.
    log : EventLog
    on_order_pending : callable
        Called with True shortly before the engine is ordered to load weights, and with
        False when that order has ended.
    """

    __slots__ = (
        "_engine",
        "_log",
        "_on_order_pending",
        "_staged_name",
        "_staged",
        "_generation",
        "_pending_puts",
        "_is_order_next",
    )

    def __init__(self, *, engine, log, on_order_pending):
        self._engine = engine
        self._log = log
        self._on_order_pending = on_order_pending
        self._staged_name = None
        self._staged = set()
        self._generation = 0
        self._pending_puts = set()
        self._is_order_next = False

    def forget_staged(self):
        """Discard the record of staged pieces because the engine has restarted.

        The engine may have lost them, and if a piece is missing when a version is
        ordered, it loads other bytes in its place.
        """
        self._generation += 1
        self._staged_name = None
        self._staged = set()

    async def recover(self, weights):
        """Recover the pieces that are already staged at the engine.

        Parameters
        ----------
        weights : Weights

        Returns
        -------
        int
            Number of pieces that match their digest.
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
        """Stage one piece; after a failure ``install`` stages it again."""
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
        # A pending put of the previous version could complete on a slow engine after
        # the piece of this version was verified, and replace it.
        puts = list(self._pending_puts)
        for task in puts:
            task.cancel()
        await asyncio.gather(*puts, return_exceptions=True)

    async def install(self, weights, *, is_order_valid):
        """Stage and read back all pieces, and order the engine to load them.

        Parameters
        ----------
        weights : Weights
            With all pieces.
        is_order_valid : callable
            Tells whether the order would still be valid at the time of the call.

        Returns
        -------
        None or Failure
        """
        await self._cancel_puts()
        initial = await self._engine.snapshot()
        if is_failure(initial):
            return initial
        result = PROCESS_STALLED
        verification = PieceVerification(weights=weights)
        for _ in range(MAX_ROUNDS):
            failure = await self._stage_all(verification)
            if failure is not None:
                return failure
            try:
                self._is_order_next = True
                self._on_order_pending(True)
                await asyncio.sleep(NOTICE_DELAY)
                result = await self._send_order(
                    weights, initial, is_order_valid, verification.deadline()
                )
            finally:
                self._is_order_next = False
                self._on_order_pending(False)
            if result != PROCESS_STALLED:
                break
        return result

    async def retire(self, model, order):
        """Make the engine refuse requests before its weights expire.

        It is ordered to give up a layer: it starts no request from then on, and the
        layer is kept until those that run have ended. Unlike the withdrawal of a
        request by its entry host, this doesn't depend on a link or on another host.

        Parameters
        ----------
        model : str
        order : Retire
        """
        if self._is_order_next:
            # It makes the engine refuse requests, too, and fails if this one is first.
            return
        before = await self._engine.snapshot()
        if is_failure(before) or before.busy or before.version != order.version:
            return
        if not before.layers or before.layers[0] > 0:
            # An earlier order has taken effect since the engine was observed.
            return
        result = await self._engine.retire(
            model, order.version, layers=before.layers, sequence=before.sequence
        )
        self._log.change(
            "weights_retired",
            version=order.version,
            running=before.running,
            waiting=before.waiting,
            result=str(result),
        )

    async def _stage_all(self, verification):
        """Stage the missing pieces, and verify those whose verification has expired.

        Parameters
        ----------
        verification : PieceVerification

        Returns
        -------
        None or Failure
        """
        weights = verification.weights
        for _ in range(MAX_ROUNDS):
            await self._for_each(
                self._missing_indices(weights),
                lambda index: self.stage(weights, index),
            )
            self._staged_name = weights.name
            await self._for_each(
                verification.expired_indices(),
                lambda index: self._verify_piece(verification, index),
            )
            missing = self._missing_indices(weights)
            expired = verification.expired_indices()
            if not missing and not expired:
                return None
        return STAGE_FAILED.with_reason(
            f"of {len(weights.digests)} pieces, {len(missing)} are not staged,"
            f" {len(expired)} are not verified"
        )

    def _missing_indices(self, weights):
        return [
            index for index in range(len(weights.digests)) if index not in self._staged
        ]

    async def _verify_piece(self, verification, index):
        # The engine does not check digests and would load a corrupt piece as it is.
        weights = verification.weights
        requested_at = boottime_clock()
        data = await self._engine.get_piece(weights.model, index)
        if not is_failure(data) and weights.matches_digest(index, data):
            verification.record(index, requested_at)
            return
        verification.discard(index)
        self._staged.discard(index)
        self._log.change("staged_piece_bad", weights=weights.name, piece=index)

    async def _send_order(self, weights, initial, is_order_valid, deadline):
        """Send the order, if the engine is still the incarnation that was verified.

        An incarnation is one run of the engine. An order carries only the number of
        orders before it, which each incarnation counts from zero, so the engine can't
        reject an order that was meant for an earlier incarnation.

        ``deadline`` is the time on ``boottime_clock`` until which the verification of
        all pieces is valid.
        """
        before = await self._engine.snapshot()
        if is_failure(before):
            return before
        if _has_restarted(initial, before):
            return ENGINE_RESTARTED
        if before.busy:
            return ORDER_FAILED.with_reason("another order is in progress")
        failure = self._check_order(is_order_valid, deadline)
        if failure is not None:
            self._log.change(
                "order_not_sent", weights=weights.name, reason=str(failure)
            )
            return failure
        result = await self._engine.start(
            weights.model,
            weights.version,
            sequence=before.sequence,
            deadline=deadline,
        )
        self._is_order_next = False
        self._log.change(
            "order",
            weights=weights.name,
            sequence=before.sequence,
            running=before.running,
            result=str(result),
        )
        return await self._wait_until_loaded(weights, before, result)

    def _check_order(self, is_order_valid, deadline):
        # Checked directly before the order is sent: the host may have been suspended
        # since the install was planned, and an engine that loads expired weights
        # serves nothing until it has switched again.
        if not is_order_valid():
            return ORDER_FAILED.with_reason("the version was superseded or has expired")
        if boottime_clock() >= deadline:
            return PROCESS_STALLED.with_reason("the pieces must be verified again")
        return None

    async def _wait_until_loaded(self, weights, before, result):
        """Wait until the engine reports the weights.

        ``result`` is the reply to the order. It does not decide: an order whose reply
        was lost may be carried out.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + INSTALL_TIMEOUT
        start_deadline = loop.time() + ORDER_TIMEOUT
        while loop.time() < deadline:
            observed = await self._engine.snapshot()
            if not is_failure(observed):
                if _has_restarted(before, observed):
                    # It may have loaded an incomplete set of staged pieces.
                    return ENGINE_RESTARTED
                if observed.version == weights.version and not observed.busy:
                    return None
                has_begun = observed.busy or observed.sequence != before.sequence
                if not has_begun and loop.time() >= start_deadline:
                    break
            if is_failure(result) and loop.time() >= start_deadline:
                break
            await asyncio.sleep(POLL_INTERVAL)
        return ORDER_FAILED.with_reason(str(result))

    async def _for_each(self, indices, call):
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def limited_call(index):
            async with semaphore:
                await call(index)

        await asyncio.gather(*(limited_call(index) for index in indices))


def _has_restarted(before, after):
    """Return whether two snapshots are of different incarnations of an engine.

    Parameters
    ----------
    before, after : EngineSnapshot
        In the order in which they were requested.

    Returns
    -------
    bool
    """
    if after.incarnation.differs_from(before.incarnation):
        return True
    # For an engine that doesn't report its start time, a sequence number that decreases
    # is the only sign of a restart.
    return after.sequence < before.sequence
