"""Refusals of requests on their arrival."""

from dataclasses import dataclass

from hawthornspoke.httpio import EndCause, EndKind, RequestEnd


@dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """A refusal of a request that has not run.

    Parameters
    ----------
    status : int
    reason : str
    cause : EndCause
    retry_after : float or None, default=None
        Seconds.
    """

    status: int
    reason: str
    cause: EndCause
    retry_after: float | None = None

    @property
    def end(self):
        """The RequestEnd."""
        return RequestEnd((EndKind.REFUSAL, self.cause))
