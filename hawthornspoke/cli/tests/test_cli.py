"""Command line: output and exit codes on valid and invalid input."""

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
    result = run("check", "examples/router-fleet")
    assert (result.returncode, result.stderr) == (0, "")
    assert "ok" in result.stdout


def test_check_prints_all_errors_and_fails(tmp_path):
    (tmp_path / "a.toml").write_text('[services.s]\nkind = "x"\n')
    result = run("check", str(tmp_path))
    assert result.returncode == 1
    for key in ("services.s.kind", "services.s.hosts", "services.s.organisations"):
        assert f"a.toml: {key}: " in result.stderr


def test_invalid_settings_print_all_errors_and_exit_with_2(tmp_path):
    file = tmp_path / "entry.toml"
    file.write_text('http_port = 0\ncolour = "red"\n')
    result = run("entry", str(file))
    assert result.returncode == 2
    assert f"{file}: http_port: expected int >= 1 <= 65535, got 0" in result.stderr
    assert f"{file}: colour: unknown key" in result.stderr
    assert "settings: node: missing" in result.stderr


def test_apply_with_unreachable_platform_exits_with_4():
    platform = [
        argument
        for name in ("table", "objects", "hosts", "origin")
        for argument in ("--set", f"platform.{name}_url=http://127.0.0.1:9")
    ]
    result = run("apply", "examples/router-fleet", *platform)
    assert result.returncode == 4, result.stderr
    assert "platform" in result.stderr


def test_address_in_use_exits_with_7(tmp_path):
    """Guards against two agents on one host that send conflicting engine commands."""
    import socket

    bound_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound_socket.bind(("127.0.0.1", 0))
    port = bound_socket.getsockname()[1]
    file = tmp_path / "agent.toml"
    file.write_text(
        f'node = "a"\nfailure_domain = "d"\naddress = "127.0.0.1"\nport = {port}\n'
        'engine_url = "http://127.0.0.1:9"\n[platform]\ntable_url = "x"\n'
        'objects_url = "x"\nhosts_url = "x"\norigin_url = "x"\n'
    )
    result = run("agent", str(file))
    bound_socket.close()
    assert result.returncode == 7, result.stderr
    assert f"127.0.0.1:{port}" in result.stderr


def test_demo_with_port_in_use_exits_instead_of_hanging():
    """Guards against a demo that hangs after a failed start instead of exiting.

    The port was found in use after some servers and agents had been started. These
    were not stopped, and their threads kept the process running.
    """
    import socket

    bound_socket = socket.socket()
    bound_socket.bind(("127.0.0.1", 0))
    bound_socket.listen()
    port = bound_socket.getsockname()[1]
    result = run("demo", "--once", "--port", str(port))
    bound_socket.close()
    assert result.returncode == 7, result.stderr
    assert "port" in result.stderr
