"""Aggregation of logged events into a report."""

import re

from hawthornspoke.events import EventReader
from hawthornspoke.report._types import (
    UNKNOWN_DOMAIN,
    EngineCounts,
    Report,
    RequestCounts,
    VersionRollout,
)

#: Seconds without an event from its agent after which an engine counts as silent;
#: agents log one every two seconds.
SILENCE_TIMEOUT = 5.0

#: Name of the counter of platform calls, in the ``counters`` event.
PLATFORM_CALLS_PATTERN = re.compile(r'platform_calls_total\{call="([^"]*)"\}')


class MissingBoundError(ValueError):
    """The time for which older weights may begin to answer is not in the logs."""


def build_report(paths, *, version_bound=None):
    """Build a report from log files.

    Parameters
    ----------
    paths : iterable of Path
        Files, or folders of files.
    version_bound : float or None, default=None
        Seconds after the declaration of a version from which no older version may
        begin to answer; None to use the value that entry hosts logged when they
        started.

    Returns
    -------
    Report

    Raises
    ------
    FileNotFoundError
        If a path does not exist.
    MissingBoundError
        If the bound is neither given nor logged.
    """
    reader = EventReader(paths=paths)
    events = reader.events
    if version_bound is None:
        version_bound = _logged_version_bound(events)
    started_at = events[0]["t"] if events else 0.0
    domain_by_node = _domain_by_node(events)
    spreads = _rollouts(events)
    last = _last_summaries(events)
    return Report(
        started_at=started_at,
        requests_by_second=_count_requests(events, started_at, domain_by_node),
        engines_by_second=_count_engines(
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
        foreign=reader.foreign,
        torn=reader.torn,
    )


def _logged_version_bound(events):
    """Return the bound that an entry host logged last."""
    bounds = [
        event["version_bound"]
        for event in events
        if event["event"] == "started" and _number(event, "version_bound") > 0
    ]
    if not bounds:
        raise MissingBoundError(
            "no 'started' event has version_bound; set it explicitly"
        )
    return bounds[-1]


def _domain_by_node(events):
    """Return the failure domain of each host that has logged it."""
    return {
        event.get("node"): event["failure_domain"]
        for event in events
        if event["event"] == "started" and isinstance(event.get("failure_domain"), str)
    }


def _last_summaries(events):
    """Return the last summary of each start of each host, by event name."""
    last_by_key = {"engine": {}, "counters": {}}
    starts_by_node = {}
    for event in events:
        node = event.get("node")
        if event["event"] == "started":
            # Counters start from zero with each start of the process.
            starts_by_node[node] = starts_by_node.get(node, 0) + 1
        elif event["event"] in last_by_key:
            last_by_key[event["event"]][node, starts_by_node.get(node)] = event
    return {
        name: list(event_by_start.values())
        for name, event_by_start in last_by_key.items()
    }


def _platform_calls(counters):
    calls_by_kind = {}
    for event in counters:
        for name in event:
            match = PLATFORM_CALLS_PATTERN.fullmatch(name)
            if match:
                kind = match.group(1)
                count = calls_by_kind.get(kind, 0) + _number(event, name)
                calls_by_kind[kind] = count
    return dict(sorted(calls_by_kind.items()))


def _count_requests(events, started_at, domain_by_node):
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
        # A reason may be followed by details, such as a time; only its kind is counted.
        reason = re.split(r"[:;]", str(event.get("reason") or "unknown"))[0]
        previous = counts.refused_by_reason.get(reason, 0)
        counts.refused_by_reason[reason] = previous + 1
        counts.refused_again += bool(event.get("returned"))
    elif outcome == "caller_left":
        counts.left += 1
    else:
        counts.failed += 1


def _rollouts(events):
    rollout_by_version = {}
    for event in events:
        name, version = event["event"], _version_of(event)
        if version is None:
            continue
        if name == "weights":
            age = event.get("age")
            at = event["t"] - (age if isinstance(age, int | float) else 0.0)
            existing = rollout_by_version.get(version)
            if existing is None:
                rollout_by_version[version] = VersionRollout(
                    version=version, declared_at=at
                )
            elif isinstance(age, int | float):
                existing.declared_at = min(existing.declared_at, at)
        rollout = rollout_by_version.get(version)
        if rollout is None:
            continue
        if name == "pieces_whole":
            rollout.whole_at.append(event["t"])
        elif name == "transfer_dropped":
            rollout.dropped += 1
        elif name == "install_ended" and event.get("failure") in (None, "None"):
            rollout.in_use_at.append(event["t"])
    return [rollout_by_version[version] for version in sorted(rollout_by_version)]


def _version_of(event):
    version = event.get("version")
    if version is None and event["event"] == "pieces_whole":
        version = str(event.get("weights")).rpartition("@")[2]
        version = int(version) if version.isdigit() else None
    is_number = isinstance(version, int) and not isinstance(version, bool)
    return version if is_number else None


def _count_engines(events, *, started_at, domain_by_node, spreads, version_bound):
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
        for line, next_line in zip(lines, [*lines[1:], None], strict=True):
            until = next_line["t"] if next_line else line["t"] + SILENCE_TIMEOUT
            for second in _seconds(line["t"] - started_at, until - started_at):
                counts_by_domain = counts_by_second.setdefault(second, {})
                counts = counts_by_domain.setdefault(domain, EngineCounts())
                timestamp = started_at + second
                _count_engine(
                    counts,
                    line,
                    timestamp,
                    min_version=_min_version(spreads, version_bound, timestamp),
                    slots=slots_by_address.get(line.get("engine"), 0),
                )
    return dict(sorted(counts_by_second.items()))


def _seconds(begin, end):
    """Return the seconds of an interval, at least the one in which it begins."""
    return range(int(begin), max(int(begin) + 1, int(end)))


def _min_version(spreads, version_bound, timestamp):
    """Return the oldest version that may begin to answer at a given time."""
    mandatory = [
        item.version
        for item in spreads
        if item.declared_at + version_bound <= timestamp
    ]
    return max(mandatory, default=None)


def _count_engine(counts, line, timestamp, *, min_version, slots):
    version = line.get("version")
    if timestamp >= line["t"] + SILENCE_TIMEOUT:
        counts.silent += 1
    elif line.get("loading"):
        counts.loading += 1
    elif version is None or not _has_all_layers(line):
        counts.empty += 1
    elif min_version is not None and version < min_version:
        counts.outdated += 1
    else:
        counts.serving += 1
        counts.taken += _number(line, "running")
        counts.slots += slots


def _has_all_layers(line):
    layers = line.get("layers")
    return isinstance(layers, list) and len(layers) == 2 and layers[0] == 0


def _number(event, name):
    value = event.get(name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else 0
