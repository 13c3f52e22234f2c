"""Timeline of one request from the collected logs of all hosts."""

from hawthornspoke.events import EventReader

#: Seconds before and after a request in which state changes may be related to it.
CONTEXT_SECONDS = 5.0

#: Event that tells what an endpoint says of itself, which holds until it changes.
SIGNAL_EVENT = "endpoint_signal"

#: Maximum number of such events from before these seconds.
MAX_EARLIER_SIGNALS = 20

#: Events with a state of a host that holds until the next one: the evacuated failure
#: domains, and how often the platform's store was restored from a copy.
EVACUATIONS_EVENT = "evacuations"
ERA_EVENT = "store_era"

#: Events that refer to a single request.
REQUEST_EVENTS = ("placed", "declined", "try_failed", "request")

#: Fields that are printed separately or not at all.
OMITTED_FIELDS = ("t", "node", "event", "request")


def explain_request(request_id, paths):
    """Return the events of a request and the state changes around it.

    Parameters
    ----------
    request_id : str
    paths : iterable of Path
        Files, or folders of files.

    Returns
    -------
    list of str
        Formatted events in order of time; empty if no event names the request. State
        changes are limited to the hosts and endpoints involved in the request, and to
        some seconds around it, except for what endpoints had said of themselves before,
        the evacuations that were in force and the last restore of the store.
    """
    events = EventReader(paths=paths).events
    request_events = [event for event in events if event.get("request") == request_id]
    if not request_events:
        return []
    first, last = (
        request_events[0]["t"] - CONTEXT_SECONDS,
        request_events[-1]["t"] + CONTEXT_SECONDS,
    )
    involved = _involved_names(request_events)
    selected = [
        event
        for event in events
        if first <= event["t"] <= last
        and (event.get("request") == request_id or _is_related(event, involved))
    ]
    selected = (
        _last_before(ERA_EVENT, events, first, involved)
        + _evacuations_before(events, first, involved)
        + _signals_before(events, first, involved)
        + selected
    )
    start_time = request_events[0]["t"]
    return [_format_line(event, start_time, request_id) for event in selected]


def _evacuations_before(events, time, involved):
    """Return the evacuations in force at a time, by what the involved hosts logged."""
    return [
        event
        for event in _last_before(EVACUATIONS_EVENT, events, time, involved)
        if event.get("failure_domains")
    ]


def _last_before(name, events, time, involved):
    """Return the last event of a name before a time at each of the involved hosts."""
    last_by_node = {}
    for event in events:
        if event["event"] == name and event["t"] < time:
            last_by_node[event.get("node")] = event
    return [event for node, event in last_by_node.items() if node in involved]


def _signals_before(events, time, involved):
    """Return the last change of each signal before a time, at the involved hosts."""
    last_by_signal = {}
    for event in events:
        if event["event"] == SIGNAL_EVENT and event["t"] < time:
            node, endpoint = event.get("node"), event.get("endpoint")
            if node in involved:
                last_by_signal[node, endpoint, event.get("signal")] = event
    latest = sorted(last_by_signal.values(), key=lambda event: event["t"])
    return latest[-MAX_EARLIER_SIGNALS:]


def _involved_names(request_events):
    involved = set()
    for event in request_events:
        involved.add(event.get("node"))
        involved.add(event.get("endpoint"))
        involved.update(event.get("endpoints") or ())
    involved.discard(None)
    return involved


def _is_related(event, involved):
    if event["event"] in REQUEST_EVENTS or event["event"] == "counters":
        return False
    return event.get("endpoint") in involved or event.get("node") in involved


def _format_line(event, start_time, request_id):
    marker = "*" if event.get("request") == request_id else " "
    fields = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in OMITTED_FIELDS and value not in (None, "", [])
    )
    offset = event["t"] - start_time
    return (
        f"{marker} {offset:+8.3f} s {event.get('node', '')} {event['event']} {fields}"
    )
