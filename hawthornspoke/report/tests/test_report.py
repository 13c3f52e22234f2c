"""What a report tells of a small fleet's lines, whole and damaged."""

import json

import pytest

from hawthornspoke.report import (
    BoundUnknown,
    NoPlots,
    as_json,
    as_text,
    build_report,
    plot_report,
)

BOUND = 8.0


def line(t, event, node="e1", **fields):
    """Return one log line."""
    return json.dumps({"t": t, "node": node, "event": event, **fields})


def request(t, outcome, node="e1", **fields):
    """Return the line on a request that has ended."""
    return line(t, "request", node=node, outcome=outcome, **fields)


def engine(t, node, **fields):
    """Return the line on an engine's state."""
    usual = {"version": 1, "layers": [0, 16], "loading": False, "running": 2}
    return line(t, "engine", node=node, engine=f"{node}:1", **{**usual, **fields})


LINES = [
    line(100.0, "started", role="entry", failure_domain="north"),
    line(100.0, "started", node="a1", role="agent", failure_domain="north"),
    line(100.0, "started", node="a2", role="agent", failure_domain="south"),
    line(100.1, "endpoint", endpoint="i1", address="a1:1", slots=8),
    line(100.2, "weights", node="a1", version=1, age=None),
    engine(101.0, "a1"),
    engine(101.0, "a2", layers=None, version=None),
    request(101.2, "answered", on_time=True),
    request(101.3, "answered", on_time=False),
    request(101.4, "refused_503", reason="full; no budget", returned=False),
    request(101.5, "refused_503", reason="full", returned=True),
    request(101.6, "refused_502", reason="may_have_run: x"),
    request(101.7, "caller_left"),
    line(102.5, "weights", node="a1", version=2, age=0.5),
    line(104.0, "pieces_whole", node="a1", weights="m@2"),
    line(104.0, "transfer_dropped", node="a2", version=2),
    line(105.0, "install_ended", node="a1", version=2, failure="None"),
    line(105.5, "install_ended", node="a2", version=2, failure="<order_failed: x>"),
    engine(106.0, "a1", version=2, origin_bytes=500),
    engine(106.0, "a2", version=1, loading=True, origin_bytes=200),
    engine(108.0, "a2", version=1, origin_bytes=300),
    engine(110.0, "a2", version=1, origin_bytes=300),
    engine(112.0, "a2", version=1, origin_bytes=300),
    line(
        112.0,
        "counters",
        **{'platform_calls_total{call="list"}': 7, "requests_total": 3},
    ),
    line(112.1, "lines_left_out", count=4),
]


@pytest.fixture
def built(tmp_path):
    """Return the report on the lines, in two files."""
    (tmp_path / "one.log").write_text("\n".join(LINES[:10]) + "\n")
    (tmp_path / "two.log").write_text("\n".join(LINES[10:]) + "\n")
    return build_report([tmp_path], version_bound=BOUND)


def test_requests_are_counted_by_second_and_failure_domain(built):
    counts = built.requests_by_second[1]["north"]
    assert (counts.on_time, counts.late, counts.failed, counts.left) == (1, 1, 1, 1)
    assert counts.refused_by_reason == {"full": 2}
    assert counts.refused_again == 1
    assert counts.asked == 6


def test_engines_are_counted_by_what_they_can_do(built):
    north, south = (built.engines_by_second[2][name] for name in ("north", "south"))
    assert (north.serving, north.taken, north.slots) == (1, 2, 8)
    assert south.empty == 1
    assert built.engines_by_second[6]["south"].loading == 1
    # Version 2 was declared at 2.0 s; on version 1 nothing may begin from 10.0 s on.
    assert built.engines_by_second[9]["south"].serving == 1
    assert built.engines_by_second[11]["south"].outdated == 1


