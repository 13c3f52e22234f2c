"""Subcommands of the command-line interface."""

import getpass
import os
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from hawthornspoke import __version__
from hawthornspoke.cli import _exit_codes as codes

app = App(
    name="hawthornspoke",
    help="Distribute model weights to many hosts and route requests to them.",
    version=__version__,
)
standin = App(
    name="standin", help="Simulated services for tests and trials; not for production."
)
app.command(standin)

#: Settings given as ``--set key=value``; the flag may be repeated.
Overrides = Annotated[
    list[str],
    Parameter(name="--set", help="key=value; overrides file and environment."),
]
PlatformFile = Annotated[
    Path | None,
    Parameter(name="--platform", help="TOML file with a [platform] table."),
]


def main():
    """Run the command line and exit with the exit code of the command."""
    sys.exit(app(result_action="return_value") or codes.OK)


@app.command
def entry(settings: Path | None = None, overrides: Overrides | None = None):
    """Run an entry host, which serves callers and forwards their requests.

    Parameters
    ----------
    settings
        TOML file; see docs/SETTINGS.md.
    """
    from hawthornspoke.entry import EntryProcess

    return _run_role("entry", settings, overrides, EntryProcess)


@app.command
def agent(settings: Path | None = None, overrides: Overrides | None = None):
    """Run the agent of an endpoint host.

    Parameters
    ----------
    settings
        TOML file; see docs/SETTINGS.md.
    """
    from hawthornspoke.agent import AgentProcess

    return _run_role("agent", settings, overrides, AgentProcess)


@app.command
def explain(request: str, logs: list[Path]):
    """Show the log lines of one request from all hosts in chronological order.

    Parameters
    ----------
    request
        Request id that the caller sent.
    logs
        Files, or folders of files, of structured log lines.
    """
    from hawthornspoke.explain import explain_request

    lines = explain_request(request, logs)
    for line in lines:
        print(line)
    if not lines:
        print(
            f"no log lines of request {request} in {len(logs)} paths", file=sys.stderr
        )
        return codes.FAILED
    return codes.OK


@app.command
def report(
    logs: list[Path],
    version_bound: float | None = None,
    json: bool = False,
    plot: Path | None = None,
):
    """Show a fleet's activity in each second, from the collected logs of all hosts.

    Parameters
    ----------
    logs
        Files, or folders of files, of structured log lines.
    version_bound
        Seconds after a version's declaration from which no older version may answer
        requests; taken from the logs by default.
    json
        Print a JSON object instead of a table.
    plot
        Also plot the report to this PNG or SVG file.
    """
    from hawthornspoke.report import (
        MissingBoundError,
        PlotError,
        as_json,
        as_text,
        build_report,
        plot_report,
    )

    try:
        built = build_report(logs, version_bound=version_bound)
        print(as_json(built) if json else as_text(built))
        if plot is not None:
            plot_report(built, plot)
    except (FileNotFoundError, MissingBoundError, PlotError) as error:
        print(error, file=sys.stderr)
        return codes.FAILED
    return codes.OK


@app.command
def check(folder: Path):
    """Check a folder of declarations offline and show all errors."""
    from hawthornspoke.config import check_declarations, load_folder

    failures = check_declarations(load_folder(folder))
    if failures:
        return _print_failures(failures)
    print(f"{folder}: ok")
    return codes.OK


@app.command
def plan(
    folder: Path,
    platform: PlatformFile = None,
    overrides: Overrides | None = None,
):
    """Show the file that sets each key, and the changes to the current revision."""
    from hawthornspoke.base import is_failure
    from hawthornspoke.cli._platform import platform_clients
    from hawthornspoke.operator import InvalidPlan, describe_key_sources, plan_changes

    clients, code = platform_clients(platform, overrides)
    if clients is None:
        return code
    for line in describe_key_sources(folder):
        print(line)
    lines = plan_changes(folder, clients)
    if isinstance(lines, InvalidPlan):
        return _print_failures(lines.failures)
    if is_failure(lines):
        return _print_platform_failure(lines)
    print("changes to the revision in force:" if lines else "nothing would change")
    for line in lines:
        print(line)
    return codes.OK


@app.command
def apply(
    folder: Path,
    platform: PlatformFile = None,
    overrides: Overrides | None = None,
    base: int | None = None,
    author: str | None = None,
    wait: float = 0.0,
):
    """Accept a folder as the next revision.

    Parameters
    ----------
    base
        Revision on which the folder is based; fails if another one is current.
    author
        Author shown in the history; the login name by default.
    wait
        Seconds to wait until the revision is in force on all hosts.
    """
    from hawthornspoke.cli._apply import run_apply
    from hawthornspoke.cli._platform import platform_clients

    clients, code = platform_clients(platform, overrides)
    if clients is None:
        return code
    return run_apply(folder, clients, author or getpass.getuser(), base, wait)


@app.command
def history(
    platform: PlatformFile = None,
    overrides: Overrides | None = None,
    count: int = 10,
):
    """Show the latest accepted revisions, newest first."""
    import time

    from hawthornspoke.base import is_failure
    from hawthornspoke.cli._platform import platform_clients
    from hawthornspoke.operator import read_history

    clients, code = platform_clients(platform, overrides)
    if clients is None:
        return code
    rows = read_history(clients, count=count)
    if is_failure(rows):
        return _print_platform_failure(rows)
    for row in rows:
        stamp = time.gmtime(row["accepted_at"])
        when = time.strftime("%Y-%m-%d %H:%M:%SZ", stamp)
        print(f"{row['revision']}  {when}  {row['author']}  {row['digest'][:12]}")
    return codes.OK


