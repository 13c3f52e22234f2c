"""In-memory store of the chunks that weights are split into; hosts have no disk."""

import threading

from hawthornspoke.base import Failure, digest_of

NO_MEMORY = Failure(code="no_memory")
CORRUPT = Failure(code="corrupt_chunk")


class _HeldWeights:
    __slots__ = ("manifest", "chunk_by_index")

    def __init__(self, *, manifest):
        self.manifest = manifest
        self.chunk_by_index = {}


class ChunkStore:
    """Verified chunks by weights digest, bounded in size.

    Parameters
    ----------
    capacity : int
        Maximum bytes of weights. The full size is reserved when a transfer starts, so
        that a host with too little memory fails before the transfer and not midway.

    Notes
    -----
    Written by the agent's control actor and read by the tasks that serve chunks to
    peers; a lock protects the dictionary operations.
    """

    __slots__ = ("capacity", "_held_by_digest", "_lock")

    def __init__(self, *, capacity):
        self.capacity = capacity
        self._held_by_digest = {}
        self._lock = threading.Lock()

    def reserve(self, manifest):
        """Reserve space for some weights.

        Parameters
        ----------
        manifest : Manifest

        Returns
        -------
        None or Failure
        """
        with self._lock:
            if manifest.digest in self._held_by_digest:
                return None
            free = self.capacity - self._reserved()
            if manifest.size > free:
                reason = f"{manifest.size} bytes wanted, {free} free"
                return NO_MEMORY.with_reason(reason)
            self._held_by_digest[manifest.digest] = _HeldWeights(manifest=manifest)
        return None

    def add(self, digest, index, data):
        """Store a chunk if its digest matches the manifest.

        Parameters
        ----------
        digest : str
        index : int
        data : bytes

        Returns
        -------
        None or Failure
            ``CORRUPT`` if the digest of the bytes differs from the manifest, or if
            the chunk does not belong to reserved weights.
        """
        held = self._held_by_digest.get(digest)
        if held is None or not 0 <= index < len(held.manifest.chunks):
            return CORRUPT.with_reason(f"unexpected chunk {index} of {digest[:12]}")
        if digest_of(data) != held.manifest.chunks[index]:
            return CORRUPT.with_reason(
                f"digest mismatch in chunk {index} of {digest[:12]}"
            )
        with self._lock:
            held.chunk_by_index[index] = data
        return None

    def get(self, digest, index):
        """Return a stored chunk, or None if it is not held.

        Parameters
        ----------
        digest : str
        index : int

        Returns
        -------
        bytes or None
        """
        held = self._held_by_digest.get(digest)
        return None if held is None else held.chunk_by_index.get(index)

    def indices(self, digest):
        """Return the indices of the chunks held, in ascending order.

        Parameters
        ----------
        digest : str

        Returns
        -------
        list of int
        """
        held = self._held_by_digest.get(digest)
        if held is None:
            return []
        with self._lock:
            return sorted(held.chunk_by_index)

    def manifest(self, digest):
        """Return the manifest of weights that are held or reserved.

        Parameters
        ----------
        digest : str

        Returns
        -------
        Manifest or None
        """
        held = self._held_by_digest.get(digest)
        return None if held is None else held.manifest

    def is_complete(self, digest):
        """Return whether every chunk is held.

        Parameters
        ----------
        digest : str

        Returns
        -------
        bool
        """
        held = self._held_by_digest.get(digest)
        if held is None:
            return False
        return len(held.chunk_by_index) == len(held.manifest.chunks)

    def drop(self, digest):
        """Remove some weights and free their space.

        Parameters
        ----------
        digest : str
        """
        with self._lock:
            self._held_by_digest.pop(digest, None)

    def digests(self):
        """Return the digests held or reserved, ordered by time of reservation.

        Returns
        -------
        list of str
        """
        with self._lock:
            return list(self._held_by_digest)

    def dump(self):
        """Return the state as plain data.

        Returns
        -------
        dict
        """
        with self._lock:
            return {
                "capacity": self.capacity,
                "reserved": self._reserved(),
                "by_digest": {
                    digest: {
                        "chunks": len(held.manifest.chunks),
                        "held": len(held.chunk_by_index),
                        "size": held.manifest.size,
                    }
                    for digest, held in self._held_by_digest.items()
                },
            }

    def _reserved(self):
        return sum(held.manifest.size for held in self._held_by_digest.values())
