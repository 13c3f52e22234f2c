"""Executes the claim state machine against the table of the platform."""

import base64
import json
import uuid
from collections import deque

import pykka
from loguru import logger

from hawthornspoke import fields
from hawthornspoke.base import digest_of, is_failure, monotonic
from hawthornspoke.claims import (
    BeginClaim,
    Claim,
    ReadClaim,
    ReadDone,
    RefuseRequest,
    ReleaseClaim,
    ReturnStoredAnswer,
    RowState,
    RunRequest,
    WriteClaim,
    WriteDone,
)
from hawthornspoke.store import (
    CONFLICT,
    NOT_FOUND,
    UNAVAILABLE,
    WRITE_UNCONFIRMED,
    Condition,
)

#: Largest response body in bytes that is stored in the row; larger ones are stored
#: in the object store.
MAX_INLINE_BYTES = 128 * 1024

CLAIM_TIMEOUT = 2.0
FIRST_WRITE_TIMEOUT = 0.5
ANSWERS_PREFIX = "answers/"

#: Maximum number of writes queued while the platform is unavailable. Further ones are
#: dropped, which may leave their keys claimed permanently.
MAX_PENDING = 10_000
RETRY_INTERVAL = 0.5


class ClaimRunner:
    """Claims idempotency keys, and stores and returns responses.

    Parameters
    ----------
    clients : PlatformClients
    write_retrier : pykka.ActorRef
        Retries writes until their outcome is known.
    """

    __slots__ = ("clients", "write_retrier")

    def __init__(self, *, clients, write_retrier):
        self.clients = clients
        self.write_retrier = write_retrier

    def begin(self, *, organisation, key, fingerprint, deadline):
        """Claim an idempotency key.

        Parameters
        ----------
        organisation, key, fingerprint : str
        deadline : float

        Returns
        -------
        tuple of (Claim, RunRequest or ReturnStoredAnswer or RefuseRequest)
        """
        claim = Claim(token=uuid.uuid4().hex, fingerprint=fingerprint)
        row_key = claim_key(organisation, key)
        outcomes = deque(claim.step(BeginClaim(), now=monotonic()))
        decision = None
        while outcomes:
            outcome = outcomes.popleft()
            if isinstance(outcome, (RunRequest, ReturnStoredAnswer, RefuseRequest)):
                decision = outcome
            elif isinstance(outcome, ReleaseClaim):
                self._write_or_defer(self._release_write(claim, row_key))
            else:
                message = self._execute(outcome, claim, row_key, deadline)
                outcomes.extend(claim.step(message, now=monotonic()))
        return claim, decision

    def finish(self, claim, message, *, organisation, key):
        """Store the outcome of a claimed request.

        Parameters
        ----------
        claim : Claim
        message : RequestAnswered, NotRun or OutcomeUnknown
        organisation, key : str
        """
        row_key = claim_key(organisation, key)
        for outcome in claim.step(message, now=monotonic()):
            if isinstance(outcome, ReleaseClaim):
                self._write_or_defer(self._release_write(claim, row_key))
            else:
                self._write_or_defer(self._response_write(claim, row_key, outcome))

    def _write_or_defer(self, pending):
        """Write before the caller is answered, or defer the write to the retrier.

        After a successful write, a caller that repeats its request at once gets the
        stored response.
        """
        if not pending.write(self.clients, timeout=FIRST_WRITE_TIMEOUT):
            self.write_retrier.tell(pending)

    def read_stored_response(self, row):
        """Read a stored response.

        Parameters
        ----------
        row : dict

        Returns
        -------
        tuple of (int, dict, bytes) or Failure
        """
        body = self._read_stored_body(row)
        if is_failure(body):
            return body
        try:
            status = fields.whole_number(row, "status", low=100, high=999)
            headers = fields.parse_object(row.get("headers", ""))
        except fields.FieldError as error:
            return UNAVAILABLE.with_reason(f"unusable stored response: {error}")
        if not all(map(fields.is_text, headers.values())):
            return UNAVAILABLE.with_reason("unusable stored response: headers")
        return status, headers, body

    def _read_stored_body(self, row):
        """Return the body of a stored response, or a Failure unless it is whole."""
        name = row.get("body_object")
        if name:
            body = self.clients.objects.get(name)
            if not is_failure(body) and name != ANSWERS_PREFIX + digest_of(body):
                return UNAVAILABLE.with_reason(f"{name}: the body has another digest")
            return body
        text = row.get("body")
        body = fields.bytes_of_base64(text)
        if text != "" and body == fields.UNREADABLE_BYTES:
            return UNAVAILABLE.with_reason("unusable stored response: body")
        return body

    def _execute(self, outcome, claim, row_key, deadline):
        timeout = max(0.01, min(CLAIM_TIMEOUT, deadline - monotonic()))
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
        if outcome.replaced_token:
            equals = {"token": outcome.replaced_token, "state": RowState.NOT_RUN.value}
            condition = Condition(equals=equals)
        row = _claim_row(claim, row_key, RowState.CLAIMED)
        answer = self.clients.table.put(row, condition=condition, timeout=timeout)
        return WriteDone(outcome=_write_outcome(answer))

    def _release_write(self, claim, row_key):
        # The row is also written if none exists. If this claim's own insert arrives
        # only afterwards, it then finds a row and is rejected, instead of leaving the
        # key claimed permanently.
        condition = Condition(absent=True, equals={"token": claim.token})
        return PendingWrite(
            row=_claim_row(claim, row_key, RowState.NOT_RUN), condition=condition
        )

    def _response_write(self, claim, row_key, outcome):
        row = _claim_row(claim, row_key, RowState.DONE)
        row["status"] = outcome.status
        row["headers"] = json.dumps(outcome.headers)
        body = None
        if len(outcome.body) <= MAX_INLINE_BYTES:
            row["body"] = base64.b64encode(outcome.body).decode()
        else:
            body = outcome.body
            row["body_object"] = ANSWERS_PREFIX + digest_of(body)
        condition = Condition(equals={"token": claim.token})
        return PendingWrite(row=row, condition=condition, body=body)