@app.command
def status(
    platform: PlatformFile = None,
    overrides: Overrides | None = None,
    watch: float = 0.0,
):
    """Show live and wanted replicas, weight progress, and unreachable hosts.

    Parameters
    ----------
    watch
        Seconds between updates; 0 prints the status once.
    """
    import time

    from hawthornspoke.base import is_failure
    from hawthornspoke.cli._platform import platform_clients
    from hawthornspoke.operator import read_fleet, render_status

    clients, code = platform_clients(platform, overrides)
    if clients is None:
        return code
    while True:
        fleet = read_fleet(clients)
        if is_failure(fleet):
            return _print_platform_failure(fleet)
        print("\n".join(render_status(fleet)), flush=True)
        if not watch:
            return codes.OK
        time.sleep(watch)


@app.command
def dump(
    host: str,
    platform: PlatformFile = None,
    overrides: Overrides | None = None,
):
    """Print the state of the process on one host as JSON."""
    return _call_host(host, platform, overrides, "dump")


@app.command
def drain(
    host: str,
    platform: PlatformFile = None,
    overrides: Overrides | None = None,
    reason: str = "drain by an operator",
):
    """Stop sending new work to a host; requests in progress are completed."""
    return _call_host(host, platform, overrides, "drain", reason)


@app.command
def demo(once: bool = False, port: int = 18080):
    """Run the whole system with simulated services in one process on loopback.

    Parameters
    ----------
    once
        Make one request and one burst, print the results, and exit.
    port
        Port of the callers' API.
    """
    from hawthornspoke.demo import run_demo

    return run_demo(once=once, port=port)


@standin.command(name="platform")
def standin_platform(
    address: str,
    port: int,
    lag: float = 0.0,
    chunk_size: int = 16384,
    origin_rate: float = 0.0,
):
    """Simulate the platform: table, object store, host list and weight origin."""
    from hawthornspoke.standins import Platform

    return _serve(
        Platform(
            address=address,
            port=port,
            lag=lag,
            chunk_size=chunk_size,
            origin_rate=origin_rate,
        )
    )


@standin.command(name="engine")
def standin_engine(
    address: str,
    port: int,
    slots: int = 8,
    token_seconds: float = 0.01,
    prefill_seconds: float = 0.01,
    memory: int = 0,
    checks_fencing: bool = True,
):
    """Simulate a model engine."""
    from hawthornspoke.standins import Engine

    return _serve(
        Engine(
            address=address,
            port=port,
            slots=slots,
            token_seconds=token_seconds,
            prefill_seconds=prefill_seconds,
            memory=memory,
            checks_fencing=checks_fencing,
        )
    )


@standin.command(name="engines")
def standin_engines(addresses: list[str], *, port: int, slots: int = 8):
    """Simulate several model engines in one process, one at each address."""
    from hawthornspoke.standins import Engine

    engines = [Engine(address=item, port=port, slots=slots) for item in addresses]
    for engine in engines[1:]:
        engine.open()
    return _serve(engines[0])


@standin.command(name="plain")
def standin_plain(address: str, port: int, seconds: float = 0.01):
    """Simulate a plain service."""
    from hawthornspoke.standins import PlainService

    return _serve(PlainService(address=address, port=port, seconds=seconds))


def _run_role(role, file, overrides, process_class):
    from hawthornspoke.cli._logs import configure_logging
    from hawthornspoke.settings import load_settings

    settings, failures = load_settings(
        role=role, file=file, environment=os.environ, flags=overrides or []
    )
    if failures:
        _print_failures(failures)
        return codes.BAD_USAGE
    configure_logging(settings["log_level"])
    try:
        process_class(settings=settings).run()
    except OSError as error:
        where = f"{settings['address']}:{settings['port']}"
        print(f"hawthornspoke: {where}: {error}", file=sys.stderr)
        return codes.ADDRESS_IN_USE
    return codes.OK


def _serve(server):
    from hawthornspoke.base import StopSignals

    stop_signals = StopSignals()
    stop_signals.install()
    server.open()
    stop_signals.wait()
    server.close()
    return codes.OK


def _call_host(host, platform, overrides, method, *arguments):
    from hawthornspoke.base import is_failure
    from hawthornspoke.cli._platform import platform_clients
    from hawthornspoke.operator import call_host

    clients, code = platform_clients(platform, overrides)
    if clients is None:
        return code
    answer = call_host(clients, host, method, *arguments)
    if is_failure(answer):
        print(f"hawthornspoke: {answer.reason}", file=sys.stderr)
        return codes.FAILED
    print(answer if isinstance(answer, str) else f"{host}: {answer.running} running")
    return codes.OK


def _print_failures(failures):
    for failure in failures:
        print(failure.reason, file=sys.stderr)
    return codes.FAILED


def _print_platform_failure(failure):
    print(f"hawthornspoke: platform: {failure.reason}", file=sys.stderr)
    return codes.PLATFORM_UNAVAILABLE
