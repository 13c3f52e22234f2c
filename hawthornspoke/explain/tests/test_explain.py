"""Timeline of one request from the logs of several hosts."""

import json

from hawthornspoke.explain import explain_request


def write(path, *events):
    """Write events as log lines, with unrelated and invalid lines around them."""
    lines = [json.dumps(event) for event in events]
    path.write_text("not ours\n" + "\n".join(lines) + "\n{broken\n")


def test_timeline_has_the_request_and_related_state_changes(tmp_path):
    write(
        tmp_path / "entry.log",
        {"t": 10.0, "node": "e1", "event": "placed", "request": "r1", "endpoint": "i1"},
        {"t": 10.1, "node": "e1", "event": "placed", "request": "r2", "endpoint": "i1"},
        {"t": 9.0, "node": "e1", "event": "platform_lost", "reason": "503"},
        {"t": 1.0, "node": "e1", "event": "started"},
        {
            "t": 11.3,
            "node": "e1",
            "event": "request",
            "request": "r1",
            "outcome": "cut",
        },
    )
    write(
        tmp_path / "other.log",
        {"t": 11.0, "node": "e2", "event": "endpoint_gone", "endpoint": "i1"},
        {"t": 11.0, "node": "e2", "event": "endpoint_gone", "endpoint": "i2"},
    )
    lines = explain_request("r1", [tmp_path])
    assert [line.lstrip("* ").split()[3] for line in lines] == [
        "platform_lost",
        "placed",
        "endpoint_gone",
        "request",
    ]
    assert lines[1].startswith("*")
    assert "outcome=cut" in lines[-1]


def test_timeline_has_what_endpoints_had_said_before(tmp_path):
    """Guards against a refusal whose cause was logged too long before it."""
    said = {"node": "e1", "event": "endpoint_signal", "endpoint": "i1"}
    write(
        tmp_path / "entry.log",
        {"t": 1.0, "signal": "rate_limit", "value": 2.0, **said},
        {"t": 2.0, "signal": "leaving", "value": True, **said},
        {"t": 3.0, "signal": "rate_limit", "value": 1.0, **said},
        {"t": 4.0, "signal": "leaving", "value": True, **said, "node": "e2"},
        {"t": 30.0, "node": "e1", "event": "declined", "request": "r1"},
    )
    lines = explain_request("r1", [tmp_path])
    assert ["leaving" in line for line in lines] == [True, False, False]
    assert "value=1.0" in lines[1]


def test_unknown_request_returns_no_lines(tmp_path):
    write(tmp_path / "a.log", {"t": 1.0, "node": "n", "event": "started"})
    assert explain_request("r9", [tmp_path]) == []


def test_timeline_has_the_evacuations_in_force(tmp_path):
    """Guards against a refusal whose evacuation was logged long before it."""

    def evacuated(time, *failure_domains, node="e1"):
        return {
            "t": time,
            "node": node,
            "event": "evacuations",
            "failure_domains": list(failure_domains),
        }

    write(
        tmp_path / "entry.log",
        evacuated(1.0, "z1"),
        evacuated(2.0, "z2"),
        evacuated(3.0, "z3", node="e2"),
        {"t": 30.0, "node": "e1", "event": "declined", "request": "r1"},
        evacuated(40.0),
        {"t": 60.0, "node": "e1", "event": "declined", "request": "r2"},
    )
    lines = explain_request("r1", [tmp_path])
    assert ["z2" in line for line in lines] == [True, False]
    assert len(explain_request("r2", [tmp_path])) == 1


def test_timeline_has_the_last_restore_of_the_store(tmp_path):
    """Guards against a refusal by a configuration that was lost long before it."""

    def restored(time, era, node="e1"):
        return {"t": time, "node": node, "event": "store_era", "era": era}

    write(
        tmp_path / "entry.log",
        restored(1.0, 1),
        restored(2.0, 2),
        restored(3.0, 3, node="e2"),
        {"t": 30.0, "node": "e1", "event": "declined", "request": "r1"},
    )
    lines = explain_request("r1", [tmp_path])
    assert ["era=2" in line for line in lines] == [True, False]