class PendingWrite:
    """A conditional write that is retried until its outcome is known.

    Parameters
    ----------
    row : dict
    condition : Condition
    body : bytes or None, default=None
        Object to write before the row that refers to it.
    """

    __slots__ = ("row", "condition", "body")

    def __init__(self, *, row, condition, body=None):
        self.row = row
        self.condition = condition
        self.body = body

    def write(self, clients, *, timeout=None):
        """Write the object, if any, and then the row.

        Parameters
        ----------
        clients : PlatformClients
        timeout : float or None, default=None

        Returns
        -------
        bool
            True if the outcome is known: the row was written, or a row with another
            token exists.
        """
        if self.body is not None:
            key = self.row["body_object"]
            stored = clients.objects.put(key, self.body, timeout=timeout)
            if is_failure(stored):
                return False
        answer = clients.table.put(self.row, condition=self.condition, timeout=timeout)
        return not is_failure(answer) or answer == CONFLICT


class ClaimWriteRetrier(pykka.ThreadingActor):
    """Retries writes of claims while the platform is unavailable.

    Parameters
    ----------
    clients : PlatformClients
    metrics : Metrics

    Notes
    -----
    Each write is idempotent: it contains the whole row and only replaces a row with
    the same token. If this process ends before a write succeeds, the key stays
    claimed, and later requests with this key correctly get an unknown outcome.
    """

    use_daemon_thread = True

    def __init__(self, *, clients, metrics):
        super().__init__()
        self.clients = clients
        self.metrics = metrics

    def on_receive(self, message):
        """Try one write; enqueue it again if the platform is unavailable."""
        if message.write(self.clients):
            return
        if self.actor_inbox.qsize() > MAX_PENDING:
            logger.warning("dropping the outcome of a claim: too many pending writes")
            self.metrics.count("claim_writes_dropped_total")
            return
        self.metrics.count("claim_writes_repeated_total")
        self.actor_stopped.wait(RETRY_INTERVAL)
        if not self.actor_stopped.is_set():
            self.actor_ref.tell(message)

    def pending(self):
        """Return the number of queued writes."""
        return self.actor_inbox.qsize()


def claim_key(organisation, key):
    """Return the primary key of the row of an idempotency key.

    Parameters
    ----------
    organisation, key : str

    Returns
    -------
    str
    """
    return f"claim#{organisation}#{digest_of(key.encode())}"


def _claim_row(claim, row_key, state):
    return {
        "pk": row_key,
        "token": claim.token,
        "fingerprint": claim.fingerprint,
        "state": state.value,
    }


def _write_outcome(answer):
    if not is_failure(answer):
        return "written"
    if answer == CONFLICT:
        return "conflict"
    return "unsure" if answer == WRITE_UNCONFIRMED else "unavailable"
