"""Conventions of all registered machines, policies, strategies and engines."""

import inspect
import json

import pytest

from hawthornspoke.agent import ENGINES
from hawthornspoke.base import MACHINES
from hawthornspoke.replay import import_machines
from hawthornspoke.routing import POLICIES
from hawthornspoke.swarm import STRATEGIES

import_machines()
MACHINE_CLASSES = [MACHINES.get(name) for name in MACHINES.names()]
each_machine = pytest.mark.parametrize(
    "machine_class", MACHINE_CLASSES, ids=MACHINES.names()
)

REQUIRED_METHODS = {
    "policy": (POLICIES, ["choose"]),
    "strategy": (STRATEGIES, ["may_read_origin", "holders", "owners_before"]),
    "engine": (
        ENGINES,
        ["state", "stream_events", "stage", "drop_staged", "load", "unload"],
    ),
}


@each_machine
def test_constructor_is_keyword_only_and_has_defaults(machine_class):
    parameters = list(inspect.signature(machine_class).parameters.values())
    assert all(item.kind is item.KEYWORD_ONLY for item in parameters)
    assert all(item.default is not item.empty for item in parameters)
    assert [item.name for item in parameters] == list(machine_class.PARAMS)


@each_machine
def test_constructor_only_stores_its_parameters(machine_class):
    machine = machine_class()
    defaults = {
        name: item.default
        for name, item in inspect.signature(machine_class).parameters.items()
    }
    assert machine.get_params() == defaults
    assert machine_class(**machine.get_params()).get_params() == defaults


@each_machine
def test_has_slots_and_no_dict(machine_class):
    assert not hasattr(machine_class(), "__dict__")


@each_machine
def test_defaults_are_within_their_bounds(machine_class):
    machine_class().check()


@each_machine
def test_parameter_of_wrong_type_is_named_in_the_error(machine_class):
    for name in machine_class.PARAMS:
        machine = machine_class()
        setattr(machine, name, object())
        with pytest.raises(ValueError, match=f"{machine_class.__name__}.{name}: "):
            machine.check()


@each_machine
def test_dump_is_json(machine_class):
    json.dumps(machine_class().dump(now=1.0))


@each_machine
def test_every_handler_takes_a_message_and_the_time(machine_class):
    handlers = [name for name in dir(machine_class) if name.startswith("on_")]
    assert handlers
    for name in handlers:
        parameters = inspect.signature(getattr(machine_class, name)).parameters
        assert list(parameters) == ["self", "message", "now"], name


@each_machine
def test_each_handler_has_its_message_class(machine_class):
    module = inspect.getmodule(machine_class)
    for name in dir(machine_class):
        if name.startswith("on_"):
            message = name[3:].title().replace("_", "")
            assert hasattr(module, message), f"{module.__name__}.{message}"


@each_machine
def test_public_members_have_docstrings(machine_class):
    for name, item in vars(machine_class).items():
        if inspect.isfunction(item) and not name.startswith("_"):
            assert item.__doc__, f"{machine_class.__name__}.{name}"


@pytest.mark.parametrize("kind", REQUIRED_METHODS)
def test_registered_objects_have_the_required_methods(kind):
    registry, methods = REQUIRED_METHODS[kind]
    for name in registry.names():
        for method in methods:
            assert callable(getattr(registry.get(name), method)), f"{name}.{method}"
