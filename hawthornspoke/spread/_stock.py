"""Verified pieces of weights, in memory."""

from hawthornspoke.base import digest_of


class Weights:
    """Pieces of one version that are here and have the right digests.

    Parameters
    ----------
    model : str
    version : int
    digests : tuple of str
        SHA-256 of each piece, hexadecimal.
    """

    __slots__ = ("model", "version", "digests", "_piece_by_index")

    def __init__(self, *, model, version, digests):
        self.model = model
        self.version = version
        self.digests = digests
        self._piece_by_index = {}

    @property
    def name(self):
        """The name under which hosts exchange this version."""
        return weights_name(self.model, self.version)

    @property
    def is_complete(self):
        """Whether all pieces are here."""
        return len(self._piece_by_index) == len(self.digests)

    def held(self):
        """Return the indices that are here."""
        return tuple(sorted(self._piece_by_index))

    def get(self, index):
        """Return a piece, None if it isn't here."""
        return self._piece_by_index.get(index)

    def matches_digest(self, index, data):
        """Tell whether some bytes are a piece."""
        return digest_of(data) == self.digests[index]

    def put(self, index, data):
        """Keep a piece if it is right.

        Parameters
        ----------
        index : int
        data : bytes

        Returns
        -------
        bool
        """
        if not 0 <= index < len(self.digests) or not self.matches_digest(index, data):
            return False
        self._piece_by_index[index] = data
        return True


def weights_name(model, version):
    """Return the name of a version in messages between hosts."""
    return f"{model}@{version}"
