"""Calls to the hosts in the platform's host list."""

from concurrent.futures import ThreadPoolExecutor

from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.protocol import Connection

NO_SUCH_HOST = Failure(code="no_such_host")

CALL_TIMEOUT = 2.0
MAX_PARALLEL_CALLS = 32


class HostStatus:
    """Status of one listed host.

    Parameters
    ----------
    host : str
    role : str
    failure_domain : str
    status : hawthornspoke.protocol.Status or None
        None if the call failed.
    problem : str
        Reason of the failed call, empty if it succeeded.
    """

    __slots__ = ("host", "role", "failure_domain", "status", "problem")

    def __init__(self, *, host, role, failure_domain, status, problem):
        self.host = host
        self.role = role
        self.failure_domain = failure_domain
        self.status = status
        self.problem = problem


def read_fleet(clients):
    """Request the status of every host in the platform's host list.

    Parameters
    ----------
    clients : PlatformClients

    Returns
    -------
    list of HostStatus or Failure
    """
    entries = clients.hosts.read()
    if is_failure(entries):
        return entries
    with ThreadPoolExecutor(max_workers=MAX_PARALLEL_CALLS) as pool:
        return list(pool.map(_read_status, entries))


def call_host(clients, host, method, *arguments):
    """Call a method of one host by the host's name.

    Parameters
    ----------
    clients : PlatformClients
    host : str
    method : str
    *arguments : object

    Returns
    -------
    object or Failure
    """
    entries = clients.hosts.read()
    if is_failure(entries):
        return entries
    for entry in entries:
        if entry.host == host:
            return _call(entry, method, *arguments)
    listed_hosts = ", ".join(sorted(entry.host for entry in entries))
    return NO_SUCH_HOST.with_reason(
        f"{host!r} is not in the host list; listed hosts: {listed_hosts}"
    )


def _read_status(entry):
    status = _call(entry, "status")
    failed = is_failure(status)
    return HostStatus(
        host=entry.host,
        role=entry.role,
        failure_domain=entry.failure_domain,
        status=None if failed else status,
        problem=status.reason if failed else "",
    )


def _call(entry, method, *arguments):
    connection = Connection(address=entry.address, port=entry.port)
    answer = connection.call(method, *arguments, deadline=monotonic() + CALL_TIMEOUT)
    connection.close()
    return answer
