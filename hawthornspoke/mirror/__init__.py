"""Local copies of the platform's tables, read by one host per failure domain."""

from hawthornspoke.mirror import poll
from hawthornspoke.mirror._content_order import (
    ContentOrder,
    endpoints_order,
    position_by_fields,
)
from hawthornspoke.mirror._declaration_recorder import DeclarationRecorder
from hawthornspoke.mirror._follow import PlatformFollower
from hawthornspoke.mirror._limits import MAX_CHANGES_BYTES, MAX_PAGE_BYTES
from hawthornspoke.mirror._neighbours import Neighbours
from hawthornspoke.mirror._pages import read_pages
from hawthornspoke.mirror._quarantine_record import QuarantineRecorder
from hawthornspoke.mirror._readers import (
    NeighbourListReceived,
    ReaderFailed,
    ReaderSelector,
)
from hawthornspoke.mirror._response_timeout import RESPONSE_TIMEOUT, ResponseTimeout
from hawthornspoke.mirror._retry_reserve_record import RetryReserveRecorder
from hawthornspoke.mirror._revision import (
    OUTDATED_ERA,
    EraTracker,
    era_of,
    make_revision,
    number_of,
)
from hawthornspoke.mirror._row_dispatcher import RowDispatcher
from hawthornspoke.mirror._tables import Mirror
from hawthornspoke.mirror._types import HISTORY_GONE, Row, RowWritten, TableUpdate
from hawthornspoke.mirror._unusable import (
    CONFIGURATION,
    ENDPOINT,
    EVACUATION,
    WEIGHTS,
    UnusableRows,
    decode_rows,
)
from hawthornspoke.mirror._watch import FollowedTable, TableWatcher

__all__ = [
    "MAX_CHANGES_BYTES",
    "MAX_PAGE_BYTES",
    "CONFIGURATION",
    "ENDPOINT",
    "EVACUATION",
    "HISTORY_GONE",
    "OUTDATED_ERA",
    "WEIGHTS",
    "ContentOrder",
    "DeclarationRecorder",
    "EraTracker",
    "FollowedTable",
    "Mirror",
    "NeighbourListReceived",
    "Neighbours",
    "PlatformFollower",
    "QuarantineRecorder",
    "ReaderFailed",
    "ReaderSelector",
    "RESPONSE_TIMEOUT",
    "ResponseTimeout",
    "RetryReserveRecorder",
    "Row",
    "RowDispatcher",
    "RowWritten",
    "TableUpdate",
    "TableWatcher",
    "UnusableRows",
    "decode_rows",
    "endpoints_order",
    "era_of",
    "make_revision",
    "number_of",
    "poll",
    "position_by_fields",
    "read_pages",
]
