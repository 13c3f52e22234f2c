"""In-memory store of verified pieces."""

from hawthornspoke.base import digest_of


class Weights:
    """Verified pieces of one version.

    Parameters
    ----------
    model : str
    version : int
    digests : tuple of str
        SHA-256 digest of each piece, in hexadecimal.
    """

    __slots__ = ("model", "version", "digests", "_piece_by_index")

    def __init__(self, *, model, version, digests):
        self.model = model
        self.version = version
        self.digests = digests
        self._piece_by_index = {}

    @property
    def name(self):
        """Name of this version in messages between hosts."""
        return weights_name(self.model, self.version)

    @property
    def is_complete(self):
        """Whether all pieces are held."""
        return len(self._piece_by_index) == len(self.digests)

    def held(self):
        """Return the indices of the held pieces."""
        return tuple(sorted(self._piece_by_index))

    def get(self, index):
        """Return a piece, or None if it is not held."""
        return self._piece_by_index.get(index)

    def matches_digest(self, index, data):
        """Return whether data matches the digest of a piece."""
        return digest_of(data) == self.digests[index]

    def put(self, index, data):
        """Store a piece if it matches its digest.

        Parameters
        ----------
        index : int
        data : bytes

        Returns
        -------
        bool
            Whether the piece was stored.
        """
        if not 0 <= index < len(self.digests) or not self.matches_digest(index, data):
            return False
        self._piece_by_index[index] = data
        return True


def weights_name(model, version):
    """Return the name of a model's version in messages between hosts."""
    return f"{model}@{version}"
