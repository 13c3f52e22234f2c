"""Builds a report from events."""

import re

from hawthornspoke.events import Reading
from hawthornspoke.report._types import (
    UNKNOWN_DOMAIN,
    EngineCounts,
    Report,
    RequestCounts,
    Spread,
)

#: Seconds without a line of its agent after which an engine counts as silent: agents
#: write one every two seconds.
SILENT_AFTER = 5.0

#: Name of the counter of calls to the platform, in lines of all counters.
CALLS = re.compile(r'platform_calls_total\{call="([^"]*)"\}')


class BoundUnknown(ValueError):
    """No line tells how long older weights may begin to answer."""


def build_report(places, *, version_bound=None):
    """Return what the logs tell of a fleet.

    Parameters
    ----------
    places : iterable of Path
        Files, or folders of files.
    version_bound : float or None, default=None
        Seconds after its declaration from which only a version or a newer one may
        begin to answer; None for what entry hosts told at their start.

    Returns
    -------
    Report

    Raises
    ------
    FileNotFoundError
        Names the place that is not there.
    BoundUnknown
        If neither the caller nor a line tells the bound.
    """
    reading = Reading(places=places)
    events = reading.events
    if version_bound is None:
        version_bound = _told_bound(events)
    started_at = events[0]["t"] if events else 0.0
    domain_by_node = _domains(events)
    spreads = _spreads(events)
    last = _last_by_node(events)
    return Report(
        started_at=started_at,
        requests_by_second=_requests(events, started_at, domain_by_node),
        engines_by_second=_engines(
            events,
            started_at=started_at,
            domain_by_node=domain_by_node,
            spreads=spreads,
            version_bound=version_bound,
        ),
        spreads=spreads,
        origin_bytes=sum(_number(event, "origin_bytes") for event in last["engine"]),
        platform_calls_by_kind=_platform_calls(last["counters"]),
        lines_left_out=sum(
            _number(event, "count")
            for event in events
            if event["event"] == "lines_left_out"
        ),
        foreign=reading.foreign,
        torn=reading.torn,
    )


def _told_bound(events):
    """Return the bound that entry hosts told last."""
    told = [
        event["version_bound"]
        for event in events
        if event["event"] == "started" and _number(event, "version_bound") > 0
    ]
    if not told:
        raise BoundUnknown("no line 'started' tells version_bound: give it")
    return told[-1]


def _domains(events):
    """Return the failure domain of each host that has told it."""
    return {
        event.get("node"): event["failure_domain"]
        for event in events
        if event["event"] == "started" and isinstance(event.get("failure_domain"), str)
    }


def _last_by_node(events):
    """Return the last summaries of each start of each host, by event."""
    last_by_key = {"engine": {}, "counters": {}}
    starts_by_node = {}
    for event in events:
        node = event.get("node")
        if event["event"] == "started":
            # Counters begin anew with each start.
            starts_by_node[node] = starts_by_node.get(node, 0) + 1
        elif event["event"] in last_by_key:
            last_by_key[event["event"]][node, starts_by_node.get(node)] = event
    return {name: list(found.values()) for name, found in last_by_key.items()}


def _platform_calls(counters):
    calls_by_kind = {}
    for event in counters:
        for name in event:
            match = CALLS.fullmatch(name)
            if match:
                kind = match.group(1)
                count = calls_by_kind.get(kind, 0) + _number(event, name)
                calls_by_kind[kind] = count
    return dict(sorted(calls_by_kind.items()))


def _requests(events, started_at, domain_by_node):
    counts_by_second = {}
    for event in events:
        if event["event"] != "request":
            continue
        domain = domain_by_node.get(event.get("node"), UNKNOWN_DOMAIN)
        second = int(event["t"] - started_at)
        counts_by_domain = counts_by_second.setdefault(second, {})
        _count_request(counts_by_domain.setdefault(domain, RequestCounts()), event)
    return counts_by_second


