"""Runs claim machines against the platform's table."""

import base64
import json
import uuid
from collections import deque

import pykka
from loguru import logger

from hawthornspoke.base import digest_of, is_failure, monotonic
from hawthornspoke.claims import (
    Begin,
    Claim,
    GiveStored,
    ReadClaim,
    ReadDone,
    RefuseNow,
    ReleaseClaim,
    RowState,
    RunNow,
    WriteClaim,
    WriteDone,
)
from hawthornspoke.store import CONFLICT, NOT_FOUND, UNSURE, Condition

#: Bytes of an answer kept in the row itself; larger ones go to the object store.
INLINE_BYTES = 128 * 1024

CLAIM_SECONDS = 2.0
SETTLE_SECONDS = 0.5
ANSWERS_PREFIX = "answers/"

#: Writes that wait for the platform to come back, at most.
MAX_PENDING = 10_000
RETRY_SECONDS = 0.5


class ClaimRunner:
    """Claims keys, and keeps and gives back answers.

    Parameters
    ----------
    clients : PlatformClients
    janitor : pykka.ActorRef
        Takes the writes that have to be repeated until they are known.
    """

    __slots__ = ("clients", "janitor")

    def __init__(self, *, clients, janitor):
        self.clients = clients
        self.janitor = janitor

    def begin(self, *, organisation, key, fingerprint, deadline):
        """Claim a key.

        Parameters
        ----------
        organisation, key, fingerprint : str
        deadline : float

        Returns
        -------
        tuple of (Claim, RunNow or GiveStored or RefuseNow)
        """
        claim = Claim(token=uuid.uuid4().hex, fingerprint=fingerprint)
        row_key = claim_key(organisation, key)
        outcomes = deque(claim.step(Begin(), now=monotonic()))
        verdict = None
        while outcomes:
            outcome = outcomes.popleft()
            if isinstance(outcome, (RunNow, GiveStored, RefuseNow)):
                verdict = outcome
            elif isinstance(outcome, ReleaseClaim):
                self._settle(self._release_row(claim, row_key))
            else:
                message = self._perform(outcome, claim, row_key, deadline)
                outcomes.extend(claim.step(message, now=monotonic()))
        return claim, verdict

    def finish(self, claim, message, *, organisation, key):
        """Write what became of a claimed request.

        Parameters
        ----------
        claim : Claim
        message : Answered, NotRun or Unknown
        organisation, key : str
        """
        row_key = claim_key(organisation, key)
        for outcome in claim.step(message, now=monotonic()):
            if isinstance(outcome, ReleaseClaim):
                self._settle(self._release_row(claim, row_key))
            else:
                self._settle(self._answer_row(claim, row_key, outcome))

    def _settle(self, pending):
        """Write once before the caller is answered, else leave it to the janitor.

        A caller that asks again right after its answer then finds it stored.
        """
        if not pending.write(self.clients, timeout=SETTLE_SECONDS):
            self.janitor.tell(pending)

    def read_stored(self, row):
        """Return a stored answer.

        Parameters
        ----------
        row : dict

        Returns
        -------
        tuple of (int, dict, bytes) or Failure
        """
        if row.get("body_object"):
            body = self.clients.objects.get(row["body_object"])
            if is_failure(body):
                return body
        else:
            body = base64.b64decode(row.get("body", ""))
        return row["status"], json.loads(row["headers"]), body

    def _perform(self, outcome, claim, row_key, deadline):
        timeout = max(0.01, min(CLAIM_SECONDS, deadline - monotonic()))
        if isinstance(outcome, WriteClaim):
            return self._write(outcome, claim, row_key, timeout)
        assert isinstance(outcome, ReadClaim)
        row = self.clients.table.get(row_key, timeout=timeout)
        if row == NOT_FOUND:
            return ReadDone(outcome="missing")
        if is_failure(row):
            return ReadDone(outcome="unavailable")
        return ReadDone(outcome="row", row=row)

    def _write(self, outcome, claim, row_key, timeout):
        condition = Condition(absent=True)
        if outcome.over_token:
            equals = {"token": outcome.over_token, "state": RowState.NOT_RUN.value}
            condition = Condition(equals=equals)
        row = _row(claim, row_key, RowState.CLAIMED)
        answer = self.clients.table.put(row, condition=condition, timeout=timeout)
        return WriteDone(outcome=_word(answer))

    def _release_row(self, claim, row_key):
        # Written also where no row is: a lost insert that arrives late then
        # meets this row and fails, in place of blocking the key for ever.
        condition = Condition(absent=True, equals={"token": claim.token})
        return PendingWrite(
            row=_row(claim, row_key, RowState.NOT_RUN), condition=condition
        )

    def _answer_row(self, claim, row_key, outcome):
        row = _row(claim, row_key, RowState.DONE)
        row["status"] = outcome.status
        row["headers"] = json.dumps(outcome.headers)
        body = None
        if len(outcome.body) <= INLINE_BYTES:
            row["body"] = base64.b64encode(outcome.body).decode()
        else:
            body = outcome.body
            row["body_object"] = ANSWERS_PREFIX + digest_of(body)
        condition = Condition(equals={"token": claim.token})
        return PendingWrite(row=row, condition=condition, body=body)


