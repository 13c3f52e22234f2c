"""Plots of a report, which need matplotlib."""

#: Width and height in inches, for two stacked charts that fit on a page.
FIGURE_SIZE = (10, 7)

REQUEST_FIELDS = ("on_time", "late", "refused", "failed")
ENGINE_FIELDS = ("serving", "loading", "outdated", "empty", "silent")


class PlotError(Exception):
    """A report can't be plotted."""


def plot_report(report, file):
    """Plot requests and engines over time.

    Parameters
    ----------
    report : Report
    file : Path
        Output file; its name ends in ``.png`` or ``.svg``.

    Raises
    ------
    PlotError
        If the file has another extension, or matplotlib is not installed.
    """
    if file.suffix not in (".png", ".svg"):
        raise PlotError(f"{file}: expected a file that ends in .png or .svg")
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotError(
            "matplotlib is needed: pip install hawthornspoke[plot]"
        ) from error
    figure = Figure(figsize=FIGURE_SIZE, layout="constrained")
    upper, lower = figure.subplots(2, sharex=True)
    _plot_stacked(
        upper, report.requests_by_second, REQUEST_FIELDS, "requests per second"
    )
    _plot_stacked(lower, report.engines_by_second, ENGINE_FIELDS, "engines")
    for rollout in report.spreads:
        time = rollout.declared_at - report.started_at
        for chart in (upper, lower):
            chart.axvline(time, color="black", linewidth=0.5)
    lower.set_xlabel("seconds")
    figure.savefig(file)


def _plot_stacked(chart, counts_by_second, names, label):
    seconds = sorted(counts_by_second)
    series = [
        [
            sum(getattr(counts, name) for counts in counts_by_second[second].values())
            for second in seconds
        ]
        for name in names
    ]
    if seconds:
        chart.stackplot(
            seconds, series, labels=[item.replace("_", " ") for item in names]
        )
        chart.legend(loc="upper left", fontsize="small")
    chart.set_ylabel(label)