def test_engine_whose_agent_says_nothing_is_silent_at_last(tmp_path):
    lines = [line(0.0, "started", node="a1", failure_domain="n"), engine(1.0, "a1")]
    (tmp_path / "a.log").write_text("\n".join([*lines, engine(20.0, "a1")]))
    built = build_report([tmp_path], version_bound=BOUND)
    assert built.engines_by_second[4]["n"].serving == 1
    assert built.engines_by_second[10]["n"].silent == 1


def test_version_is_followed_from_its_declaration(built):
    second = built.spreads[1]
    assert second.version == 2
    assert second.declared_at == 102.0
    assert second.whole_at == [104.0]
    assert second.in_use_at == [105.0]
    assert second.dropped == 1


def test_counters_of_all_hosts_are_added(built):
    assert built.origin_bytes == 800
    assert built.platform_calls_by_kind == {"list": 7}
    assert built.lines_left_out == 4


def test_counters_of_an_earlier_start_are_kept(tmp_path):
    lines = [
        line(0.0, "started", node="a1"),
        engine(1.0, "a1", origin_bytes=100),
        line(2.0, "started", node="a1"),
        engine(3.0, "a1", origin_bytes=50),
    ]
    (tmp_path / "a.log").write_text("\n".join(lines))
    assert build_report([tmp_path], version_bound=BOUND).origin_bytes == 150


def test_text_tells_all_that_was_found(built):
    text = as_text(built)
    assert "refused, full: 2" in text
    assert "version 2: declared at 2.0 s" in text
    assert "after 3.0 s at the first" in text
    assert "list 7" in text


def test_json_can_be_read_again(built):
    tree = json.loads(as_json(built))
    assert tree["requests_by_second"]["1"]["north"]["on_time"] == 1


def test_lines_that_are_torn_or_foreign_are_counted_and_left_out(tmp_path):
    damaged = [
        "not ours",
        "",
        '{"t": 1.0, "node": "e1", "event": "requ',
        "{broken",
        '{"t": "soon", "event": "request"}',
        '{"t": 1.0, "event": 7}',
        "[1, 2] {}",
        line(1.0, "weights", version="two"),
        line(1.0, "engine", version=None, running="many"),
        line(1.0, "lines_left_out", count=None),
        request(1.0, "answered", on_time=True),
    ]
    (tmp_path / "a.log").write_text("\n".join(damaged))
    built = build_report([tmp_path], version_bound=BOUND)
    assert built.foreign == 1
    assert built.torn == 5
    assert built.requests_by_second[0]["?"].on_time == 1
    assert "left out: 5 lines that can't be read, 1 of other programs" in as_text(built)


def test_no_lines_at_all_are_an_empty_report(tmp_path):
    built = build_report([tmp_path], version_bound=BOUND)
    assert built.requests_by_second == {}
    assert "none told" in as_text(built)


def test_folder_that_is_not_there_is_named(tmp_path):
    with pytest.raises(FileNotFoundError, match="nowhere: no such file or folder"):
        build_report([tmp_path / "nowhere"], version_bound=BOUND)


def test_bound_is_taken_from_what_entry_hosts_told(built, tmp_path):
    started = line(100.0, "started", node="e2", role="entry", version_bound=BOUND)
    (tmp_path / "e2.log").write_text(started + "\n")
    told = build_report([tmp_path])
    assert told.engines_by_second == built.engines_by_second


def test_bound_that_nobody_tells_is_asked_for(built, tmp_path):
    with pytest.raises(BoundUnknown, match="version_bound: give it"):
        build_report([tmp_path])


def test_report_is_drawn(built, tmp_path):
    pytest.importorskip("matplotlib")
    for name in ("report.png", "report.svg"):
        plot_report(built, tmp_path / name)
        assert (tmp_path / name).stat().st_size > 1000


def test_drawing_of_another_kind_is_refused(built, tmp_path):
    with pytest.raises(NoPlots, match="report.doc: expected a file"):
        plot_report(built, tmp_path / "report.doc")
