"""Operators' declarations in TOML files, and the document built from them."""

from hawthornspoke.config._document import (
    ServiceView,
    build_document,
    document_digest,
    pack_document,
    unpack_document,
)
from hawthornspoke.config._loader import Declarations, load_folder
from hawthornspoke.config._manifest import Manifest, parse_manifest
from hawthornspoke.config._schema import check_declarations

__all__ = [
    "Declarations",
    "Manifest",
    "ServiceView",
    "build_document",
    "check_declarations",
    "document_digest",
    "load_folder",
    "pack_document",
    "parse_manifest",
    "unpack_document",
]
