"""Traces: TOML files of messages that are replayed to a state machine, without I/O."""

import importlib
import pkgutil
import tomllib

import hawthornspoke
from hawthornspoke.base import MACHINES
from hawthornspoke.deployment import TargetWeights
from hawthornspoke.membership import MemberView
from hawthornspoke.protocol import Live, Member
from hawthornspoke.routing import RequestTraits
from hawthornspoke.store import HostEntry

#: Classes whose instances a trace may use as field values, by the ``type`` given there.
VALUE_CLASSES = {
    "TargetWeights": TargetWeights,
    "HostEntry": HostEntry,
    "Live": Live,
    "Member": Member,
    "MemberView": MemberView,
    "RequestTraits": RequestTraits,
}

#: Keys in a trace's ``event`` table that are not fields of the message.
EVENT_KEYS = frozenset(["at", "message", "outcomes", "state"])


class Step:
    """One message of a trace and its expected effects.

    Parameters
    ----------
    at : float
        Time of the message in seconds, on the trace's clock.
    message : object
    outcomes : list of dict or None
        Expected outcomes, each with its class name as ``kind`` and the fields
        to compare; None to skip the comparison.
    state : dict
        Expected values in the machine's dump, keyed by dotted path.
    """

    __slots__ = ("at", "message", "outcomes", "state")

    def __init__(self, *, at, message, outcomes, state):
        self.at = at
        self.message = message
        self.outcomes = outcomes
        self.state = state


class Trace:
    """A recorded sequence of events for one state machine.

    Parameters
    ----------
    title : str
        Description of the symptom, the events and the cause.
    machine : object
        New state machine, built with the trace's parameters.
    steps : list of Step
    """

    __slots__ = ("title", "machine", "steps")

    def __init__(self, *, title, machine, steps):
        self.title = title
        self.machine = machine
        self.steps = steps


def load_trace(file):
    """Load a trace file.

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
        If the trace names an unknown machine, message or field.
    """
    import_machines()
    tree = tomllib.loads(file.read_text(encoding="utf-8"))
    machine_class = MACHINES.get(tree["machine"])
    module = importlib.import_module(machine_class.__module__)
    steps = [_parse_step(module, event) for event in tree["event"]]
    machine = machine_class(**tree.get("params", {}))
    return Trace(title=tree["title"], machine=machine, steps=steps)


def replay(trace):
    """Replay a trace against its machine.

    Parameters
    ----------
    trace : Trace

    Returns
    -------
    list of str
        Differences from the expected outcomes and state; empty if there are
        none.
    """
    differences = []
    for number, step in enumerate(trace.steps, start=1):
        outcomes = trace.machine.step(step.message, now=step.at)
        location = f"event {number} at {step.at}"
        differences += _compare_outcomes(location, step.outcomes, outcomes)
        dump = trace.machine.dump(now=step.at)
        for path, expected in step.state.items():
            actual = _value_at(dump, path)
            if actual != expected:
                differences.append(
                    f"{location}: {path} is {actual!r}, expected {expected!r}"
                )
    return differences


def import_machines():
    """Import all subpackages to register their state machines."""
    for module in pkgutil.iter_modules(hawthornspoke.__path__):
        if module.ispkg and module.name not in ("cli", "demo"):
            importlib.import_module(f"hawthornspoke.{module.name}")


def _parse_step(module, event):
    fields = {
        key: _parse_value(value)
        for key, value in event.items()
        if key not in EVENT_KEYS
    }
    return Step(
        at=float(event["at"]),
        message=getattr(module, event["message"])(**fields),
        outcomes=event.get("outcomes"),
        state=event.get("state", {}),
    )


def _parse_value(value):
    if isinstance(value, list):
        return tuple(_parse_value(item) for item in value)
    if not isinstance(value, dict):
        return value
    fields = {key: _parse_value(item) for key, item in value.items() if key != "type"}
    if "type" not in value:
        return fields
    return _make_value(VALUE_CLASSES[value["type"]], fields)


def _make_value(value_class, fields):
    if value_class is not MemberView:
        return value_class(**fields)
    status = fields.pop("status", "alive")
    view = MemberView(**fields)
    view.status = status
    return view


def _compare_outcomes(location, expected_outcomes, outcomes):
    if expected_outcomes is None:
        return []
    received = [repr(outcome) for outcome in outcomes]
    if len(expected_outcomes) != len(outcomes):
        return [
            f"{location}: expected {len(expected_outcomes)} outcomes, got {received}"
        ]
    differences = []
    for expected, outcome in zip(expected_outcomes, outcomes, strict=True):
        for key, value in expected.items():
            actual = (
                type(outcome).__name__
                if key == "kind"
                else _outcome_field(outcome, key)
            )
            if actual != value:
                differences.append(
                    f"{location}: {key} is {actual!r}, expected {value!r}"
                )
    return differences


def _outcome_field(outcome, field_name):
    """Return a field of an outcome; a failure is represented by its code."""
    value = getattr(outcome, field_name)
    if hasattr(value, "code"):
        return value.code
    return list(value) if isinstance(value, tuple) else value


def _value_at(tree, path):
    for part in path.split("."):
        if not isinstance(tree, dict) or part not in tree:
            return None
        tree = tree[part]
    return tree
