"""From a request's id to its cause, over the collected logs of all hosts."""

from hawthornspoke.events import Reading

#: Seconds around a request within which changes of state may have caused its end.
AROUND = 5.0

#: Events that tell of one request.
OF_REQUESTS = ("placed", "declined", "try_failed", "request")

#: Fields that are shown first, or not at all.
LEFT_OUT = ("t", "node", "event", "request")


def explain_request(request_id, places):
    """Return the lines of a request and the changes of state around it.

    Parameters
    ----------
    request_id : str
    places : iterable of Path
        Files, or folders of files.

    Returns
    -------
    list of str
        In order of time; empty if no line names the request. Changes of state are
        those of the hosts and endpoints that the request met.
    """
    events = Reading(places=places).events
    own = [event for event in events if event.get("request") == request_id]
    if not own:
        return []
    first, last = own[0]["t"] - AROUND, own[-1]["t"] + AROUND
    met = _met(own)
    shown = [
        event
        for event in events
        if first <= event["t"] <= last
        and (event.get("request") == request_id or _concerns(event, met))
    ]
    start = own[0]["t"]
    return [_line(event, start, request_id) for event in shown]


def _met(own):
    met = set()
    for event in own:
        met.add(event.get("node"))
        met.add(event.get("endpoint"))
        met.update(event.get("endpoints") or ())
    met.discard(None)
    return met


def _concerns(event, met):
    if event["event"] in OF_REQUESTS or event["event"] == "counters":
        return False
    return event.get("endpoint") in met or event.get("node") in met


def _line(event, start, request_id):
    mark = "*" if event.get("request") == request_id else " "
    fields = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in LEFT_OUT and value not in (None, "", [])
    )
    when = event["t"] - start
    return f"{mark} {when:+8.3f} s {event.get('node', '')} {event['event']} {fields}"
