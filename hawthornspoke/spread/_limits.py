"""Limits of what engines and the origin of weights may send."""

#: Maximum number of pieces of one version; messages carry two-byte piece indices.
MAX_PIECES = 2**16

#: Maximum size of a piece in bytes, as large as the frames that carry pieces from host
#: to host.
MAX_PIECE_BYTES = 4 * 1024 * 1024

#: Maximum size, in bytes, of the digests of a version: 64 digits each, with separators.
MAX_MANIFEST_BYTES = 128 * MAX_PIECES

#: Maximum size, in bytes, of an engine's report or of its answer to an order.
MAX_REPORT_BYTES = 1024 * 1024
