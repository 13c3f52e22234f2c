"""Selection of the revision of the configuration that a node uses.

The revision of a node never decreases.
"""

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
