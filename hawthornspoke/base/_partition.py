"""Network partitions that tests simulate inside a process."""


class Partition:
    """Address prefixes that this process may not send to.

    Notes
    -----
    Only for tests, and only where the settings allow it: tests run on the loopback
    network, on which no link can be taken down. Each side is given the
    addresses of the other, so that both directions are blocked.
    """

    __slots__ = ("prefixes",)

    def __init__(self):
        self.prefixes = ()

    def set(self, prefixes):
        """Set the address prefixes to block.

        Parameters
        ----------
        prefixes : iterable of str
            Empty to end the partition.
        """
        self.prefixes = tuple(prefixes)

    def blocks(self, address):
        """Return whether an address is blocked.

        Parameters
        ----------
        address : str

        Returns
        -------
        bool
        """
        return bool(self.prefixes) and address.startswith(self.prefixes)


PARTITION = Partition()
