"""Agent process: all requests and weights for the engine of a host pass through it."""

from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent._process import AgentProcess

__all__ = ["ENGINES", "AgentProcess"]
