"""Counters, gauges, and durations recorded in HdrHistograms."""

import threading

from hdrh.histogram import HdrHistogram

#: Range of the histograms; durations outside of it are clamped. The maximum is an hour.
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Named counters, gauges and duration histograms, exported as Prometheus text.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("requests_total", outcome="done")
    >>> metrics.counter_value("requests_total", outcome="done")
    1
    """

    __slots__ = ("_counters", "_gauges", "_histograms", "_lock")

    def __init__(self):
        self._counters = {}
        self._gauges = {}
        self._histograms = {}
        self._lock = threading.Lock()

    def count(self, name, amount=1, **labels):
        """Add to a counter.

        Parameters
        ----------
        name : str
        amount : int, default=1
        **labels : str
        """
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def set_gauge(self, name, value, **labels):
        """Set a gauge.

        Parameters
        ----------
        name : str
        value : int or float
        **labels : str
        """
        with self._lock:
            self._gauges[name, tuple(sorted(labels.items()))] = value

    def counter_value(self, name, **labels):
        """Return the value of a counter, 0 if it was never incremented.

        Parameters
        ----------
        name : str
        **labels : str

        Returns
        -------
        int
        """
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def observe(self, name, seconds, **labels):
        """Record a duration.

        Parameters
        ----------
        name : str
            Name of the histogram, ends in ``_seconds``.
        seconds : float
        **labels : str
        """
        key = (name, tuple(sorted(labels.items())))
        microseconds = int(seconds * 1_000_000)
        clamped = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        with self._lock:
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = self._histograms[key] = HdrHistogram(
                    LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
                )
            histogram.record_value(clamped)

    def quantile(self, name, percent, **labels):
        """Return a percentile of the recorded durations.

        Parameters
        ----------
        name : str
        percent : float
            Between 0 and 100.
        **labels : str

        Returns
        -------
        float
            Seconds, 0.0 if nothing was recorded.
        """
        histogram = self._histograms.get((name, tuple(sorted(labels.items()))))
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percent) / 1_000_000

    def render(self):
        """Return all values in the Prometheus text format.

        Returns
        -------
        str
        """
        lines = []
        with self._lock:
            values = self._counters | self._gauges
            for (name, labels), value in sorted(values.items()):
                lines.append(f"hawthornspoke_{name}{_render_labels(labels)} {value}")
            for (name, labels), histogram in sorted(self._histograms.items()):
                lines += _render_summary(name, labels, histogram)
        return "\n".join(lines) + "\n"

    def dump(self):
        """Return the counters and gauges as plain data.

        Returns
        -------
        dict
        """
        with self._lock:
            return {
                name + _render_labels(labels): value
                for (name, labels), value in sorted(
                    (self._counters | self._gauges).items()
                )
            }


def _render_summary(name, labels, histogram):
    lines = []
    for percent in QUANTILES:
        quantile = (("quantile", f"{percent / 100:g}"),)
        value = histogram.get_value_at_percentile(percent) / 1_000_000
        lines.append(
            f"hawthornspoke_{name}{_render_labels(labels + quantile)} {value:.6f}"
        )
    count = histogram.get_total_count()
    lines.append(f"hawthornspoke_{name}_count{_render_labels(labels)} {count}")
    return lines


def _render_labels(labels):
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{value}"' for name, value in labels)
    return "{" + pairs + "}"