def _count_request(counts, event):
    outcome = event.get("outcome")
    if outcome == "answered":
        if event.get("on_time"):
            counts.on_time += 1
        else:
            counts.late += 1
    elif outcome == "refused_503":
        # Reasons carry what was seen, such as a time; their first word is the kind.
        reason = re.split(r"[:;]", str(event.get("reason") or "unknown"))[0]
        counted = counts.refused_by_reason.get(reason, 0)
        counts.refused_by_reason[reason] = counted + 1
        counts.refused_again += bool(event.get("returned"))
    elif outcome == "caller_left":
        counts.left += 1
    else:
        counts.failed += 1


def _spreads(events):
    spread_by_version = {}
    for event in events:
        name, version = event["event"], _version_of(event)
        if version is None:
            continue
        if name == "weights":
            age = event.get("age")
            at = event["t"] - (age if isinstance(age, int | float) else 0.0)
            known = spread_by_version.get(version)
            if known is None:
                spread_by_version[version] = Spread(version=version, declared_at=at)
            elif isinstance(age, int | float):
                known.declared_at = min(known.declared_at, at)
        spread = spread_by_version.get(version)
        if spread is None:
            continue
        if name == "pieces_whole":
            spread.whole_at.append(event["t"])
        elif name == "transfer_dropped":
            spread.dropped += 1
        elif name == "install_ended" and event.get("failure") in (None, "None"):
            spread.in_use_at.append(event["t"])
    return [spread_by_version[version] for version in sorted(spread_by_version)]


def _version_of(event):
    version = event.get("version")
    if version is None and event["event"] == "pieces_whole":
        version = str(event.get("weights")).rpartition("@")[2]
        version = int(version) if version.isdigit() else None
    is_number = isinstance(version, int) and not isinstance(version, bool)
    return version if is_number else None


def _engines(events, *, started_at, domain_by_node, spreads, version_bound):
    slots_by_address = {
        event.get("address"): _number(event, "slots")
        for event in events
        if event["event"] == "endpoint"
    }
    lines_by_node = {}
    for event in events:
        if event["event"] == "engine":
            lines_by_node.setdefault(event.get("node"), []).append(event)
    counts_by_second = {}
    for node, lines in lines_by_node.items():
        domain = domain_by_node.get(node, UNKNOWN_DOMAIN)
        for line, following in zip(lines, [*lines[1:], None], strict=True):
            until = following["t"] if following else line["t"] + SILENT_AFTER
            for second in _seconds(line["t"] - started_at, until - started_at):
                counts_by_domain = counts_by_second.setdefault(second, {})
                counts = counts_by_domain.setdefault(domain, EngineCounts())
                moment = started_at + second
                _count_engine(
                    counts,
                    line,
                    moment,
                    floor=_floor(spreads, version_bound, moment),
                    slots=slots_by_address.get(line.get("engine"), 0),
                )
    return dict(sorted(counts_by_second.items()))


def _seconds(begin, end):
    """Return the whole seconds within a time, at least the one it begins in."""
    return range(int(begin), max(int(begin) + 1, int(end)))


def _floor(spreads, version_bound, moment):
    """Return the oldest version that may begin to answer at a moment."""
    bound = [
        item.version for item in spreads if item.declared_at + version_bound <= moment
    ]
    return max(bound, default=None)


def _count_engine(counts, line, moment, *, floor, slots):
    version = line.get("version")
    if moment >= line["t"] + SILENT_AFTER:
        counts.silent += 1
    elif line.get("loading"):
        counts.loading += 1
    elif version is None or not _is_whole(line):
        counts.empty += 1
    elif floor is not None and version < floor:
        counts.outdated += 1
    else:
        counts.serving += 1
        counts.taken += _number(line, "running")
        counts.slots += slots


def _is_whole(line):
    layers = line.get("layers")
    return isinstance(layers, list) and len(layers) == 2 and layers[0] == 0


def _number(event, name):
    value = event.get(name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else 0
