"""A cut in the network that a test can make inside a process."""


class Partition:
    """Addresses that this process may not send to, by prefix.

    Notes
    -----
    Only for tests, and only where the settings allow it: on loopback there is
    no switch to pull. Each of the cut processes gets the others' addresses, so
    that nothing passes either way.
    """

    __slots__ = ("prefixes",)

    def __init__(self):
        self.prefixes = ()

    def set(self, prefixes):
        """Cut this process off from some addresses.

        Parameters
        ----------
        prefixes : iterable of str
            Empty to heal.
        """
        self.prefixes = tuple(prefixes)

    def blocks(self, address):
        """Tell whether an address is cut off.

        Parameters
        ----------
        address : str

        Returns
        -------
        bool
        """
        return bool(self.prefixes) and address.startswith(self.prefixes)


PARTITION = Partition()
