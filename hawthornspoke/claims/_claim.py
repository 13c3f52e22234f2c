"""State machine by which a request claims its idempotency key.

The claim is a row in the platform's table; the request that writes it may run.
"""

from dataclasses import dataclass
from enum import Enum

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine

#: The platform is unavailable; the request was not run.
PLATFORM_DOWN = Failure(code="platform_down")

#: An earlier request claimed the key; its outcome is unknown, possibly for good.
OUTCOME_UNKNOWN = Failure(code="outcome_unknown")

#: The key has been used for a different request.
KEY_REUSED = Failure(code="key_reused")

#: Seconds after which a refused caller may send its request again.
RETRY_AFTER = 1.0

#: Maximum number of times that a claim is written before giving up.
MAX_WRITES = 3


class RowState(str, Enum):
    """State of a claim's row in the table."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


@dataclass(slots=True, kw_only=True, frozen=True)
class BeginClaim:
    """Start claiming the key of the request."""


@dataclass(slots=True, kw_only=True, frozen=True)
class WriteDone:
    """The write of the claim has returned.

    Parameters
    ----------
    outcome : str
        ``"written"``, ``"conflict"`` (the row did not meet the write's condition),
        ``"unavailable"`` (not written) or ``"unsure"`` (sent, but not acknowledged).
    """

    outcome: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadDone:
    """The read of the row has returned.

    Parameters
    ----------
    outcome : str
        ``"row"``, ``"missing"`` or ``"unavailable"``.
    row : dict or None
    """

    outcome: str
    row: object = None


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestAnswered:
    """The request was run and its answer is complete."""

    status: int
    headers: dict
    body: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class NotRun:
    """The request was certainly not run."""


@dataclass(slots=True, kw_only=True, frozen=True)
class OutcomeUnknown:
    """The request may have run, but has no complete answer."""


@dataclass(slots=True, kw_only=True, frozen=True)
class WriteClaim:
    """Write the row in state ``claimed`` with the token of this claim.

    Parameters
    ----------
    replaced_token : str
        Token of the row in state ``not_run`` to replace; empty to insert a row if
        none exists.
    """

    replaced_token: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadClaim:
    """Read the row of the key."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RunRequest:
    """The request holds the key and may be sent."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ReturnStoredAnswer:
    """Answer with the stored answer of the earlier request with this key."""

    row: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class RefuseRequest:
    """Answer with a failure.

    Parameters
    ----------
    failure : Failure
    was_run : bool
        False if this request was certainly not run.
    """

    failure: object
    was_run: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreAnswer:
    """Write the row in state ``done``, with the answer."""

    status: int
    headers: dict
    body: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class ReleaseClaim:
    """Write the row in state ``not_run``, so that the key can be claimed again.

    A row with the token of another claim is left as it is. The write is retried until
    its outcome is known.
    """


@MACHINES.register("claim")
class Claim(Machine):
    """Ensures that at most one request per key runs, even if table replies are lost.

    Parameters
    ----------
    token : str
        Unique to this claim; distinguishes its row from that of another claim.
    fingerprint : str
        Digest of the request, so that a reused key does not return the answer to a
        different request.

    Notes
    -----
    A claim has no lease whose expiry permits a second run, because an entry host that
    is suspended between claim and send may resume and send at any time. If the holder
    of a key dies, the key stays claimed, and later requests correctly get an unknown
    outcome. Only a row in state ``not_run``, which is written only if the request was
    certainly not run, can be claimed again.
    """

    __slots__ = ("token", "fingerprint", "phase", "rounds", "_replaced_token")
    PARAMS = {"token": Bounds(kind=str), "fingerprint": Bounds(kind=str)}

    def __init__(self, *, token="token", fingerprint=""):
        self.token = token
        self.fingerprint = fingerprint
        self.phase = "new"
        self.rounds = 0
        self._replaced_token = ""

    def on_begin_claim(self, message, *, now):
        """Write the claim."""
        return self._write("")

    def on_write_done(self, message, *, now):
        """Act on the outcome of a write.

        Parameters
        ----------
        message : WriteDone
        now : float

        Returns
        -------
        list
        """
        if self.phase != "writing":
            return []
        if message.outcome == "written":
            return self._claim_succeeded()
        if message.outcome in ("conflict", "unsure"):
            # If the reply was lost, the row may have been written by this claim, and
            # a conflict may be caused by its own earlier write. Only reading the row
            # back shows which.
            self.phase = "reading"
            return [ReadClaim()]
        return self._refuse_not_run("the table can't be reached")

    def on_read_done(self, message, *, now):
        """Act on the state of the row.

        Parameters
        ----------
        message : ReadDone
        now : float

        Returns
        -------
        list
        """
        if self.phase != "reading":
            return []
        if message.outcome == "unavailable":
            return self._refuse_not_run("the table can't be read back")
        if message.outcome == "missing":
            return self._write("")
        return self._evaluate_row(message.row)

    def on_request_answered(self, message, *, now):
        """Store the answer for later requests with this key."""
        self.phase = "done"
        return [
            StoreAnswer(
                status=message.status, headers=message.headers, body=message.body
            )
        ]

    def on_not_run(self, message, *, now):
        """Release the key, since the request was not run."""
        self.phase = "not_run"
        return [ReleaseClaim()]

    def on_outcome_unknown(self, message, *, now):
        """Leave the row claimed permanently, so that the request is not run again."""
        self.phase = "unknown"
        return []

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"token": self.token, "phase": self.phase, "rounds": self.rounds}

    def _write(self, replaced_token):
        if self.rounds >= MAX_WRITES:
            return self._refuse_not_run("the table gives no clear answer")
        self.rounds += 1
        self.phase = "writing"
        self._replaced_token = replaced_token
        return [WriteClaim(replaced_token=replaced_token)]

    def _evaluate_row(self, row):
        if row["token"] == self.token and row["state"] == RowState.CLAIMED.value:
            return self._claim_succeeded()
        if row.get("fingerprint", "") != self.fingerprint:
            self.phase = "refused"
            failure = KEY_REUSED.with_reason("the key was used for another request")
            return [RefuseRequest(failure=failure, was_run=False)]
        if row["state"] == RowState.DONE.value:
            self.phase = "done"
            return [ReturnStoredAnswer(row=row)]
        if row["state"] == RowState.NOT_RUN.value:
            return self._write(row["token"])
        self.phase = "refused"
        reason = "a request with this key was sent and its outcome is not known"
        failure = OUTCOME_UNKNOWN.with_reason(reason, retry_after=RETRY_AFTER)
        return [RefuseRequest(failure=failure, was_run=True)]

    def _claim_succeeded(self):
        self.phase = "running"
        return [RunRequest()]

    def _refuse_not_run(self, reason):
        """Refuse the request; release the key, as a write may have claimed it."""
        self.phase = "not_run"
        failure = PLATFORM_DOWN.with_reason(reason, retry_after=RETRY_AFTER)
        refusal = RefuseRequest(failure=failure, was_run=False)
        return [refusal, ReleaseClaim()]
