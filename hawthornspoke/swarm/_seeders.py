"""Selects the hosts that seed: pass weights on to the hosts that load them.

All hosts select alike from what they know of a failure domain, without messages. While
they know different hosts, some fetch from a host that doesn't seed yet; they then use
the exchange without seeders.
"""

from hawthornspoke.base import rendezvous_order

#: Hosts that load weights for each seeder. At 3.65 Mbit/s each they take 15 Mbit/s of
#: its link, and the narrowest known links of candidates have 20 Mbit/s.
RECEIVERS_PER_SEEDER = 4

#: Seeders of a failure domain that may read from the origin or from other regions. All
#: hosts have to agree on them, and know no more of other failure domains.
READERS_PER_DOMAIN = 4


def seeder_order(candidates):
    """Return the candidates of a failure domain in the order in which they seed.

    Parameters
    ----------
    candidates : iterable of str
        IP addresses.

    Returns
    -------
    list of str
    """
    return rendezvous_order(key="seeders", nodes=sorted(candidates))


def select_seeders(candidates, *, receivers):
    """Return the seeders of a failure domain: as many as are needed, and one spare.

    Parameters
    ----------
    candidates : iterable of str
        IP addresses.
    receivers : int
        Hosts of the failure domain that load weights.

    Returns
    -------
    list of str
        Empty if nothing is to be seeded.
    """
    if not receivers:
        return []
    return seeder_order(candidates)[: -(-receivers // RECEIVERS_PER_SEEDER) + 1]


def seeders_of(position, seeders):
    """Return the seeder of one of the hosts that load weights, and its replacement.

    Parameters
    ----------
    position : int
        Of the host in its failure domain; seeders get equally many hosts.
    seeders : list of str

    Returns
    -------
    list of str
        Fewer than two if there are no more seeders.
    """
    needed = max(1, len(seeders) - 1)
    order = [*seeders[position % needed :], *seeders[: position % needed]]
    return order[:2]
