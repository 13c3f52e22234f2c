"""The command line: what it prints and how it exits on bad input."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]


def run(*arguments, **environment):
    return subprocess.run(
        [sys.executable, "-m", "hawthornspoke", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, **environment},
    )


def test_check_accepts_an_example():
    done = run("check", "examples/router-fleet")
    assert (done.returncode, done.stderr) == (0, "")
    assert "ok" in done.stdout


def test_check_shows_all_errors_and_fails(tmp_path):
    (tmp_path / "a.toml").write_text('[services.s]\nkind = "x"\n')
    done = run("check", str(tmp_path))
    assert done.returncode == 1
    for key in ("services.s.kind", "services.s.hosts", "services.s.organisations"):
        assert f"a.toml: {key}: " in done.stderr


def test_bad_settings_end_with_two_and_every_error(tmp_path):
    file = tmp_path / "entry.toml"
    file.write_text('http_port = 0\ncolour = "red"\n')
    done = run("entry", str(file))
    assert done.returncode == 2
    assert f"{file}: http_port: expected int >= 1 <= 65535, got 0" in done.stderr
    assert f"{file}: colour: unknown key" in done.stderr
    assert "settings: node: missing" in done.stderr


def test_apply_without_a_platform_says_so_and_accepts_nothing():
    platform = [
        argument
        for name in ("table", "objects", "hosts", "origin")
        for argument in ("--set", f"platform.{name}_url=http://127.0.0.1:9")
    ]
    done = run("apply", "examples/router-fleet", *platform)
    assert done.returncode == 4, done.stderr
    assert "platform" in done.stderr


def test_taken_address_ends_with_seven(tmp_path):
    """Symptom: two agents on one host give the engine orders against each other."""
    import socket

    holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    holder.bind(("127.0.0.1", 0))
    port = holder.getsockname()[1]
    file = tmp_path / "agent.toml"
    file.write_text(
        f'node = "a"\nfailure_domain = "d"\naddress = "127.0.0.1"\nport = {port}\n'
        'engine_url = "http://127.0.0.1:9"\n[platform]\ntable_url = "x"\n'
        'objects_url = "x"\nhosts_url = "x"\norigin_url = "x"\n'
    )
    done = run("agent", str(file))
    holder.close()
    assert done.returncode == 7, done.stderr
    assert f"127.0.0.1:{port}" in done.stderr


def test_demo_on_a_taken_port_ends_in_place_of_hanging():
    """Symptom: a process that could not start hangs and looks alive.

    Events: one of its ports is taken after some tasks have been started.
    Cause: giving up without closing what is open.
    """
    import socket

    holder = socket.socket()
    holder.bind(("127.0.0.1", 0))
    holder.listen()
    port = holder.getsockname()[1]
    done = run("demo", "--once", "--port", str(port))
    holder.close()
    assert done.returncode == 7, done.stderr
    assert "port" in done.stderr
