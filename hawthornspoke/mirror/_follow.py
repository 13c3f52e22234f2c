"""Sets up all reading and writing of the platform by an entry host."""

from hawthornspoke.mirror import poll
from hawthornspoke.mirror._declaration_recorder import DeclarationRecorder
from hawthornspoke.mirror._quarantine_record import QuarantineRecorder
from hawthornspoke.mirror._row_dispatcher import RowDispatcher
from hawthornspoke.mirror._watch import FollowedTable, TableWatcher


async def follow_platform(
    *,
    store,
    sink,
    neighbours,
    operators_table,
    endpoints_table,
    decode_entry,
    decoder_for_operators_key,
    first_start=False,
    discovery_timeout=0.0,
):
    """Pass the contents of the platform's tables to a sink, until cancelled.

    Parameters
    ----------
    store : object
        See ``TableWatcher``, ``DeclarationRecorder`` and ``QuarantineRecorder``.
    sink : Sink
    neighbours : Neighbours
    operators_table, endpoints_table : str
        Names of the tables.
    decode_entry, decoder_for_operators_key : callable
        See ``RowDispatcher``.
    first_start : bool, default=False
        Whether the whole system starts for the first time.
    discovery_timeout : float, default=0.0
        See ``TableWatcher``.
    """
    watch = TableWatcher(
        store=store,
        neighbours=neighbours,
        on_confirmed=sink.on_confirmed,
        on_lost=sink.on_contact_lost,
        first_start=first_start,
        discovery_timeout=discovery_timeout,
    )
    recorder = DeclarationRecorder(
        store=store,
        clock=watch.clock,
        on_declaration_times=sink.on_declaration_times,
        log=sink.log,
    )
    quarantine = QuarantineRecorder(
        store=store, suspects=sink.suspects, log=sink.log, first_start=first_start
    )
    dispatcher = RowDispatcher(
        sink=sink,
        recorder=recorder,
        decode_entry=decode_entry,
        decoder_for_operators_key=decoder_for_operators_key,
    )
    operators = FollowedTable(
        name=operators_table,
        wait=poll.OPERATORS_POLL_WAIT,
        pause=poll.OPERATORS_CHANGE_PAUSE,
        on_update=dispatcher.apply_operators,
        confirms_configuration=True,
    )
    endpoints = FollowedTable(
        name=endpoints_table,
        wait=poll.ENDPOINTS_POLL_WAIT,
        pause=poll.ENDPOINTS_CHANGE_PAUSE,
        on_update=dispatcher.apply_endpoints,
    )
    await neighbours.serve(watch)
    await watch.run((operators, endpoints), background=(recorder.run, quarantine.run))
