"""Reads what endpoints say of themselves in response heads."""

from hawthornspoke.base import is_failure, monotonic
from hawthornspoke.relay._response_fields import (
    MAX_VALUE_LENGTH,
    ResponseFieldMonitor,
)
from hawthornspoke.signals import INVALID_SIGNAL, SIGNALS, SignalsObserved

#: Maximum number of endpoints and signals for which an invalid value is remembered, so
#: that it is logged only once.
MAX_REMEMBERED_INVALID = 500


class SignalReader:
    """Decodes all signals in each response head and passes them to the fleet.

    Parameters
    ----------
    fleet : Fleet
    header_names : HeaderNames
    on_changed : callable
        Called with each SignalChanged.
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "_fleet",
        "_endpoint_id_field",
        "_name_by_field",
        "_monitor",
        "_on_changed",
        "_remembered_invalid",
        "_log",
        "_metrics",
    )

    def __init__(self, *, fleet, header_names, on_changed, log, metrics):
        self._fleet = fleet
        self._endpoint_id_field = header_names.endpoint_id
        self._name_by_field = {
            field.lower(): name for name, field in header_names.signals.items()
        }
        self._monitor = ResponseFieldMonitor(
            header_names=header_names, log=log, metrics=metrics
        )
        self._on_changed = on_changed
        self._remembered_invalid = set()
        self._log = log
        self._metrics = metrics

    def observe(self, attempt):
        """Read the response head of an attempt.

        Parameters
        ----------
        attempt : Attempt
        """
        head, placement = attempt.head, attempt.placement
        self._monitor.observe(attempt)
        responder = head.get(self._endpoint_id_field, placement.endpoint_id)
        if responder != placement.endpoint_id:
            # Another endpoint has the address now, and speaks of itself.
            return
        message = SignalsObserved(
            endpoint_id=placement.endpoint_id,
            value_by_signal=self._decode(head, placement.endpoint_id),
            is_success=head.status < 300,
            sent_at=attempt.sent_at,
            incarnation=placement.incarnation,
        )
        for changed in self._fleet.step(message, now=monotonic()):
            log_signal_change(self._log, changed, source="response")
            self._on_changed(changed)

    def _decode(self, head, endpoint_id):
        """Return the values of the signals in a response, by name."""
        value_by_signal = {}
        for name, texts in self._texts_by_signal(head).items():
            value = INVALID_SIGNAL
            if len(texts) == 1:
                value = SIGNALS.get(name).decode(*texts, status=head.status)
            if value is None:
                continue
            value_by_signal[name] = value
            is_invalid = is_failure(value)
            if is_invalid:
                self._log_invalid(endpoint_id, name, texts)
            self._metrics.count(
                "endpoint_signals_total",
                signal=name,
                outcome="invalid" if is_invalid else "valid",
            )
        return value_by_signal

    def _texts_by_signal(self, head):
        """Return the different texts of each field that is present, by signal."""
        texts_by_signal = {}
        for field, text in head.headers:
            name = self._name_by_field.get(field.lower())
            if name is not None:
                texts_by_signal.setdefault(name, set()).add(text.strip())
        return texts_by_signal

    def _log_invalid(self, endpoint_id, name, texts):
        key = (endpoint_id, name)
        if key in self._remembered_invalid:
            return
        if len(self._remembered_invalid) >= MAX_REMEMBERED_INVALID:
            self._remembered_invalid.clear()
        self._remembered_invalid.add(key)
        self._log.change(
            "endpoint_signal_invalid",
            endpoint=endpoint_id,
            signal=name,
            values=sorted(text[:MAX_VALUE_LENGTH] for text in texts),
        )


def log_signal_change(log, changed, *, source):
    """Log that an endpoint said something else than before.

    Parameters
    ----------
    log : EventLog
    changed : SignalChanged
    source : str
        ``"response"``, or ``"entry_host"`` if another one has reported it.
    """
    log.change(
        "endpoint_signal",
        endpoint=changed.endpoint_id,
        signal=changed.signal,
        before=changed.before,
        value=changed.value,
        source=source,
    )


def log_readmission(log, readmitted, *, source):
    """Log that an endpoint that was silent gets requests again.

    Parameters
    ----------
    log : EventLog
    readmitted : EndpointReadmitted
    source : str
        ``"response"`` or ``"report"``.
    """
    log.change(
        "endpoint_readmitted",
        endpoint=readmitted.endpoint_id,
        seconds=round(readmitted.seconds, 3),
        source=source,
    )
