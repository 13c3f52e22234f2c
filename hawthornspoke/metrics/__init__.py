"""Counters, histograms and gauges of one process."""

from hawthornspoke.metrics._metrics import Metrics

__all__ = ["Metrics"]
