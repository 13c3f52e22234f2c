"""Errors that functions return instead of raising them."""


class Failure:
    """A failed outcome, compared by its code.

    Modules define one constant per kind of failure and return copies of it with a
    specific reason, made by :meth:`with_reason`. A copy equals the constant. A failure
    is false in a boolean context.

    Parameters
    ----------
    code : str
        Stable name of the kind of failure, in snake case.
    reason : str, default=""
        Human-readable description of what happened.
    retry_after : float or None, default=None
        Seconds after which a retry makes sense, if known.

    Examples
    --------
    >>> MISSING = Failure(code="missing")
    >>> MISSING.with_reason("no row 'config'") == MISSING
    True
    """

    __slots__ = ("code", "reason", "retry_after")

    def __init__(self, *, code, reason="", retry_after=None):
        self.code = code
        self.reason = reason
        self.retry_after = retry_after

    def with_reason(self, reason, *, retry_after=None):
        """Return a copy of this failure with a specific reason.

        Parameters
        ----------
        reason : str
            Description of this occurrence.
        retry_after : float or None, default=None
            Seconds after which a retry makes sense, if known.

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
    """Return whether an outcome is a failure rather than a result.

    Parameters
    ----------
    outcome : object
        Return value of a function.

    Returns
    -------
    bool
    """
    return isinstance(outcome, Failure)
