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

#: Keys of the platform call counters in a ``counters`` event.
PLATFORM_CALLS_PATTERN = re.compile(r'platform_calls_total\{call="([^"]*)"\}')


class MissingBoundError(ValueError):
    """No log states for how long after a new version older weights may be used."""


def build_report(paths, *, version_bound=None):
    """Build a report from log files.

    Parameters
    ----------
    paths : iterable of Path
        Files, or folders of files.
    version_bound : float or None, default=None
        Seconds after the declaration of a version during which engines may still
        start requests on older versions; None to use the value that entry hosts
        logged when they started.

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
    rollouts = _rollouts(events)
    last_events = _last_events_by_name(events)
    return Report(
        started_at=started_at,
        requests_by_second=_count_requests(events, started_at, domain_by_node),
        engines_by_second=_count_engines(
            events,
            started_at=started_at,
            domain_by_node=domain_by_node,
            rollouts=rollouts,
            version_bound=version_bound,
        ),
        spreads=rollouts,
        origin_bytes=sum(
            _number_or_zero(event, "origin_bytes") for event in last_events["engine"]
        ),
        platform_calls_by_kind=_platform_calls(last_events["counters"]),
        lines_left_out=sum(
            _number_or_zero(event, "count")
            for event in events
            if event["event"] == "lines_left_out"
        ),
        foreign=reader.foreign,
        torn=reader.torn,
    )


def _logged_version_bound(events):
    """Return the version bound (see `build_report`) that an entry host logged last."""
    bounds = [
        event["version_bound"]
        for event in events
        if event["event"] == "started" and _number_or_zero(event, "version_bound") > 0
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


def _last_events_by_name(events):
    """Return the last ``engine`` and ``counters`` event of each run of a process.

    Returns
    -------
    dict of str to list of dict
        Events by event name.
    """
    last_by_name = {"engine": {}, "counters": {}}
    run_by_node = {}
    for event in events:
        node = event.get("node")
        if event["event"] == "started":
            # Counters start from zero with each start of the process.
            run_by_node[node] = run_by_node.get(node, 0) + 1
        elif event["event"] in last_by_name:
            last_by_name[event["event"]][node, run_by_node.get(node)] = event
    return {
        name: list(event_by_run.values()) for name, event_by_run in last_by_name.items()
    }


def _platform_calls(counters):
    calls_by_kind = {}
    for event in counters:
        for name in event:
            match = PLATFORM_CALLS_PATTERN.fullmatch(name)
            if match:
                kind = match.group(1)
                count = calls_by_kind.get(kind, 0) + _number_or_zero(event, name)
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
        # Reasons are counted without the details that may follow, such as a time.
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


def _count_engines(events, *, started_at, domain_by_node, rollouts, version_bound):
    slots_by_address = {
        event.get("address"): _number_or_zero(event, "slots")
        for event in events
        if event["event"] == "endpoint"
    }
    states_by_node = {}
    for event in events:
        if event["event"] == "engine":
            states_by_node.setdefault(event.get("node"), []).append(event)
    counts_by_second = {}
    for node, states in states_by_node.items():
        domain = domain_by_node.get(node, UNKNOWN_DOMAIN)
        for state, next_state in zip(states, [*states[1:], None], strict=True):
            until = next_state["t"] if next_state else state["t"] + SILENCE_TIMEOUT
            for second in _seconds(state["t"] - started_at, until - started_at):
                counts_by_domain = counts_by_second.setdefault(second, {})
                counts = counts_by_domain.setdefault(domain, EngineCounts())
                timestamp = started_at + second
                _count_engine(
                    counts,
                    state,
                    timestamp,
                    min_version=_min_version(rollouts, version_bound, timestamp),
                    slots=slots_by_address.get(state.get("engine"), 0),
                )
    return dict(sorted(counts_by_second.items()))


def _seconds(begin, end):
    """Return the whole seconds of an interval, at least the one in which it begins."""
    return range(int(begin), max(int(begin) + 1, int(end)))


def _min_version(rollouts, version_bound, timestamp):
    """Return the oldest version on which engines may start requests at a given time."""
    mandatory = [
        item.version
        for item in rollouts
        if item.declared_at + version_bound <= timestamp
    ]
    return max(mandatory, default=None)


def _count_engine(counts, state, timestamp, *, min_version, slots):
    version = state.get("version")
    if timestamp >= state["t"] + SILENCE_TIMEOUT:
        counts.silent += 1
    elif state.get("loading"):
        counts.loading += 1
    elif version is None or not _has_all_layers(state):
        counts.empty += 1
    elif min_version is not None and version < min_version:
        counts.outdated += 1
    else:
        counts.serving += 1
        counts.taken += _number_or_zero(state, "running")
        counts.slots += slots


def _has_all_layers(state):
    layers = state.get("layers")
    return isinstance(layers, list) and len(layers) == 2 and layers[0] == 0


def _number_or_zero(event, name):
    value = event.get(name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else 0
