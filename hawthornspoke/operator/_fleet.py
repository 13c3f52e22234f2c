"""Asking every listed host for its status."""

from concurrent.futures import ThreadPoolExecutor

from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.protocol import Connection

NO_SUCH_HOST = Failure(code="no_such_host")

ASK_SECONDS = 2.0
PARALLEL = 32


class HostStatus:
    """One listed host and what it answered.

    Parameters
    ----------
    host : str
    role : str
    failure_domain : str
    status : hawthornspoke.protocol.Status or None
        None if it did not answer.
    problem : str
        Why it did not.
    """

    __slots__ = ("host", "role", "failure_domain", "status", "problem")

    def __init__(self, *, host, role, failure_domain, status, problem):
        self.host = host
        self.role = role
        self.failure_domain = failure_domain
        self.status = status
        self.problem = problem


def read_fleet(clients):
    """Ask every host of the platform's list for its status.

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
    with ThreadPoolExecutor(max_workers=PARALLEL) as pool:
        return list(pool.map(_ask, entries))


def call_host(clients, host, method, *arguments):
    """Call one host by name.

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
    known = ", ".join(sorted(entry.host for entry in entries))
    return NO_SUCH_HOST.because(f"{host!r} is not listed; there are: {known}")


def _ask(entry):
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
    answer = connection.call(method, *arguments, deadline=monotonic() + ASK_SECONDS)
    connection.close()
    return answer
