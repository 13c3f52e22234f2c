"""Who holds, pauses, is refused and is cut, without connections."""

from hawthornspoke.memory_budget import (
    ANSWER,
    BODY,
    KERNEL,
    NORMAL,
    SENDING,
    UNREAD,
    WRITTEN,
    Holder,
    MemoryBudget,
    buffer_limit,
)
from hawthornspoke.memory_budget._budget import REQUEST_BYTES

MB = 1_000_000


def slow_holder(budget, size):
    """Return a holder whose caller has read nothing for two seconds."""
    holder = Holder()
    budget.hold(holder, WRITTEN, size)
    for now in (0.0, 2.0):
        budget.measure(holder, size, now)
    return holder


def test_budget_is_empty_after_all_holders_have_ended():
    budget = MemoryBudget(limit=10 * MB)
    ended, closed = Holder(), Holder()
    for holder in (ended, closed):
        for use, size in ((BODY, 100), (SENDING, 100), (UNREAD, 50), (WRITTEN, 7)):
            budget.hold(holder, use, size)
        budget.pause(holder, wanted=MB)
    budget.release_request(ended)
    assert ended.held == 7
    budget.hold(ended, WRITTEN, 0)
    budget.release(closed)
    assert (budget.held, budget.holders, budget.paused) == (0, set(), {})


def test_many_large_bodies_at_once_are_refused_beyond_the_mark():
    budget = MemoryBudget(limit=100 * MB)
    admitted = 0
    for _ in range(100):
        holder = Holder()
        if budget.admits_body(holder, 4 * MB):
            budget.hold(holder, BODY, 4 * MB)
            admitted += 1
    assert admitted == 16
    assert budget.admits_body(Holder(), 2000)


