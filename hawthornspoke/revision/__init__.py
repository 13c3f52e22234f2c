"""Which configuration is in force on a node: only ever upwards."""

from hawthornspoke.revision._holder import (
    DocumentRead,
    FetchDocument,
    Heard,
    InForce,
    RevisionHolder,
    TableRead,
)

__all__ = [
    "DocumentRead",
    "FetchDocument",
    "Heard",
    "InForce",
    "RevisionHolder",
    "TableRead",
]
