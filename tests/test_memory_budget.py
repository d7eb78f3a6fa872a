"""Tests of the memory budget, with a manual clock."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from hickorythread import memory_budget
from tests import servers

CAPACITY = 10_000_000
SIZES = strategies.integers(0, CAPACITY)
USES = strategies.sampled_from(memory_budget.USES)


def make_budget(capacity=CAPACITY):
    clock = servers.ManualClock()
    return memory_budget.MemoryBudget(capacity, clock.monotonic), clock


def take_slow(budget, size, slow_after, ended, use=memory_budget.IN_HAND):
    """Return a hold that waits for its peer, and notes its end."""
    hold = budget.take(size, use)

    def end():
        ended.append(hold)
        hold.release()

    hold.wait_for_peer(end, slow_after)
    return hold


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Take and give back at random, with peers that move or stall."""

    holds = stateful.Bundle("holds")

    def __init__(self):
        super().__init__()
        self.budget, self.clock = make_budget()
        self.taken = []

    @stateful.rule(target=holds, size=SIZES, use=USES)
    def take(self, size, use):
        hold = self.budget.take(size, use)
        if hold is None:
            assert not self.budget.has_room(size, use)
            hold = self.budget.hold()
        self.taken.append(hold)
        assert not hold.size or self.budget.used <= use.share * CAPACITY
        return hold

    @stateful.rule(hold=holds, size=SIZES, use=USES)
    def grow(self, hold, size, use):
        before = hold.size
        if hold.grow(size, use):
            assert self.budget.used <= use.share * CAPACITY
        else:
            assert hold.size in (0, before)

    @stateful.rule(hold=holds, size=SIZES)
    def shrink(self, hold, size):
        hold.shrink(size)

    @stateful.rule(hold=holds, seconds=strategies.sampled_from([2.0, 5.0]))
    def wait_for_peer(self, hold, seconds):
        hold.wait_for_peer(hold.release, seconds)

    @stateful.rule(hold=holds, size=SIZES)
    def progress(self, hold, size):
        hold.progress(size)

    @stateful.rule(hold=holds)
    def release(self, hold):
        hold.release()

    @stateful.rule(seconds=strategies.floats(0.0, 6.0))
    def let_time_pass(self, seconds):
        self.clock.now += seconds
        self.budget.update(self.clock.now)

    @stateful.invariant()
    def sum_is_counted_and_never_passes_the_capacity(self):
        assert self.budget.used == sum(hold.size for hold in set(self.taken))
        assert 0 <= self.budget.used <= CAPACITY

    @stateful.invariant()
    def only_waiting_holds_have_an_end(self):
        assert all(hold.on_end for hold in self.budget.waiting)

    def teardown(self):
        for hold in self.taken:
            hold.release()
        assert self.budget.used == 0 and not self.budget.waiting


BudgetMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestBudgetMachine = BudgetMachine.TestCase


def test_small_bodies_and_answers_have_a_reserve():
    """Guards against large bodies that leave no room for small requests."""
    budget, _ = make_budget()
    while budget.take(1_000_000, memory_budget.LARGE_BODY):
        pass
    while budget.take(1_000, memory_budget.SMALL_BODY):
        pass
    assert budget.used == 8_000_000
    assert budget.take(1_000_000, memory_budget.IN_HAND)


def test_slow_senders_end_before_slow_readers_and_only_as_needed():
    """Guards against answers that are cut although a sender is slow."""
    budget, clock = make_budget()
    ended = []
    reader = take_slow(
        budget, 4_000_000, memory_budget.SLOW_READER_SECONDS, ended
    )
    clock.now += 10.0
    sender = take_slow(
        budget, 5_000_000, memory_budget.SLOW_SENDER_SECONDS, ended
    )
    clock.now += 10.0
    assert budget.take(1_000_000, memory_budget.LARGE_BODY)
    assert ended == [sender]
    assert budget.take(1_500_000, memory_budget.LARGE_BODY)
    assert ended == [sender, reader]


def test_peer_that_moves_is_not_ended():
    """Guards against the end of a body that arrives at a usual rate."""
    budget, clock = make_budget()
    ended = []
    hold = take_slow(budget, 9_000_000, 2.0, ended)
    for _ in range(10):
        clock.now += 1.0
        hold.progress(memory_budget.PROGRESS_BYTES)
        assert budget.take(2_000_000, memory_budget.IN_HAND) is None
    clock.now += 1.5
    hold.progress(memory_budget.PROGRESS_BYTES - 1)
    clock.now += 0.6
    assert budget.take(2_000_000, memory_budget.IN_HAND)
    assert ended == [hold]


def test_no_peer_is_ended_for_bytes_that_cannot_fit():
    """Guards against a huge announced body that ends all slow peers."""
    budget, clock = make_budget()
    ended = []
    take_slow(budget, 1_000_000, 2.0, ended)
    clock.now += 5.0
    assert budget.take(CAPACITY, memory_budget.LARGE_BODY) is None
    assert not ended


def test_budget_binds_from_a_refusal_until_there_is_room():
    """Guards against a state that flaps with every refused request."""
    budget, clock = make_budget()
    ended = []
    take_slow(budget, 6_000_000, 2.0, ended, memory_budget.LARGE_BODY)
    assert budget.take(1_000, memory_budget.LARGE_BODY) is None
    assert budget.binding and budget.refused[memory_budget.LARGE_BODY] == 1
    clock.now += 1.5
    budget.update(clock.now)
    assert budget.binding and not ended
    clock.now += 1.0
    budget.update(clock.now)
    assert budget.binding and len(ended) == budget.reclaimed == 1
    clock.now += memory_budget.CALM_SECONDS
    budget.update(clock.now)
    assert not budget.binding


@pytest.mark.parametrize("memory_mb", [96, 128, 200, 300, 552])
def test_shares_stay_below_the_memory_of_the_process(memory_mb):
    """Guards against shares that add up to more than the setting."""
    budget = memory_budget.MemoryBudget.from_memory(memory_mb, float)
    connections = memory_budget.max_connections(memory_mb)
    total = budget.capacity + connections * memory_budget.CONNECTION_BYTES
    assert total < memory_mb * 0.8 * memory_budget.MIB
    # The largest body that any configuration allows fits.
    assert budget.has_room(1_800_000, memory_budget.LARGE_BODY)
