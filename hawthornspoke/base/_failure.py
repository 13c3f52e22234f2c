"""Errors as values: sentinels with a reason."""


class Failure:
    """A failed outcome, compared by its code.

    Modules define one sentinel per kind of failure and hand out copies that say
    more with :meth:`because`.

    Parameters
    ----------
    code : str
        Stable name of the kind of failure, in snake case.
    reason : str, default=""
        What happened, for a person to read.
    retry_after : float or None, default=None
        Seconds after which trying again makes sense, where that is known.

    Examples
    --------
    >>> MISSING = Failure(code="missing")
    >>> MISSING.because("no row 'config'") == MISSING
    True
    """

    __slots__ = ("code", "reason", "retry_after")

    def __init__(self, *, code, reason="", retry_after=None):
        self.code = code
        self.reason = reason
        self.retry_after = retry_after

    def because(self, reason, *, retry_after=None):
        """Return the same kind of failure with a reason of its own.

        Parameters
        ----------
        reason : str
            What happened this time.
        retry_after : float or None, default=None
            Seconds, if known.

        Returns
        -------
        Failure
        """
        return Failure(code=self.code, reason=reason, retry_after=retry_after)

    def __bool__(self):
        return False

    def __eq__(self, other):
        if not isinstance(other, Failure):
            return NotImplemented
        return self.code == other.code

    def __hash__(self):
        return hash(self.code)

    def __repr__(self):
        return f"<{self.code}: {self.reason}>" if self.reason else f"<{self.code}>"


def is_failure(outcome):
    """Tell a failure from a result.

    Parameters
    ----------
    outcome : object
        What a function returned.

    Returns
    -------
    bool
    """
    return isinstance(outcome, Failure)
