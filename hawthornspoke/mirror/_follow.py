"""Sets up all reading and writing of the platform by an entry host."""

from hawthornspoke.base import monotonic
from hawthornspoke.mirror import poll
from hawthornspoke.mirror._declaration_recorder import DeclarationRecorder
from hawthornspoke.mirror._quarantine_record import QuarantineRecorder
from hawthornspoke.mirror._retry_reserve_record import RetryReserveRecorder
from hawthornspoke.mirror._row_dispatcher import RowDispatcher
from hawthornspoke.mirror._watch import FollowedTable, TableWatcher

#: Seconds from the start of a host for which it waits for the stored evidence of
#: requests that crash endpoints before it serves requests.
RECORD_TIMEOUT = 2.0


class PlatformFollower:
    """Follows the platform's tables and passes their contents to a sink.

    Parameters
    ----------
    store : object
        See ``TableWatcher``, ``DeclarationRecorder`` and ``QuarantineRecorder``.
    operators_table, endpoints_table : str
        Names of the tables.
    operators_order, endpoints_order : ContentOrder
        Orders of their rows.
    decode_entry, decoder_for_operators_key : callable
        See ``RowDispatcher``.
    first_start : bool, default=False
        Whether the whole system starts for the first time.
    discovery_timeout : float, default=0.0
        See ``TableWatcher``.
    """

    __slots__ = (
        "_store",
        "_operators_table",
        "_endpoints_table",
        "_operators_order",
        "_endpoints_order",
        "_decode_entry",
        "_decoder_for_operators_key",
        "_first_start",
        "_discovery_timeout",
    )

    def __init__(
        self,
        *,
        store,
        operators_table,
        endpoints_table,
        operators_order,
        endpoints_order,
        decode_entry,
        decoder_for_operators_key,
        first_start=False,
        discovery_timeout=0.0,
    ):
        self._store = store
        self._operators_table = operators_table
        self._endpoints_table = endpoints_table
        self._operators_order = operators_order
        self._endpoints_order = endpoints_order
        self._decode_entry = decode_entry
        self._decoder_for_operators_key = decoder_for_operators_key
        self._first_start = first_start
        self._discovery_timeout = discovery_timeout

    async def run(self, sink, neighbours):
        """Pass the tables' contents and changes to a sink until cancelled.

        Parameters
        ----------
        sink : Sink
        neighbours : Neighbours
        """
        neighbours.eras = self._store.eras
        watch = TableWatcher(
            store=self._store,
            neighbours=neighbours,
            on_confirmed=sink.on_confirmed,
            on_lost=sink.on_contact_lost,
            log=sink.log,
            first_start=self._first_start,
            discovery_timeout=self._discovery_timeout,
            earliest_arrival=sink.earliest_arrival,
        )
        recorder = DeclarationRecorder(
            store=self._store,
            clock=watch.clock,
            on_declaration_times=sink.on_declaration_times,
            log=sink.log,
        )
        quarantine = QuarantineRecorder(
            store=self._store,
            suspects=sink.suspects,
            log=sink.log,
            first_start=self._first_start,
        )
        if not self._first_start:
            sink.suspects.await_record(monotonic() + RECORD_TIMEOUT)
        reserve = RetryReserveRecorder(
            store=self._store, budgets=sink.retry_budgets, log=sink.log
        )

        def on_restored():
            quarantine.on_restored()
            reserve.on_restored()

        watch.on_restored = on_restored
        dispatcher = RowDispatcher(
            sink=sink,
            recorder=recorder,
            decode_entry=self._decode_entry,
            decoder_for_operators_key=self._decoder_for_operators_key,
        )
        await neighbours.serve(watch)
        await watch.run(
            self._followed_tables(dispatcher),
            background=(recorder.run, quarantine.run, reserve.run),
        )

    def _followed_tables(self, dispatcher):
        operators = FollowedTable(
            name=self._operators_table,
            wait=poll.OPERATORS_POLL_WAIT,
            pause=poll.OPERATORS_CHANGE_PAUSE,
            on_update=dispatcher.apply_operators,
            content_order=self._operators_order,
            confirms_configuration=True,
        )
        endpoints = FollowedTable(
            name=self._endpoints_table,
            wait=poll.ENDPOINTS_POLL_WAIT,
            pause=poll.ENDPOINTS_CHANGE_PAUSE,
            on_update=dispatcher.apply_endpoints,
            content_order=self._endpoints_order,
        )
        return operators, endpoints