def test_responses_wait_for_the_answers_that_callers_have_to_receive():
    """Guards against answers that are read one after the other while none is sent."""
    budget = MemoryBudget(limit=10 * MB)
    slow, announced, unannounced = slow_holder(budget, MB), Holder(), Holder()
    budget.hold(slow, ANSWER, 7 * MB)
    budget.hold(unannounced, UNREAD, 5 * MB // 2)
    budget.pause(announced, wanted=3 * MB)
    assert budget.must_pause(unannounced)
    budget.pause(unannounced)
    assert budget.resumable() == []
    assert budget.to_cut() == [slow]
    budget.release(slow)
    assert budget.resumable() == [announced]
    budget.release(announced)
    assert budget.resumable() == [unannounced]


def test_requests_are_admitted_for_what_their_answers_may_hold_at_first():
    """Guards against more answers than there is room for, read before any waits."""
    budget = MemoryBudget(limit=100 * MB)
    admitted = [
        holder for _ in range(2000) if budget.admits_request(holder := Holder())
    ]
    assert 600 < len(admitted) < 615
    for holder in admitted:
        budget.expect_response(holder)
    assert 76 * MB < budget.held <= 80 * MB
    assert not budget.admits_request(Holder())
    budget.release_request(admitted[0])
    assert budget.admits_request(admitted[0])
    budget.release_request(admitted[0])
    assert budget.admits_request(admitted[0])
    for holder in admitted:
        budget.release(holder)
    assert budget.held == 0
    assert budget.admits_request(Holder())


def test_requests_count_by_themselves_until_they_end():
    """Guards against many requests that hold no bytes and exceed the memory."""
    budget = MemoryBudget(limit=100 * MB)
    holders = [Holder() for _ in range(400)]
    for holder in holders:
        assert budget.admits_request(holder) and budget.admits_request(holder)
        budget.expect_response(holder)
        budget.hold(holder, KERNEL, 0)
    assert budget.held == 400 * REQUEST_BYTES
    for holder in holders:
        budget.release_request(holder)
    assert (budget.held, budget.holders) == (0, set())


def test_slow_callers_leave_room_for_requests_and_for_small_answers():
    """Guards against refusing ordinary callers while slow ones hold the rest."""
    budget = MemoryBudget(limit=10 * MB)
    slow_holder(budget, 11 * MB)
    ordinary = Holder()
    assert budget.admits_request(ordinary)
    budget.expect_response(ordinary)
    budget.hold(ordinary, KERNEL, 0)
    assert budget.reserve_response(ordinary, 1000)
    assert not budget.reserve_response(Holder(), MB)
    others = [holder for _ in range(100) if budget.admits_request(holder := Holder())]
    assert 10 < len(others) < 30


def test_stream_waits_while_others_hold_half_of_the_limit_and_slow_ones_are_cut():
    """Guards against streams that are all read ahead of callers that don't read."""
    budget = MemoryBudget(limit=10 * MB)
    slow, stream = slow_holder(budget, 6 * MB), Holder()
    stream.is_passed_on = True
    budget.hold(stream, UNREAD, 1000)
    assert budget.must_pause(stream)
    assert budget.to_cut() == []
    budget.pause(stream)
    assert budget.to_cut() == [slow]
    budget.release(slow)
    assert budget.resumable() == [stream]


def test_caller_is_slow_by_what_it_receives_whatever_is_written():
    budget = MemoryBudget(limit=10 * MB)
    steady, stuck = Holder(), Holder()
    for number in range(5):
        for holder, unreceived in ((steady, 50_000), (stuck, 40_000 * number + 40_000)):
            holder.written_bytes += 40_000 + (number == 0) * 50_000
            budget.measure(holder, 0, float(number), unreceived=unreceived)
    assert stuck.is_slow and not steady.is_slow


def test_slow_caller_is_cut_if_another_response_has_no_room_beside_it():
    budget = MemoryBudget(limit=10 * MB)
    slow, waiting = slow_holder(budget, 5 * MB), Holder()
    assert budget.to_cut() == []
    budget.pause(waiting, wanted=6 * MB)
    assert budget.to_cut() == [slow]


def test_stream_that_arrives_faster_than_it_is_read_pauses():
    """Guards against streams that fail as too large though their callers read them."""
    budget = MemoryBudget(limit=100 * MB)
    stream, whole = Holder(), Holder()
    stream.is_passed_on = True
    for holder in (stream, whole):
        budget.hold(holder, UNREAD, 2 * MB)
    assert budget.must_pause(stream) and not budget.must_pause(whole)
    budget.pause(stream)
    assert budget.resumable() == []
    budget.hold(stream, UNREAD, MB // 2)
    assert budget.resumable() == [stream]
    budget.release_request(stream)
    assert not stream.is_passed_on


def test_response_to_a_slow_caller_pauses_before_any_other():
    """Guards against normal callers who wait since slow ones hold the memory."""
    budget = MemoryBudget(limit=10 * MB)
    slow, normal = Holder(), Holder()
    budget.hold(slow, WRITTEN, 100)
    budget.hold(slow, UNREAD, 200_000)
    budget.hold(normal, UNREAD, 200_000)
    assert not budget.must_pause(slow)
    budget.hold(Holder(), UNREAD, 5 * MB)
    assert budget.must_pause(slow)
    assert not budget.must_pause(normal)
    budget.hold(Holder(), UNREAD, 5 * MB)
    assert budget.must_pause(normal)


def test_paused_responses_resume_in_their_order_within_the_limit():
    budget = MemoryBudget(limit=10 * MB)
    full = Holder()
    assert budget.reserve_response(full, 9 * MB)
    first, second, third = Holder(), Holder(), Holder()
    for holder, size in ((first, 4 * MB), (second, 4 * MB), (third, 4 * MB)):
        assert not budget.reserve_response(holder, size)
        budget.pause(holder, wanted=size)
    assert budget.resumable() == []
    budget.release(full)
    assert budget.resumable() == [first, second]
    assert first.bytes_by_use[UNREAD] == 4 * MB
    assert first.bytes_by_use[KERNEL] == 0
    budget.release(first)
    assert budget.resumable() == [third]


def test_waiting_responses_do_not_wait_for_each_other():
    """Guards against responses that hold, each in part, what the others wait for."""
    budget = MemoryBudget(limit=10 * MB)
    waiting = [Holder() for _ in range(4)]
    for holder in waiting:
        budget.hold(holder, UNREAD, 2 * MB)
        budget.pause(holder, wanted=9 * MB)
    for holder in waiting:
        assert budget.resumable() == [holder]
        budget.release(holder)
    assert budget.held == 0


def test_small_response_does_not_pass_a_large_one_that_waits():
    budget = MemoryBudget(limit=10 * MB)
    assert budget.reserve_response(Holder(), 8 * MB)
    large, small = Holder(), Holder()
    budget.pause(large, wanted=4 * MB)
    budget.pause(small, wanted=100)
    assert budget.resumable() == []


def test_slow_callers_are_cut_largest_first_until_the_rest_is_low_enough():
    budget = MemoryBudget(limit=10 * MB)
    small, large, middle = (slow_holder(budget, size * MB) for size in (1, 4, 2))
    normal = Holder()
    budget.hold(normal, UNREAD, 2 * MB)
    assert budget.to_cut() == [large]
    budget.hold(normal, UNREAD, 5 * MB)
    assert budget.to_cut() == [large]
    budget.hold(normal, UNREAD, 6 * MB)
    assert budget.to_cut() == [large, middle]


def test_caller_that_reads_is_never_cut():
    budget = MemoryBudget(limit=10 * MB)
    reader = Holder()
    for step in range(10):
        budget.hold(reader, WRITTEN, 9 * MB - step * 100_000)
        budget.measure(reader, 9 * MB - step * 100_000, float(step))
        assert budget.to_cut() == []
    budget.measure(reader, 8_099_999, 11.0)
    assert budget.to_cut() == [reader]


def test_caller_is_not_slow_while_the_operating_system_holds_what_it_reads():
    """Guards against cutting a caller whose write buffer shrinks in large steps."""
    budget = MemoryBudget(limit=10 * MB)
    reader = Holder()
    for step in range(10):
        unreceived = 11 * MB - step * 100_000
        budget.measure(reader, 9 * MB, float(step), unreceived=unreceived)
        assert budget.to_cut() == []


def test_caller_that_has_read_all_is_no_longer_slow():
    budget = MemoryBudget(limit=10 * MB)
    holder = slow_holder(budget, 9 * MB)
    budget.hold(holder, WRITTEN, 0)
    budget.hold(holder, UNREAD, 9 * MB)
    assert budget.to_cut() == []


def test_limit_leaves_out_what_the_process_needs():
    assert buffer_limit(0) is None
    assert 70 * MB < buffer_limit(160 * MB) < 80 * MB
    assert buffer_limit(160 * MB, process_bytes=60 * MB) < buffer_limit(160 * MB)
    assert buffer_limit(50 * MB) > 0
    assert MemoryBudget(limit=buffer_limit(552 * MB)).level == NORMAL


def receive(budget, waiting, *, size):
    """Receive responses without an announced size, in parts; return the complete."""
    part = 40_000
    complete = []
    reading = list(waiting)
    for _ in range(10_000):
        for holder in reading:
            unread = holder.bytes_by_use[UNREAD] + part
            budget.hold(holder, UNREAD, unread)
            if unread >= size:
                budget.release(holder)
                complete.append(holder)
            elif budget.must_pause(holder):
                budget.pause(holder)
        reading = [
            item
            for item in reading
            if item not in budget.paused and item not in complete
        ]
        reading += budget.resumable()
        if not reading:
            break
    return complete


def test_responses_of_unknown_size_do_not_wait_for_each_other():
    """Guards against responses that each wait for memory until their deadlines."""
    budget = MemoryBudget(limit=8 * MB)
    waiting = [Holder() for _ in range(4)]
    complete = receive(budget, waiting, size=3 * MB)
    assert set(complete) == set(waiting)
    assert (budget.held, budget.paused) == (0, {})


def test_response_of_unknown_size_is_paused_again_for_a_slow_caller():
    """Guards against a stream that is read without limit once it exceeded the limit."""
    budget = MemoryBudget(limit=8 * MB)
    stream, other = Holder(), Holder()
    budget.hold(other, BODY, 8 * MB)
    budget.hold(stream, UNREAD, 100_000)
    assert budget.must_pause(stream)
    budget.pause(stream)
    assert budget.resumable() == [stream]
    assert not budget.must_pause(stream)
    budget.hold(stream, WRITTEN, 20_000)
    assert budget.must_pause(stream)
    budget.pause(stream)
    assert budget.resumable() == []


def test_endless_responses_stay_within_the_limit():
    """Guards against a host that is killed since no response ever ends."""
    budget = MemoryBudget(limit=64 * MB)
    reading = [Holder() for _ in range(50)]
    failed = 0
    while reading:
        for holder in list(reading):
            unread = holder.bytes_by_use[UNREAD] + 40_000
            budget.hold(holder, UNREAD, unread)
            if not budget.may_ever_hold(unread, is_announced=False):
                budget.release(holder)
                reading.remove(holder)
                failed += 1
            elif budget.must_pause(holder):
                budget.pause(holder)
                reading.remove(holder)
            assert budget.held <= budget.limit
        reading += budget.resumable()
    assert failed == 50
    assert (budget.held, budget.paused) == (0, {})
