"""Agent process, through which all requests and weights for its host's engine pass."""

from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent._process import AgentProcess

__all__ = ["ENGINES", "AgentProcess"]
