"""Entry hosts of other failure domains, as agents report them."""


class RemoteHosts:
    """Collects what each agent reports.

    Entry hosts know only those of their own failure domain. Agents are connected to all
    entry hosts and report the first ones of each failure domain.
    """

    __slots__ = ("_hosts_by_agent",)

    def __init__(self):
        self._hosts_by_agent = {}

    def update(self, agent, hosts):
        """Replace what an agent has reported; nothing once its connection is lost.

        Parameters
        ----------
        agent : str
        hosts : iterable of (str, str)
            Failure domains and addresses.
        """
        hosts = frozenset(hosts)
        if hosts:
            self._hosts_by_agent[agent] = hosts
        else:
            self._hosts_by_agent.pop(agent, None)

    def addresses_by_domain(self):
        """Return the known addresses by failure domain.

        Returns
        -------
        dict of str to set of str
        """
        addresses_by_domain = {}
        for failure_domain, address in set().union(*self._hosts_by_agent.values()):
            addresses_by_domain.setdefault(failure_domain, set()).add(address)
        return addresses_by_domain
