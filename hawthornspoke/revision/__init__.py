"""Selection of the active configuration revision of a node, which never decreases."""

from hawthornspoke.revision._holder import (
    DocumentActivated,
    DocumentRead,
    FetchDocument,
    RevisionAdvertised,
    RevisionHolder,
    TableRead,
)

__all__ = [
    "DocumentActivated",
    "DocumentRead",
    "FetchDocument",
    "RevisionAdvertised",
    "RevisionHolder",
    "TableRead",
]
