"""Reports on a fleet's activity over time, from the collected logs of all hosts."""

from hawthornspoke.report._build import MissingBoundError, build_report
from hawthornspoke.report._plot import PlotError, plot_report
from hawthornspoke.report._text import as_json, as_text
from hawthornspoke.report._types import (
    EngineCounts,
    Report,
    RequestCounts,
    VersionRollout,
)

__all__ = [
    "EngineCounts",
    "MissingBoundError",
    "PlotError",
    "Report",
    "RequestCounts",
    "VersionRollout",
    "as_json",
    "as_text",
    "build_report",
    "plot_report",
]
