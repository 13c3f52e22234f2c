"""Registries in which decorators register implementations."""


class Registry:
    """Named implementations of one interface.

    Parameters
    ----------
    kind : str
        Kind of the registered items, used in error messages.

    Examples
    --------
    >>> shapes = Registry(kind="shape")
    >>> @shapes.register("square")
    ... class Square: ...
    >>> shapes.names()
    ['square']
    """

    __slots__ = ("kind", "_by_name")

    def __init__(self, *, kind):
        self.kind = kind
        self._by_name = {}

    def register(self, name):
        """Return a decorator that registers a class or function under a name.

        Parameters
        ----------
        name : str
            Name by which the item is selected, for example in settings.

        Returns
        -------
        callable

        Raises
        ------
        ValueError
            If the name is already registered; plugin names have to be unique.
        """

        def decorate(item):
            if name in self._by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._by_name[name] = item
            return item

        return decorate

    def names(self):
        """Return the registered names in sorted order.

        Returns
        -------
        list of str
        """
        return sorted(self._by_name)

    def get(self, name):
        """Return the item registered under a name.

        Parameters
        ----------
        name : str

        Returns
        -------
        object

        Raises
        ------
        KeyError
            If the name is not registered; callers pass names from validated settings.
        """
        return self._by_name[name]

    def __contains__(self, name):
        return name in self._by_name
