"""Mirrors the platform's tables, reading them once per failure domain."""

from hawthornspoke.mirror import pace
from hawthornspoke.mirror._follow import follow_platform
from hawthornspoke.mirror._intake import Intake
from hawthornspoke.mirror._neighbours import Neighbours
from hawthornspoke.mirror._quarantine_record import QuarantineRecord
from hawthornspoke.mirror._readers import NeighbourListReceived, ReaderFailed, Readers
from hawthornspoke.mirror._record_keeper import RecordKeeper
from hawthornspoke.mirror._tables import Mirror
from hawthornspoke.mirror._types import HISTORY_GONE, News, Row, Written
from hawthornspoke.mirror._unusable import (
    CONFIGURATION,
    ENDPOINT,
    WEIGHTS,
    UnusableRows,
    sort_out,
)
from hawthornspoke.mirror._watch import FollowedTable, TableWatcher

__all__ = [
    "CONFIGURATION",
    "ENDPOINT",
    "HISTORY_GONE",
    "WEIGHTS",
    "FollowedTable",
    "Intake",
    "Mirror",
    "NeighbourListReceived",
    "Neighbours",
    "News",
    "QuarantineRecord",
    "ReaderFailed",
    "Readers",
    "RecordKeeper",
    "Row",
    "TableWatcher",
    "UnusableRows",
    "Written",
    "follow_platform",
    "pace",
    "sort_out",
]
