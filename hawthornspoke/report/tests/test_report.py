"""Reports built from intact and from damaged logs of a small fleet."""

import json

import pytest

from hawthornspoke.report import (
    MissingBoundError,
    PlotError,
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
    """Return a log line for a finished request."""
    return line(t, "request", node=node, outcome=outcome, **fields)


def engine(t, node, **fields):
    """Return a log line with the state of an engine."""
    defaults = {"version": 1, "layers": [0, 16], "loading": False, "running": 2}
    return line(t, "engine", node=node, engine=f"{node}:1", **{**defaults, **fields})


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
def fleet_report(tmp_path):
    """Return the report on ``LINES``, split over two files."""
    (tmp_path / "one.log").write_text("\n".join(LINES[:10]) + "\n")
    (tmp_path / "two.log").write_text("\n".join(LINES[10:]) + "\n")
    return build_report([tmp_path], version_bound=BOUND)


def test_requests_are_counted_by_second_and_failure_domain(fleet_report):
    counts = fleet_report.requests_by_second[1]["north"]
    assert (counts.on_time, counts.late, counts.failed, counts.left) == (1, 1, 1, 1)
    assert counts.refused_by_reason == {"full": 2}
    assert counts.refused_again == 1
    assert counts.asked == 6


def test_engines_are_counted_by_state(fleet_report):
    north, south = (
        fleet_report.engines_by_second[2][name] for name in ("north", "south")
    )
    assert (north.serving, north.taken, north.slots) == (1, 2, 8)
    assert south.empty == 1
    assert fleet_report.engines_by_second[6]["south"].loading == 1
    # Version 2 was declared at 2.0 s and the bound is 8 s, so from 10.0 s on, engines
    # may not start requests on version 1.
    assert fleet_report.engines_by_second[9]["south"].serving == 1
    assert fleet_report.engines_by_second[11]["south"].outdated == 1


def test_engine_without_recent_events_is_silent(tmp_path):
    lines = [line(0.0, "started", node="a1", failure_domain="n"), engine(1.0, "a1")]
    (tmp_path / "a.log").write_text("\n".join([*lines, engine(20.0, "a1")]))
    fleet_report = build_report([tmp_path], version_bound=BOUND)
    assert fleet_report.engines_by_second[4]["n"].serving == 1
    assert fleet_report.engines_by_second[10]["n"].silent == 1


def test_rollout_of_a_version_is_tracked_from_its_declaration(fleet_report):
    rollout = fleet_report.spreads[1]
    assert rollout.version == 2
    assert rollout.declared_at == 102.0
    assert rollout.whole_at == [104.0]
    assert rollout.in_use_at == [105.0]
    assert rollout.dropped == 1


def test_counters_of_all_hosts_are_summed(fleet_report):
    assert fleet_report.origin_bytes == 800
    assert fleet_report.platform_calls_by_kind == {"list": 7}
    assert fleet_report.lines_left_out == 4


def test_counters_of_an_earlier_start_are_included(tmp_path):
    lines = [
        line(0.0, "started", node="a1"),
        engine(1.0, "a1", origin_bytes=100),
        line(2.0, "started", node="a1"),
        engine(3.0, "a1", origin_bytes=50),
    ]
    (tmp_path / "a.log").write_text("\n".join(lines))
    assert build_report([tmp_path], version_bound=BOUND).origin_bytes == 150


def test_text_includes_all_sections(fleet_report):
    text = as_text(fleet_report)
    assert "refused, full: 2" in text
    assert "version 2: declared at 2.0 s" in text
    assert "after 3.0 s at the first" in text
    assert "list 7" in text


def test_json_can_be_parsed(fleet_report):
    parsed = json.loads(as_json(fleet_report))
    assert parsed["requests_by_second"]["1"]["north"]["on_time"] == 1


def test_torn_and_foreign_lines_are_counted_and_skipped(tmp_path):
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
    fleet_report = build_report([tmp_path], version_bound=BOUND)
    assert fleet_report.foreign == 1
    assert fleet_report.torn == 5
    assert fleet_report.requests_by_second[0]["?"].on_time == 1
    assert "skipped lines: 5 unreadable, 1 of other programs;" in as_text(fleet_report)


def test_no_lines_give_an_empty_report(tmp_path):
    fleet_report = build_report([tmp_path], version_bound=BOUND)
    assert fleet_report.requests_by_second == {}
    assert "calls to the platform: none logged" in as_text(fleet_report)


def test_missing_folder_is_named_in_the_error(tmp_path):
    with pytest.raises(FileNotFoundError, match="nowhere: no such file or folder"):
        build_report([tmp_path / "nowhere"], version_bound=BOUND)


def test_bound_is_read_from_entry_host_logs(fleet_report, tmp_path):
    started = line(100.0, "started", node="e2", role="entry", version_bound=BOUND)
    (tmp_path / "e2.log").write_text(started + "\n")
    logged = build_report([tmp_path])
    assert logged.engines_by_second == fleet_report.engines_by_second


def test_missing_bound_raises(fleet_report, tmp_path):
    with pytest.raises(MissingBoundError, match="version_bound; set it explicitly"):
        build_report([tmp_path])


def test_report_is_plotted(fleet_report, tmp_path):
    pytest.importorskip("matplotlib")
    for name in ("report.png", "report.svg"):
        plot_report(fleet_report, tmp_path / name)
        assert (tmp_path / name).stat().st_size > 1000


def test_other_plot_file_types_are_rejected(fleet_report, tmp_path):
    with pytest.raises(PlotError, match="report.doc: expected a file"):
        plot_report(fleet_report, tmp_path / "report.doc")
