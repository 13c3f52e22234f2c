"""Manifests, which list the chunks of a version of weights.

The digest of its manifest identifies a version.
"""

import json

from hawthornspoke import fields
from hawthornspoke.base import Failure, digest_of

BAD_MANIFEST = Failure(code="bad_manifest")

MAX_CHUNKS = 1_000_000


class Manifest:
    """Chunk digests and sizes of one version of weights.

    Parameters
    ----------
    chunks : tuple of str
        SHA-256 digest of each chunk, in order.
    chunk_size : int
        Size in bytes of each chunk except the last.
    size : int
        Total size in bytes.
    """

    __slots__ = ("chunks", "chunk_size", "size", "digest")

    def __init__(self, *, chunks, chunk_size, size):
        self.chunks = tuple(chunks)
        self.chunk_size = chunk_size
        self.size = size
        self.digest = digest_of(self.to_bytes())

    def to_bytes(self):
        """Return the canonical JSON encoding, whose SHA-256 is the digest.

        Returns
        -------
        bytes
        """
        tree = {
            "chunk_size": self.chunk_size,
            "chunks": list(self.chunks),
            "size": self.size,
        }
        return json.dumps(tree, sort_keys=True, separators=(",", ":")).encode()

    def byte_range(self, index):
        """Return the byte range of a chunk.

        Parameters
        ----------
        index : int

        Returns
        -------
        tuple of int
            Offsets of the first byte and of the byte after the last.
        """
        start = index * self.chunk_size
        return start, min(start + self.chunk_size, self.size)


def parse_manifest(data):
    """Decode and validate a manifest.

    Parameters
    ----------
    data : bytes
        JSON with ``chunks``, ``chunk_size`` and ``size``.

    Returns
    -------
    Manifest or Failure
    """
    try:
        tree = fields.parse_object(data)
        manifest = Manifest(
            chunks=[str(chunk) for chunk in tree["chunks"]],
            chunk_size=int(tree["chunk_size"]),
            size=int(tree["size"]),
        )
    except (ValueError, KeyError, TypeError, OverflowError) as error:
        return BAD_MANIFEST.with_reason(f"not a manifest: {error!r}")
    if manifest.chunk_size <= 0 or len(manifest.chunks) > MAX_CHUNKS:
        return BAD_MANIFEST.with_reason("chunk size or number of chunks out of range")
    expected = -(-manifest.size // manifest.chunk_size)
    if expected != len(manifest.chunks):
        reason = f"{len(manifest.chunks)} chunks for {manifest.size} bytes"
        return BAD_MANIFEST.with_reason(reason)
    return manifest
