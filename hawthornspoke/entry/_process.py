"""The parts of an entry process, put together."""

from hawthornspoke.entry._claims_runner import ClaimJanitor, ClaimRunner
from hawthornspoke.entry._client import ControlClient
from hawthornspoke.entry._control import EntryControl
from hawthornspoke.entry._pipeline import Pipeline
from hawthornspoke.node import NodeHandler, NodeProcess, connect_platform
from hawthornspoke.protocol import ConnectionPool
from hawthornspoke.web import HttpServer


class _Handler(NodeHandler):
    """The Thrift service of an entry host."""

    __slots__ = ("pipeline",)

    def __init__(self, *, actor, pipeline):
        super().__init__(actor=actor)
        self.pipeline = pipeline

    def running(self):
        """Return how many requests are in progress here."""
        return len(self.pipeline.running)


class EntryProcess(NodeProcess):
    """An entry host's process.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = ("pipeline", "_janitor")

    def __init__(self, *, settings):
        super().__init__(settings=settings)
        self.pipeline = None
        self._janitor = None

    def start_control(self):
        """Start the control actor, and the pipeline that asks it."""
        actor = EntryControl.start(
            settings=self.settings, socket=self.socket, metrics=self.metrics
        )
        clients = connect_platform(self.settings.platform)
        self._janitor = ClaimJanitor.start(clients=clients, metrics=self.metrics)
        self.pipeline = Pipeline(
            control=ControlClient(actor=actor),
            claims=ClaimRunner(clients=clients, janitor=self._janitor),
            pool=ConnectionPool(),
            metrics=self.metrics,
            default_timeout=float(self.settings["default_timeout"]),
        )
        return actor

    def make_handler(self):
        """Return the Thrift handler."""
        return _Handler(actor=self.actor, pipeline=self.pipeline)

    def role_servers(self):
        """Return the callers' HTTP server."""
        settings = self.settings
        server = HttpServer(
            address=settings["address"],
            port=settings["http_port"],
            handler=self.pipeline.handle,
            threads=settings["threads"],
            max_body=settings["max_body"],
        )
        return [server]

    def leave_wait(self):
        """Return the seconds for which callers are still taken."""
        return self.settings["leave_wait"]

    def is_idle(self):
        """Tell whether no caller is being answered."""
        return not self.pipeline.running

    def stop_role(self):
        """Stop repeating writes of claims."""
        self._janitor.stop()
