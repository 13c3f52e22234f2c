"""Selection of the active configuration revision of a node, which never decreases."""

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
