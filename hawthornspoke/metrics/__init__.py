"""Counters and latency histograms of one process."""

from hawthornspoke.metrics._metrics import Metrics

__all__ = ["Metrics"]
