"""Traces in TOML, replayed against the pure machines in milliseconds."""

import importlib
import pkgutil
import tomllib

import hawthornspoke
from hawthornspoke.base import MACHINES
from hawthornspoke.deployment import Declared
from hawthornspoke.membership import MemberView
from hawthornspoke.protocol import Live, Member
from hawthornspoke.routing import RequestTraits
from hawthornspoke.store import HostEntry

#: Classes that a trace may build inside a message, by the name it gives them.
VALUE_CLASSES = {
    "Declared": Declared,
    "HostEntry": HostEntry,
    "Live": Live,
    "Member": Member,
    "MemberView": MemberView,
    "RequestTraits": RequestTraits,
}

#: Keys of an event that are not fields of its message.
EVENT_KEYS = frozenset(["at", "message", "outcomes", "state"])


class Step:
    """One message of a trace and what is to come of it.

    Parameters
    ----------
    at : float
        Seconds on the trace's clock.
    message : object
    outcomes : list of dict or None
        Each with ``kind`` and the fields that matter; None if not stated.
    state : dict
        Dotted paths into the machine's dump, with the value there.
    """

    __slots__ = ("at", "message", "outcomes", "state")

    def __init__(self, *, at, message, outcomes, state):
        self.at = at
        self.message = message
        self.outcomes = outcomes
        self.state = state


class Trace:
    """A recorded sequence of events.

    Parameters
    ----------
    title : str
        Symptom, events and cause.
    machine : object
        Fresh, with the trace's parameters.
    steps : list of Step
    """

    __slots__ = ("title", "machine", "steps")

    def __init__(self, *, title, machine, steps):
        self.title = title
        self.machine = machine
        self.steps = steps


def load_trace(file):
    """Read a trace.

    Parameters
    ----------
    file : pathlib.Path
        TOML with ``title``, ``machine``, ``params`` and ``event`` tables.

    Returns
    -------
    Trace

    Raises
    ------
    KeyError, TypeError
        If it names a machine, message or field that is not there.
    """
    import_machines()
    tree = tomllib.loads(file.read_text(encoding="utf-8"))
    machine_class = MACHINES.get(tree["machine"])
    module = importlib.import_module(machine_class.__module__)
    steps = [_step(module, event) for event in tree["event"]]
    machine = machine_class(**tree.get("params", {}))
    return Trace(title=tree["title"], machine=machine, steps=steps)


def replay(trace):
    """Feed a trace to its machine.

    Parameters
    ----------
    trace : Trace

    Returns
    -------
    list of str
        What differs from the stated outcomes; empty if all is as stated.
    """
    complaints = []
    for number, step in enumerate(trace.steps, start=1):
        outcomes = trace.machine.step(step.message, now=step.at)
        where = f"event {number} at {step.at}"
        complaints += _compare(where, step.outcomes, outcomes)
        dump = trace.machine.dump(now=step.at)
        for path, expected in step.state.items():
            found = _look_up(dump, path)
            if found != expected:
                complaints.append(f"{where}: {path} is {found!r}, not {expected!r}")
    return complaints


def import_machines():
    """Import every subpackage, so that all machines are registered."""
    for module in pkgutil.iter_modules(hawthornspoke.__path__):
        if module.ispkg and module.name not in ("cli", "demo"):
            importlib.import_module(f"hawthornspoke.{module.name}")


def _step(module, event):
    fields = {
        key: _value(value) for key, value in event.items() if key not in EVENT_KEYS
    }
    return Step(
        at=float(event["at"]),
        message=getattr(module, event["message"])(**fields),
        outcomes=event.get("outcomes"),
        state=event.get("state", {}),
    )


def _value(value):
    if isinstance(value, list):
        return tuple(_value(item) for item in value)
    if not isinstance(value, dict):
        return value
    fields = {key: _value(item) for key, item in value.items() if key != "type"}
    if "type" not in value:
        return fields
    return _build(VALUE_CLASSES[value["type"]], fields)


def _build(value_class, fields):
    if value_class is not MemberView:
        return value_class(**fields)
    status = fields.pop("status", "alive")
    view = MemberView(**fields)
    view.status = status
    return view


def _compare(where, stated, outcomes):
    if stated is None:
        return []
    shown = [repr(outcome) for outcome in outcomes]
    if len(stated) != len(outcomes):
        return [f"{where}: {len(stated)} outcomes stated, got {shown}"]
    complaints = []
    for expected, outcome in zip(stated, outcomes, strict=True):
        for key, value in expected.items():
            found = type(outcome).__name__ if key == "kind" else _field(outcome, key)
            if found != value:
                complaints.append(f"{where}: {key} is {found!r}, not {value!r}")
    return complaints


def _field(outcome, path):
    """Return a field of an outcome; ``failure`` stands for the failure's code."""
    value = getattr(outcome, path)
    if hasattr(value, "code"):
        return value.code
    return list(value) if isinstance(value, tuple) else value


def _look_up(tree, path):
    for part in path.split("."):
        if not isinstance(tree, dict) or part not in tree:
            return None
        tree = tree[part]
    return tree
