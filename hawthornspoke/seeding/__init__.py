"""Entry hosts as seeders: they pass pieces of weights on to the agents of engines."""

from hawthornspoke.seeding._hosts import RemoteHosts
from hawthornspoke.seeding._seeder import Seeder, SeedingPlan
from hawthornspoke.seeding._versions import versions_to_seed

__all__ = ["RemoteHosts", "Seeder", "SeedingPlan", "versions_to_seed"]
