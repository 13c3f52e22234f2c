"""Property-based tests of concurrent claims in a table that loses replies."""

from hypothesis import given, settings, strategies as st

from hawthornspoke.claims import (
    BeginClaim,
    Claim,
    NotRun,
    OutcomeUnknown,
    ReadClaim,
    ReadDone,
    ReleaseClaim,
    RequestAnswered,
    RunRequest,
    StoreAnswer,
    WriteClaim,
    WriteDone,
)

N_CLAIMS = 4
SETTINGS = settings(max_examples=400, deadline=None, derandomize=True)


class TableSimulation:
    """Simulated table row with delayed writes, and several claims of one key."""

    def __init__(self):
        self.row = None
        self.delayed_writes = []
        self.claims = [Claim(token=f"t{number}") for number in range(N_CLAIMS)]
        self.pending_by_claim = [
            list(claim.step(BeginClaim(), now=0.0)) for claim in self.claims
        ]
        self.runs = 0
        self.not_run_count = 0

    def execute_next(self, number, choice):
        """Execute the next outcome of a claim; ``choice`` selects the fault."""
        if not self.pending_by_claim[number]:
            return
        claim, outcome = self.claims[number], self.pending_by_claim[number].pop(0)
        if isinstance(outcome, WriteClaim):
            self._write_claim(number, claim, outcome, choice)
        elif isinstance(outcome, ReadClaim):
            self._read(number, claim, choice)
        elif isinstance(outcome, RunRequest):
            self._run(number, claim, choice)
        elif isinstance(outcome, ReleaseClaim):
            self._release(claim)
        elif isinstance(outcome, StoreAnswer) and self.row["token"] == claim.token:
            self.row = {**self.row, "state": "done"}

    def apply_delayed_write(self):
        """Apply the oldest delayed write to the table."""
        if self.delayed_writes:
            self._apply(*self.delayed_writes.pop(0))

    def _write_claim(self, number, claim, outcome, choice):
        row = {"token": claim.token, "state": "claimed", "fingerprint": ""}
        write = (row, outcome.replaced_token)
        if choice == 0:
            write_outcome = "written" if self._apply(*write) else "conflict"
        elif choice == 1:
            self._apply(*write)
            write_outcome = "unsure"
        elif choice == 2:
            self.delayed_writes.append(write)
            write_outcome = "unsure"
        else:
            write_outcome = "unavailable"
        self.pending_by_claim[number] += claim.step(
            WriteDone(outcome=write_outcome), now=0.0
        )

    def _apply(self, row, replaced_token):
        if replaced_token:
            holds_key = self.row is not None and self.row["token"] == replaced_token
            is_writable = holds_key and self.row["state"] == "not_run"
        else:
            is_writable = self.row is None
        if is_writable:
            self.row = row
        return is_writable

    def _read(self, number, claim, choice):
        if choice == 3:
            message = ReadDone(outcome="unavailable")
        elif self.row is None:
            message = ReadDone(outcome="missing")
        else:
            message = ReadDone(outcome="row", row=dict(self.row))
        self.pending_by_claim[number] += claim.step(message, now=0.0)

    def _run(self, number, claim, choice):
        if choice == 3:
            self.not_run_count += 1
            self.pending_by_claim[number] += claim.step(NotRun(), now=0.0)
            return
        self.runs += 1
        result = (
            OutcomeUnknown()
            if choice == 2
            else RequestAnswered(status=200, headers={}, body=b"")
        )
        self.pending_by_claim[number] += claim.step(result, now=0.0)

    def _release(self, claim):
        if self.row is None or self.row["token"] == claim.token:
            self.row = {"token": claim.token, "state": "not_run", "fingerprint": ""}


@SETTINGS
@given(
    st.lists(
        st.tuples(st.integers(0, N_CLAIMS), st.integers(0, 3)), min_size=10, max_size=80
    )
)
def test_request_with_key_runs_at_most_once(steps):
    """Guards against two requests with the same key both running.

    Writes, reads, lost replies, delayed writes and releases occur in any order.
    """
    simulation = TableSimulation()
    for number, choice in steps:
        if number == N_CLAIMS:
            simulation.apply_delayed_write()
        else:
            simulation.execute_next(number, choice)
    assert simulation.runs <= 1
