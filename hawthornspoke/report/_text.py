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
    """Return a report as text, with a row for each second and failure domain.

    Parameters
    ----------
    report : Report

    Returns
    -------
    str
    """
    lines = _format_table(report)
    lines += _format_refusals(report)
    lines += _format_rollouts(report)
    lines.append(f"read from the origin of weights: {report.origin_bytes} bytes")
    calls = report.platform_calls_by_kind
    summary = ", ".join(f"{kind} {count}" for kind, count in calls.items())
    lines.append(f"calls to the platform: {summary or 'none logged'}")
    lines.append(
        f"skipped lines: {report.torn} unreadable, {report.foreign} of other programs; "
        f"{report.lines_left_out} were not written due to rate limits"
    )
    return "\n".join(lines)


def _format_table(report):
    table = [HEADINGS]
    seconds = sorted({*report.requests_by_second, *report.engines_by_second})
    for second in seconds:
        requests = report.requests_by_second.get(second, {})
        engines = report.engines_by_second.get(second, {})
        for domain in sorted({*requests, *engines}):
            row = _table_row(second, domain, requests.get(domain), engines.get(domain))
            table.append(row)
    widths = [max(len(row[column]) for row in table) for column in range(len(HEADINGS))]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in table
    ]


def _table_row(second, domain, requests, engines):
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


def _format_refusals(report):
    count_by_reason = {}
    for counts_by_domain in report.requests_by_second.values():
        for counts in counts_by_domain.values():
            for reason, count in counts.refused_by_reason.items():
                count_by_reason[reason] = count_by_reason.get(reason, 0) + count
    ranked = sorted(count_by_reason.items(), key=lambda item: -item[1])
    return [f"refused, {reason}: {count}" for reason, count in ranked]


def _format_rollouts(report):
    lines = []
    for rollout in report.spreads:
        at = rollout.declared_at
        in_use = _format_times(rollout.in_use_at, at)
        whole = _format_times(rollout.whole_at, at)
        lines.append(
            f"version {rollout.version}: declared at "
            f"{at - report.started_at:.1f} s; transferred {whole}; in use {in_use}; "
            f"abandoned by {rollout.dropped} hosts"
        )
    return lines


def _format_times(times, since):
    if not times:
        return "nowhere"
    first, half, last = times[0], times[(len(times) - 1) // 2], times[-1]
    return (
        f"after {first - since:.1f} s at the first, {half - since:.1f} s at half, "
        f"{last - since:.1f} s at the last of {len(times)}"
    )
