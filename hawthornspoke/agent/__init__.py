"""The agent process: the only path to the engine of its host."""

from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent._process import AgentProcess

__all__ = ["ENGINES", "AgentProcess"]
