"""Settings: precedence of sources, errors, and the reference page."""

from pathlib import Path

from hawthornspoke.settings import load_settings
from hawthornspoke.settings._reference import render_reference

PAGE = Path(__file__).parents[3] / "docs" / "SETTINGS.md"

REQUIRED_FLAGS = [
    "node=e",
    "failure_domain=d",
    'address="127.0.0.1"',
    *(f"platform.{name}_url=x" for name in ("table", "objects", "hosts", "origin")),
]


def test_later_sources_override_earlier_ones(tmp_path):
    file = tmp_path / "entry.toml"
    file.write_text("port = 1\nhttp_port = 1\noperator_port = 1\n")
    settings, failures = load_settings(
        role="entry",
        file=file,
        environment={"HAWTHORNSPOKE_HTTP_PORT": "2", "HAWTHORNSPOKE_PORT": "2"},
        flags=[*REQUIRED_FLAGS, "port=3"],
    )
    assert failures == []
    assert [settings[key] for key in ("operator_port", "http_port", "port")] == [
        1,
        2,
        3,
    ]


def test_all_errors_name_source_key_and_accepted_values(tmp_path):
    file = tmp_path / "agent.toml"
    file.write_text('slots = 0\nnonsense = 1\nport = true\n[platform]\ntimeout = "x"\n')
    settings, failures = load_settings(
        role="agent", file=file, environment={"HAWTHORNSPOKE_MEMORY": "-1"}, flags=[]
    )
    text = "\n".join(failure.reason for failure in failures)
    assert settings is None
    assert f"{file}: slots: expected int >= 1, got 0" in text
    assert f"{file}: nonsense: unknown key; accepted: " in text
    assert f"{file}: port: expected int >= 1 <= 65535, got True" in text
    assert f"{file}: platform.timeout: expected int or float >= 0.01" in text
    assert "HAWTHORNSPOKE_MEMORY: memory: expected int >= 0, got -1" in text
    assert "settings: engine_url: missing; expected str" in text


def test_reference_page_matches_schema():
    assert PAGE.read_text() == render_reference()