class PendingWrite:
    """A write that is repeated until its outcome is known.

    Parameters
    ----------
    row : dict
    condition : Condition
    body : bytes or None, default=None
        Object to write before the row that names it.
    """

    __slots__ = ("row", "condition", "body")

    def __init__(self, *, row, condition, body=None):
        self.row = row
        self.condition = condition
        self.body = body

    def write(self, clients, *, timeout=None):
        """Write object and row.

        Parameters
        ----------
        clients : PlatformClients
        timeout : float or None, default=None

        Returns
        -------
        bool
            Whether the outcome is known: written, or held by another token.
        """
        if self.body is not None:
            key = self.row["body_object"]
            stored = clients.objects.put(key, self.body, timeout=timeout)
            if is_failure(stored):
                return False
        answer = clients.table.put(self.row, condition=self.condition, timeout=timeout)
        return not is_failure(answer) or answer == CONFLICT


class ClaimJanitor(pykka.ThreadingActor):
    """Repeats writes while the platform is down.

    Parameters
    ----------
    clients : PlatformClients
    metrics : Metrics

    Notes
    -----
    Each write is idempotent: it holds the whole row and is made only over a row
    of the same token. If this process ends first, the key stays claimed, and
    later arrivals are told that its outcome is unknown, which is true.
    """

    use_daemon_thread = True

    def __init__(self, *, clients, metrics):
        super().__init__()
        self.clients = clients
        self.metrics = metrics

    def on_receive(self, message):
        """Try one write; put it back if the platform can't be asked."""
        if message.write(self.clients):
            return
        if self.actor_inbox.qsize() > MAX_PENDING:
            logger.warning("a claim's outcome is dropped: too many wait")
            self.metrics.count("claim_writes_dropped_total")
            return
        self.metrics.count("claim_writes_repeated_total")
        self.actor_stopped.wait(RETRY_SECONDS)
        if not self.actor_stopped.is_set():
            self.actor_ref.tell(message)

    def pending(self):
        """Return how many writes wait."""
        return self.actor_inbox.qsize()


def claim_key(organisation, key):
    """Return the table key of an organisation's idempotency key.

    Parameters
    ----------
    organisation, key : str

    Returns
    -------
    str
    """
    return f"claim#{organisation}#{digest_of(key.encode())}"


def _row(claim, row_key, state):
    return {
        "pk": row_key,
        "token": claim.token,
        "fingerprint": claim.fingerprint,
        "state": state.value,
    }


def _word(answer):
    if not is_failure(answer):
        return "written"
    if answer == CONFLICT:
        return "conflict"
    return "unsure" if answer == UNSURE else "unavailable"
