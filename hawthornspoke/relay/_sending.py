"""Connecting to an endpoint and sending a request there, after one last look."""

from hawthornspoke.base import Failure
from hawthornspoke.relay._try import Try


class Sender:
    """Sends requests.

    Parameters
    ----------
    admission : Admission
    timers : Timers
    chooser : Chooser
    encoder : Encoder
    fleet : Fleet
    pool : ConnectionPool
    dialect : Dialect
    suspects : Suspects
    log : EventLog
    """

    __slots__ = (
        "_admission",
        "_timers",
        "_chooser",
        "_encoder",
        "_fleet",
        "_pool",
        "_dialect",
        "_suspects",
        "_log",
    )

    def __init__(
        self,
        *,
        admission,
        timers,
        chooser,
        encoder,
        fleet,
        pool,
        dialect,
        suspects,
        log,
    ):
        self._admission = admission
        self._timers = timers
        self._chooser = chooser
        self._encoder = encoder
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._suspects = suspects
        self._log = log

    def attempt_at(self, work, place):
        """Return a Try of a request at a place."""
        return Try(
            place=place,
            pool=self._pool,
            fleet=self._fleet,
            dialect=self._dialect,
            timers=self._timers,
            on_broken=lambda attempt: self._note_broken(work, attempt),
            on_ended=lambda attempt: self._suspects.ended(work.fingerprint, attempt),
        )

    async def send(self, work, attempt, *, last_event=None, version=None):
        """Send a request, the first time, once more, or for the rest of a stream.

        Parameters
        ----------
        work : Work
        attempt : Try
        last_event, version : int or None, default=None
            After which event a stream goes on, and of which weights.

        Returns
        -------
        None or Failure
            If not a byte of it has left.
        """
        failure = await attempt.connect()
        if failure is not None:
            return failure
        # Nothing is waited for from here to the write, and all that takes time but
        # decides nothing comes before the last look.
        data = self._encoder.encode(
            work, attempt.place, last_event=last_event, version=version
        )
        ask = self._chooser.ask(work, same_version=version)
        place = self._admission.recheck(work, ask=ask, place=attempt.place)
        if not isinstance(place, Failure):
            attempt.place = place
            failure = attempt.send(
                data, expected_id=work.request_id, prompt_tokens=work.prompt_tokens
            )
        else:
            failure = place
        if failure is not None:
            self._log_not_sent(work, attempt, failure)
            return failure
        self._suspects.sent(work.fingerprint, attempt)
        work.sent += 1
        # From here on the endpoint may run it, also when nothing is heard any more
        # before the request's time is over; only its own word takes that back.
        work.may_have_run = True
        return None

    async def settle(self, work):
        """Wait until it is known what a try that failed means for the request."""
        await self._suspects.settle(work.fingerprint)

    def _note_broken(self, work, attempt):
        self._suspects.broken_off(work.fingerprint, attempt.place, service=work.service)
        self._log.change(
            "broken_off",
            request=work.request_id,
            fingerprint=work.fingerprint,
            service=work.service,
            endpoint=attempt.place.endpoint_id,
            started_ms=attempt.place.incarnation.started_ms,
            began=attempt.head is not None,
            events_passed_on=work.reply.started,
        )

    def _log_not_sent(self, work, attempt, failure):
        self._log.change(
            "not_sent",
            request=work.request_id,
            endpoint=attempt.place.endpoint_id,
            reason=f"{failure.code}: {failure.reason}",
            time_left=round(work.deadline - self._admission.clock(), 3),
            contact_age=self._admission.contact_age(),
        )
