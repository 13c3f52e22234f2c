"""From a request's id to its cause, over the collected logs of all hosts."""

import json
from pathlib import Path

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
    events = sorted(_read(places), key=lambda event: event["t"])
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


def _read(places):
    for place in places:
        paths = sorted(place.rglob("*")) if place.is_dir() else [place]
        for path in paths:
            if path.is_file():
                yield from _events_of(path)


def _events_of(path):
    for line in Path(path).read_text(errors="replace").splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # Other programs write to the same place; their lines are not ours.
            continue
        if isinstance(event, dict) and {"t", "event"} <= event.keys():
            yield event


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
