"""A report as text and as JSON."""

import json
from dataclasses import asdict

HEADINGS = (
    "second",
    "domain",
    "asked",
    "on time",
    "late",
    "refused",
    "again",
    "failed",
    "left",
    "serving",
    "loading",
    "outdated",
    "empty",
    "silent",
    "taken",
    "slots",
)


def as_json(report):
    """Return a report as a JSON object.

    Parameters
    ----------
    report : Report

    Returns
    -------
    str
    """
    return json.dumps(asdict(report), indent=1)


def as_text(report):
    """Return a report for people, a line for each second and failure domain.

    Parameters
    ----------
    report : Report

    Returns
    -------
    str
    """
    lines = _rows(report)
    lines += _reasons(report)
    lines += _spreads(report)
    lines.append(f"read from the origin of weights: {report.origin_bytes} bytes")
    calls = report.platform_calls_by_kind
    told = ", ".join(f"{kind} {count}" for kind, count in calls.items())
    lines.append(f"calls to the platform: {told or 'none told'}")
    lines.append(
        f"left out: {report.torn} lines that can't be read, {report.foreign} of other "
        f"programs; {report.lines_left_out} were never written, under a flood"
    )
    return "\n".join(lines)


def _rows(report):
    table = [HEADINGS]
    seconds = sorted({*report.requests_by_second, *report.engines_by_second})
    for second in seconds:
        requests = report.requests_by_second.get(second, {})
        engines = report.engines_by_second.get(second, {})
        for domain in sorted({*requests, *engines}):
            row = _row(second, domain, requests.get(domain), engines.get(domain))
            table.append(row)
    widths = [max(len(row[place]) for row in table) for place in range(len(HEADINGS))]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in table
    ]


def _row(second, domain, requests, engines):
    row = [str(second), domain]
    if requests is None:
        row += [""] * 7
    else:
        row += [
            str(requests.asked),
            str(requests.on_time),
            str(requests.late),
            str(requests.refused),
            str(requests.refused_again),
            str(requests.failed),
            str(requests.left),
        ]
    if engines is None:
        return (*row, *[""] * 7)
    counts = (
        engines.serving,
        engines.loading,
        engines.outdated,
        engines.empty,
        engines.silent,
        engines.taken,
        engines.slots,
    )
    return (*row, *map(str, counts))


def _reasons(report):
    count_by_reason = {}
    for counts_by_domain in report.requests_by_second.values():
        for counts in counts_by_domain.values():
            for reason, count in counts.refused_by_reason.items():
                count_by_reason[reason] = count_by_reason.get(reason, 0) + count
    ranked = sorted(count_by_reason.items(), key=lambda item: -item[1])
    return [f"refused, {reason}: {count}" for reason, count in ranked]


def _spreads(report):
    lines = []
    for spread in report.spreads:
        at = spread.declared_at
        used = _marks(spread.in_use_at, at)
        whole = _marks(spread.whole_at, at)
        lines.append(
            f"version {spread.version}: declared at "
            f"{at - report.started_at:.1f} s; pieces whole {whole}; in use {used}; "
            f"given up by {spread.dropped}"
        )
    return lines


def _marks(moments, since):
    if not moments:
        return "nowhere"
    first, half, last = moments[0], moments[(len(moments) - 1) // 2], moments[-1]
    return (
        f"after {first - since:.1f} s at the first, {half - since:.1f} s at half, "
        f"{last - since:.1f} s at the last of {len(moments)}"
    )
