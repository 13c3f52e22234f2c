"""The claim of one request on its idempotency key."""

from dataclasses import dataclass
from enum import Enum

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine

#: The platform can't be asked; the request was not run.
PLATFORM_DOWN = Failure(code="platform_down")

#: The key is claimed and its outcome is not known yet, or never will be.
CLAIMED_ELSEWHERE = Failure(code="outcome_unknown")

#: The key was used before with another request.
KEY_REUSED = Failure(code="key_reused")

#: Seconds after which asking for the outcome of a running request makes sense.
ASK_AGAIN = 1.0

#: Times that one claim is written and read back before giving up.
MAX_ROUNDS = 3


class RowState(str, Enum):
    """State of a claim's row in the table."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


@dataclass(slots=True, kw_only=True, frozen=True)
class Begin:
    """The request has come to the point of claiming its key."""


@dataclass(slots=True, kw_only=True, frozen=True)
class WriteDone:
    """The write of the claim came back.

    Parameters
    ----------
    outcome : str
        ``"written"``, ``"conflict"``, ``"unavailable"`` or ``"unsure"``.
    """

    outcome: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadDone:
    """The row was read.

    Parameters
    ----------
    outcome : str
        ``"row"``, ``"missing"`` or ``"unavailable"``.
    row : dict or None
    """

    outcome: str
    row: object = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Answered:
    """The request ran and was answered whole."""

    status: int
    headers: dict
    body: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class NotRun:
    """It is proved that the request was not run."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Unknown:
    """The request may have run."""


@dataclass(slots=True, kw_only=True, frozen=True)
class WriteClaim:
    """Write the row as claimed by this token.

    Parameters
    ----------
    over_token : str
        Empty to insert where no row is; else the token of a row in state
        ``not_run`` that is taken over.
    """

    over_token: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadClaim:
    """Read the row."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RunNow:
    """The key is this request's alone: send it."""


@dataclass(slots=True, kw_only=True, frozen=True)
class GiveStored:
    """Answer with what the key's request was answered before."""

    row: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class RefuseNow:
    """Answer with a failure.

    Parameters
    ----------
    failure : Failure
    was_run : bool
        False if it is proved that this arrival was not run.
    """

    failure: object
    was_run: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreAnswer:
    """Write the row as done, with the answer."""

    status: int
    headers: dict
    body: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class ReleaseClaim:
    """Write the row as not run, if this token holds it; repeat until known."""


@MACHINES.register("claim")
class Claim(Machine):
    """At most one run per key, with a table that may lose answers.

    Parameters
    ----------
    token : str
        Unique to this arrival of the request; tells its own row from others'.
    fingerprint : str
        Digest of the request, so that a key is not answered with the answer to
        another request.

    Notes
    -----
    A claim has no lease that runs out into another run: an entry host that is
    frozen between claim and send may wake at any time and send. A key whose
    holder died stays claimed, and later arrivals are truthfully told that its
    outcome is unknown. Only a row in state ``not_run``, written with proof, can
    be claimed again.
    """

    __slots__ = ("token", "fingerprint", "phase", "rounds", "_over_token")
    PARAMS = {"token": Bounds(kind=str), "fingerprint": Bounds(kind=str)}

    def __init__(self, *, token="token", fingerprint=""):
        self.token = token
        self.fingerprint = fingerprint
        self.phase = "new"
        self.rounds = 0
        self._over_token = ""

    def on_begin(self, message, *, now):
        """Ask for the key."""
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
            return self._run()
        if message.outcome in ("conflict", "unsure"):
            # After a lost answer the row may be there by our own hand: only
            # reading it back tells. A conflict may be our own earlier write too.
            self.phase = "reading"
            return [ReadClaim()]
        return self._refuse_not_run("the table can't be reached")

    def on_read_done(self, message, *, now):
        """Act on the row as it is.

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
        return self._judge(message.row)

    def on_answered(self, message, *, now):
        """Keep the answer for later arrivals."""
        self.phase = "done"
        return [
            StoreAnswer(
                status=message.status, headers=message.headers, body=message.body
            )
        ]

    def on_not_run(self, message, *, now):
        """Give the key back, since nothing was run."""
        self.phase = "not_run"
        return [ReleaseClaim()]

    def on_unknown(self, message, *, now):
        """Leave the row claimed for ever: nobody may run it again."""
        self.phase = "unknown"
        return []

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"token": self.token, "phase": self.phase, "rounds": self.rounds}

    def _write(self, over_token):
        if self.rounds >= MAX_ROUNDS:
            return self._refuse_not_run("the table gives no clear answer")
        self.rounds += 1
        self.phase = "writing"
        self._over_token = over_token
        return [WriteClaim(over_token=over_token)]

    def _judge(self, row):
        if row["token"] == self.token and row["state"] == RowState.CLAIMED.value:
            return self._run()
        if row.get("fingerprint", "") != self.fingerprint:
            self.phase = "refused"
            failure = KEY_REUSED.because("the key was used for another request")
            return [RefuseNow(failure=failure, was_run=False)]
        if row["state"] == RowState.DONE.value:
            self.phase = "done"
            return [GiveStored(row=row)]
        if row["state"] == RowState.NOT_RUN.value:
            return self._write(row["token"])
        self.phase = "refused"
        reason = "a request with this key was sent and its outcome is not known"
        failure = CLAIMED_ELSEWHERE.because(reason, retry_after=ASK_AGAIN)
        return [RefuseNow(failure=failure, was_run=True)]

    def _run(self):
        self.phase = "running"
        return [RunNow()]

    def _refuse_not_run(self, reason):
        """Refuse, and release: the write may yet turn out to have been made."""
        self.phase = "not_run"
        failure = PLATFORM_DOWN.because(reason, retry_after=ASK_AGAIN)
        refusal = RefuseNow(failure=failure, was_run=False)
        return [refusal, ReleaseClaim()]
