"""Draws a report, where matplotlib is installed."""

#: Inches; two charts above each other, readable on a page.
SIZE = (10, 7)

REQUESTS = ("on_time", "late", "refused", "failed")
ENGINES = ("serving", "loading", "outdated", "empty", "silent")


class NoPlots(Exception):
    """A report can't be drawn; the text says why."""


def plot_report(report, file):
    """Draw requests and engines over time.

    Parameters
    ----------
    report : Report
    file : Path
        Ends in ``.png`` or ``.svg``.

    Raises
    ------
    NoPlots
        The file has another ending, or matplotlib is not installed.
    """
    if file.suffix not in (".png", ".svg"):
        raise NoPlots(f"{file}: expected a file that ends in .png or .svg")
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise NoPlots(
            "matplotlib is needed: pip install hawthornspoke[plot]"
        ) from error
    figure = Figure(figsize=SIZE, layout="constrained")
    upper, lower = figure.subplots(2, sharex=True)
    _stack(upper, report.requests_by_second, REQUESTS, "requests a second")
    _stack(lower, report.engines_by_second, ENGINES, "engines")
    for spread in report.spreads:
        moment = spread.declared_at - report.started_at
        for chart in (upper, lower):
            chart.axvline(moment, color="black", linewidth=0.5)
    lower.set_xlabel("seconds")
    figure.savefig(file)


def _stack(chart, counts_by_second, names, label):
    seconds = sorted(counts_by_second)
    heights = [
        [
            sum(getattr(counts, name) for counts in counts_by_second[second].values())
            for second in seconds
        ]
        for name in names
    ]
    if seconds:
        chart.stackplot(
            seconds, heights, labels=[item.replace("_", " ") for item in names]
        )
        chart.legend(loc="upper left", fontsize="small")
    chart.set_ylabel(label)
