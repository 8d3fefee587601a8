"""The memory and descriptors that clients may use, without a network."""

import pytest

from verbenashore.budget import (
    CONNECTION_BYTES,
    PAGE_DESCRIPTORS,
    PAGE_STALLED_SECONDS,
    REPORT_SECONDS,
    SEARCH_SECONDS,
    STALLED_SECONDS,
    Account,
    Budget,
    ClientState,
    Limit,
)

MEMORY_MB, MAX_FDS = 128, 1638
IDLE_SECONDS = 15.0


class Clients:
    """A budget, and connections that fill it.

    :param now: the time.
    :param closed: the connections that were closed to make room.
    :param reports: each limit that was reported, with its count.
    """

    def __init__(self, max_fds=MAX_FDS):
        self.now = 0.0
        self.closed = []
        self.reports = []
        self.budget = Budget(
            MEMORY_MB, max_fds, lambda: self.now, lambda *report: self.reports.append(report)
        )
        self.callers = self.budget.add_group()
        self.pages = self.budget.add_group(is_page=True)

    def make(self, peer="a", group=None):
        """Returns an account that isn't counted yet."""
        account = Account(
            group or self.callers, peer, lambda: self.closed.append(account), self.now, IDLE_SECONDS
        )
        return account

    def open(self, peer="a", group=None, *, served=False):
        """Opens a connection; returns None if it was refused."""
        account = self.make(peer, group)
        if not self.budget.open(account):
            return None
        if served:
            assert self.budget.start_request(account)
            self.budget.end_request(account)
            self.budget.set_state(account, ClientState.IDLE)
        return account

    def fill(self, peer="a", *, served=False):
        """Opens connections of several addresses until one descriptor is left for callers."""
        count = self.callers.descriptor_limit - self.callers.descriptors - 1
        return [self.open(f"{peer}-{n % 9}", served=served) for n in range(count)]


def test_connections_and_running_requests_stay_under_the_limit_of_the_instance():
    """Guards against a failed accept, or a call without a connection to a backend server."""
    clients = Clients()
    running = 0
    while account := clients.open():
        running += clients.budget.start_request(account)
    assert clients.budget.connections + running <= MAX_FDS - 200
    assert (Limit.SERVER_DESCRIPTORS, 1) in clients.reports


def test_a_page_is_served_while_callers_use_everything():
    """Guards against an instance that is taken out of service since its page does not answer."""
    clients = Clients()
    for account in clients.fill():
        clients.budget.hold(account, 1 << 20)
    assert clients.open("last") and clients.open("too many") is None
    for _ in range(PAGE_DESCRIPTORS // 2):
        page = clients.open("probe", clients.pages)
        assert clients.budget.start_request(page)
    assert not clients.closed


def test_connections_that_never_had_a_request_are_closed_first():
    clients = Clients()
    used = [clients.open(f"p-{n}", served=True) for n in range(10)]
    clients.now = 1.0
    clients.fill("q")
    clients.open("last")
    clients.now = IDLE_SECONDS
    assert clients.open("new")
    assert clients.closed and not any(account in clients.closed for account in used)


def test_a_connection_idle_for_four_fifths_of_its_timeout_survives():
    """Guards clients within the limits against a crowd: the newcomer is refused instead."""
    clients = Clients()
    clients.fill(served=True)
    clients.now = IDLE_SECONDS * 0.79
    assert clients.open("last") and clients.open("new") is None and not clients.closed
    clients.now = IDLE_SECONDS * 0.81
    assert clients.open("new") and clients.closed


def test_one_address_with_most_of_the_connections_cannot_keep_others_out():
    clients = Clients()
    other = clients.open("other", served=True)
    while len(clients.closed) == 0 and clients.callers.descriptors < 1100:
        clients.open("greedy", served=True)
    while clients.callers.descriptors < clients.callers.descriptor_limit:
        running = clients.open("busy")
        clients.budget.start_request(running)
    clients.now = 1.0
    assert clients.open("new")
    assert clients.closed and {account.peer for account in clients.closed} == {"greedy"}
    assert other not in clients.closed


@pytest.mark.parametrize("state", [ClientState.RECEIVING, ClientState.SENDING])
def test_a_stalled_connection_is_closed_only_for_want_of_room_and_a_running_one_never(state):
    clients = Clients()
    accounts = clients.fill()
    for account in accounts:
        clients.budget.set_state(account, ClientState.RUNNING)
    clients.budget.set_state(accounts[7], state)
    clients.now = STALLED_SECONDS * 0.9
    clients.budget.set_state(clients.open("last"), ClientState.RUNNING)
    assert clients.open("new") is None
    clients.now = STALLED_SECONDS * 1.1
    assert clients.open("new")
    assert clients.closed == [accounts[7]]


def test_large_requests_leave_memory_for_small_ones_and_new_requests_are_refused_at_the_limit():
    clients = Clients()
    first, second, small = clients.open(), clients.open(), clients.open()
    assert clients.budget.try_hold(second, 1000)
    while clients.budget.try_hold(first, 1 << 20):
        pass
    assert not clients.budget.try_hold(second, 1 << 20)
    assert clients.budget.try_hold(small, 1000) and clients.budget.start_request(small)
    clients.budget.hold(first, clients.budget.memory_limit)
    assert not clients.budget.start_request(second)
    assert clients.reports == [(Limit.MEMORY, 1)]


def test_a_single_request_is_served_whatever_its_size():
    clients = Clients()
    account = clients.open()
    assert clients.budget.try_hold(account, 1 << 30)
    clients.budget.close(account)
    assert clients.budget.held_bytes == 0 and clients.open()
    assert clients.budget.held_bytes == CONNECTION_BYTES


def test_of_answers_that_wait_for_room_the_largest_goes_on():
    """Guards against answers that wait for each other until their calls time out."""
    clients = Clients()
    budget = clients.budget
    with budget.answer() as first, budget.answer() as second:
        assert not budget.keep_part(second, 1 << 20)
        assert not budget.keep_part(first, budget.memory_limit)
        assert budget.keep_part(second, 1)
        assert not budget.keep_part(first, 1)
    assert budget.held_bytes == 0


def test_a_limit_that_is_reached_often_is_reported_with_its_count():
    clients = Clients()
    for _ in range(100):
        clients.budget.report(Limit.MEMORY)
    clients.now = REPORT_SECONDS
    clients.budget.report(Limit.MEMORY)
    assert clients.reports == [(Limit.MEMORY, 1), (Limit.MEMORY, 100)]


def test_a_search_in_vain_does_not_delay_searches_among_other_connections():
    """Guards callers who are refused since a page or a request for memory found nothing."""
    clients = Clients()
    clients.fill()
    clients.open("last")
    clients.now = 1.0
    probe = clients.open("probe", clients.pages)
    clients.budget.make_room(probe)
    while clients.open("probe", clients.pages):
        pass
    assert not clients.closed
    assert clients.open("new") and clients.closed


def test_slow_clients_of_a_page_make_room_for_a_probe_after_half_a_second():
    """Guards against an instance that is taken out of service since its page does not answer."""
    clients = Clients()
    caller = clients.open()
    clients.budget.set_state(caller, ClientState.RECEIVING)
    while slow := clients.open("slow", clients.pages):
        clients.budget.set_state(slow, ClientState.RECEIVING)
    clients.now = PAGE_STALLED_SECONDS * 0.9
    assert clients.open("probe", clients.pages) is None
    clients.now = PAGE_STALLED_SECONDS * 1.1 + SEARCH_SECONDS
    assert clients.open("probe", clients.pages)
    assert clients.closed and caller not in clients.closed
