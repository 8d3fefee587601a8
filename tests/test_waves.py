"""Placement in waves of calls over many entries, against the former policy in the same play."""

from collections import Counter

from tests.waves import Wave

SECONDS = 9.9


def least_loaded(dispatcher):
    """Makes a dispatcher take the least loaded server, near ones first below 0.7 of their slots."""

    def choose(ticket, now):
        candidates = []
        for server in dispatcher.candidates(ticket.service):
            load = dispatcher._load_table.total(server.name)
            usable = server.name not in ticket.excluded and dispatcher.may_use(server.name, now)
            if usable and load.online < server.slots:
                busy = (load.online + load.batch) / server.slots
                online = load.online / server.slots
                far = server.data_centre != dispatcher._data_centre
                least = online if busy >= 1 else busy
                order = (busy >= 1, busy >= 0.7, far, least, dispatcher._random.random())
                candidates.append((order, server))
        return min(candidates, key=lambda pair: pair[0])[1] if candidates else None

    dispatcher.choose = choose


def by_ranks(dispatcher):
    """Makes a dispatcher compare free slots, then the distance, then the used slots of two."""

    def choose(ticket, now):
        best_rank, best = (True, True), []
        for server in dispatcher.candidates(ticket.service):
            load = dispatcher._load_table.total(server.name)
            usable = server.name not in ticket.excluded and dispatcher.may_use(server.name, now)
            if not usable or load.online >= server.slots:
                continue
            busy = load.online + load.batch >= server.slots
            rank = (busy, server.data_centre != dispatcher._data_centre)
            if rank < best_rank:
                best_rank, best = rank, []
            if rank == best_rank:
                best.append((load.online if busy else load.online + load.batch, server))
        if not best:
            return None
        chosen = dispatcher._choice_random.sample(best, min(2, len(best)))
        return min(chosen, key=lambda pair: pair[0])[1]

    dispatcher.choose = choose


def different_speeds(name, now):
    """Returns the slowness of servers that differ for good, two of which are slower in turn."""
    number = int(name[1:])
    turn = int(now / 2.2) * 7
    temporary = 2.5 + number % 6 / 2 if number in (turn % 26, (turn - 7) % 26) else 1.0
    return (0.59, 1.43, 1.0, 1.0)[number % 4] * temporary


def late_share(change):
    """Returns the share of calls whose first event is late, on servers of different speeds."""
    shares = [
        Wave(25, 26, 119.0, seed, change, different_speeds).play(2 * SECONDS).shares()
        for seed in (1, 2)
    ]
    return sum(1 - share["on time"] for share in shares) / len(shares)


def test_the_estimate_leaves_fewer_calls_late_on_servers_of_different_speeds():
    """Guards against filling the slow servers, which show free slots for longer."""
    assert late_share(lambda _: None) < 0.4 * late_share(by_ranks)


def sums(change):
    """Returns what callers got in three plays together."""
    total = Counter()
    for seed in (1, 2, 3):
        total.update(Wave(seed=seed, change=change).play(SECONDS).shares())
    return total


def test_fewer_calls_meet_a_full_server_at_the_front_of_a_wave():
    former, now = sums(least_loaded), sums(lambda _: None)
    assert now["rejected"] < 0.75 * former["rejected"]
    assert now["late"] < former["late"]
    assert now["items"] >= 0.95 * former["items"] and now["cut"] < former["cut"]
