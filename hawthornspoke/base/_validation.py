"""Validation of constructor parameters."""


class Bounds:
    """Accepted type and range of one parameter.

    Parameters
    ----------
    kind : type or tuple of type
        Accepted types.
    low, high : number or None, default=None
        Inclusive limits; None leaves that side open.
    choices : collection or None, default=None
        Accepted values, if they can be enumerated.
    optional : bool, default=False
        Whether None is accepted.
    """

    __slots__ = ("kind", "low", "high", "choices", "optional")

    def __init__(self, *, kind, low=None, high=None, choices=None, optional=False):
        self.kind = kind
        self.low = low
        self.high = high
        self.choices = choices
        self.optional = optional

    def error_message(self, value):
        """Return an error message for a value that is not accepted.

        Parameters
        ----------
        value : object

        Returns
        -------
        str or None
            None if the value is accepted.
        """
        if value is None and self.optional:
            return None
        if not self._has_kind(value):
            return f"expected {self.describe()}, got {value!r}"
        if self.choices is not None and value not in self.choices:
            return f"expected {self.describe()}, got {value!r}"
        if self.low is not None and value < self.low:
            return f"expected {self.describe()}, got {value!r}"
        if self.high is not None and value > self.high:
            return f"expected {self.describe()}, got {value!r}"
        return None

    def describe(self):
        """Return a description of the accepted values.

        Returns
        -------
        str
        """
        if self.choices is not None:
            return "one of " + ", ".join(repr(choice) for choice in self.choices)
        kinds = self.kind if isinstance(self.kind, tuple) else (self.kind,)
        text = " or ".join(kind.__name__ for kind in kinds)
        if self.low is not None:
            text += f" >= {self.low}"
        if self.high is not None:
            text += f" <= {self.high}"
        return text

    def _has_kind(self, value):
        kinds = self.kind if isinstance(self.kind, tuple) else (self.kind,)
        # bool is a subclass of int, so "true" instead of a number would otherwise be
        # accepted as 1.
        if isinstance(value, bool):
            return bool in kinds
        return isinstance(value, kinds)


def check_params(owner, bounds_by_name):
    """Validate the parameters that an object has stored.

    Parameters
    ----------
    owner : object
        An object whose constructor has stored its parameters as attributes.
    bounds_by_name : dict of str to Bounds

    Raises
    ------
    ValueError
        Names the class, the parameter, the accepted values and the given value.
    """
    for name, bounds in bounds_by_name.items():
        error_message = bounds.error_message(getattr(owner, name))
        if error_message:
            raise ValueError(f"{type(owner).__name__}.{name}: {error_message}")
