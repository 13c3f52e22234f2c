"""What the platform's tables hold, read once for the hosts of a failure domain."""

from hawthornspoke.mirror._neighbours import Neighbours
from hawthornspoke.mirror._readers import NeighboursTold, ReaderFailed, Readers
from hawthornspoke.mirror._tables import Mirror
from hawthornspoke.mirror._types import HISTORY_GONE, News, Row
from hawthornspoke.mirror._watch import Table, Watch

__all__ = [
    "HISTORY_GONE",
    "Mirror",
    "Neighbours",
    "NeighboursTold",
    "News",
    "ReaderFailed",
    "Readers",
    "Row",
    "Table",
    "Watch",
]
