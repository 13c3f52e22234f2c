"""Assembly of the entry process."""

from hawthornspoke.entry._claims_runner import ClaimRunner, ClaimWriteRetrier
from hawthornspoke.entry._client import ControlClient
from hawthornspoke.entry._control import EntryControl
from hawthornspoke.entry._pipeline import Pipeline
from hawthornspoke.node import NodeHandler, NodeProcess, connect_platform
from hawthornspoke.protocol import ConnectionPool
from hawthornspoke.web import HttpServer


class _Handler(NodeHandler):
    """Thrift handler of an entry host."""

    __slots__ = ("pipeline",)

    def __init__(self, *, actor, pipeline):
        super().__init__(actor=actor)
        self.pipeline = pipeline

    def running(self):
        """Return the number of requests in progress on this host."""
        return len(self.pipeline.running_by_id)


class EntryProcess(NodeProcess):
    """Process of an entry host.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = ("pipeline", "_write_retrier")

    def __init__(self, *, settings):
        super().__init__(settings=settings)
        self.pipeline = None
        self._write_retrier = None

    def start_control(self):
        """Start the control actor and the pipeline that calls it."""
        actor = EntryControl.start(
            settings=self.settings, socket=self.socket, metrics=self.metrics
        )
        clients = connect_platform(self.settings.platform)
        self._write_retrier = ClaimWriteRetrier.start(
            clients=clients, metrics=self.metrics
        )
        self.pipeline = Pipeline(
            control=ControlClient(actor=actor),
            claims=ClaimRunner(clients=clients, write_retrier=self._write_retrier),
            pool=ConnectionPool(),
            metrics=self.metrics,
            default_timeout=float(self.settings["default_timeout"]),
            max_answer=self.settings["max_answer"],
        )
        return actor

    def make_handler(self):
        """Return the Thrift handler."""
        return _Handler(actor=self.actor, pipeline=self.pipeline)

    def role_servers(self):
        """Return the HTTP server for callers."""
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
        """Return the seconds for which a leaving host still accepts callers."""
        return self.settings["leave_wait"]

    def is_idle(self):
        """Return whether no request is in progress."""
        return not self.pipeline.running_by_id

    def begin_shutdown(self, deadline):
        """Let running requests end before a deadline on the monotonic clock."""
        self.pipeline.begin_shutdown(deadline)

    def stop_role(self):
        """Stop retrying claim writes."""
        self._write_retrier.stop()
