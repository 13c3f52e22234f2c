"""Random interleavings of arrivals against a table that loses answers."""

from hypothesis import given, settings, strategies as st

from hawthornspoke.claims import (
    Answered,
    Begin,
    Claim,
    NotRun,
    ReadClaim,
    ReadDone,
    ReleaseClaim,
    RunNow,
    StoreAnswer,
    Unknown,
    WriteClaim,
    WriteDone,
)

ARRIVALS = 4
RUNS = settings(max_examples=400, deadline=None, derandomize=True)


class World:
    """One row, writes that may arrive late, and several arrivals of one key."""

    def __init__(self):
        self.row = None
        self.late = []
        self.claims = [Claim(token=f"t{number}") for number in range(ARRIVALS)]
        self.todo = [list(claim.step(Begin(), now=0.0)) for claim in self.claims]
        self.runs = 0
        self.proved_not_run = 0

    def act(self, number, choice):
        """Let one arrival do its next step; the choice decides what goes wrong."""
        if not self.todo[number]:
            return
        claim, outcome = self.claims[number], self.todo[number].pop(0)
        if isinstance(outcome, WriteClaim):
            self._write_claim(number, claim, outcome, choice)
        elif isinstance(outcome, ReadClaim):
            self._read(number, claim, choice)
        elif isinstance(outcome, RunNow):
            self._run(number, claim, choice)
        elif isinstance(outcome, ReleaseClaim):
            self._release(claim)
        elif isinstance(outcome, StoreAnswer) and self.row["token"] == claim.token:
            self.row = {**self.row, "state": "done"}

    def arrive_late(self):
        """Let a write that was on its way reach the table."""
        if self.late:
            self._apply(*self.late.pop(0))

    def _write_claim(self, number, claim, outcome, choice):
        row = {"token": claim.token, "state": "claimed", "fingerprint": ""}
        write = (row, outcome.over_token)
        if choice == 0:
            word = "written" if self._apply(*write) else "conflict"
        elif choice == 1:
            self._apply(*write)
            word = "unsure"
        elif choice == 2:
            self.late.append(write)
            word = "unsure"
        else:
            word = "unavailable"
        self.todo[number] += claim.step(WriteDone(outcome=word), now=0.0)

    def _apply(self, row, over_token):
        if over_token:
            held = self.row is not None and self.row["token"] == over_token
            free = held and self.row["state"] == "not_run"
        else:
            free = self.row is None
        if free:
            self.row = row
        return free

    def _read(self, number, claim, choice):
        if choice == 3:
            message = ReadDone(outcome="unavailable")
        elif self.row is None:
            message = ReadDone(outcome="missing")
        else:
            message = ReadDone(outcome="row", row=dict(self.row))
        self.todo[number] += claim.step(message, now=0.0)

    def _run(self, number, claim, choice):
        if choice == 3:
            self.proved_not_run += 1
            self.todo[number] += claim.step(NotRun(), now=0.0)
            return
        self.runs += 1
        end = Unknown() if choice == 2 else Answered(status=200, headers={}, body=b"")
        self.todo[number] += claim.step(end, now=0.0)

    def _release(self, claim):
        if self.row is None or self.row["token"] == claim.token:
            self.row = {"token": claim.token, "state": "not_run", "fingerprint": ""}


@RUNS
@given(
    st.lists(
        st.tuples(st.integers(0, ARRIVALS), st.integers(0, 3)), min_size=10, max_size=80
    )
)
def test_a_key_runs_at_most_once(steps):
    """Symptom: two arrivals of one key both run.

    Events: any order of writes, reads, lost answers, late writes and releases.
    """
    world = World()
    for number, choice in steps:
        if number == ARRIVALS:
            world.arrive_late()
        else:
            world.act(number, choice)
    assert world.runs <= 1
