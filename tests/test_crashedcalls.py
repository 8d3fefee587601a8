"""Which requests are refused after crashes, by one member and by a fleet of them."""

import random

import msgspec
import pytest

from verbenashore import trials
from verbenashore.crashedcalls import (
    HOLD_SECONDS,
    ITEM_WAIT_SECONDS,
    MAX_ITEM_WAIT_SECONDS,
    MAX_RECORDS,
    SUSPICION_SECONDS,
    CrashedCalls,
    Records,
)
from verbenashore.fingerprints import Identity


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    """A clock that tests advance."""
    return Clock()


def request(name):
    """Returns the identity of a call without a prompt."""
    return Identity("GET", "h", f"/{name}", None, [], b"")


def crash(member, clock, name, server, *, begun=False):
    """Lets a server crash under a request some time later."""
    clock.now += 0.3
    member.record_crash(request(name), server, begun=begun)


def is_held(member, name):
    """Returns whether a member refuses a request now."""
    return member.held_request(request(name)) is not None


def test_a_request_is_held_after_two_crashes_and_no_other_is(clock):
    member = CrashedCalls(clock, "m")
    crash(member, clock, "bad", "s1")
    assert not is_held(member, "bad")
    crash(member, clock, "bad", "s2")
    assert member.held_request(request("bad"))[1] == HOLD_SECONDS[0]
    assert not is_held(member, "sound")


def test_a_crash_that_several_calls_saw_counts_once(clock):
    member = CrashedCalls(clock, "m")
    crash(member, clock, "bad", "s1")
    member.record_crash(request("bad"), "s1", begun=False)
    assert not is_held(member, "bad")


def test_copies_of_a_request_on_servers_that_crash_together_count_once(clock):
    """Guards a request that many send, when a rack of servers is lost."""
    member = CrashedCalls(clock, "m")
    for server in ("s1", "s2", "s3"):
        member.record_crash(request("popular"), server, begun=False)
        clock.now += 0.001
    assert not is_held(member, "popular")
    crash(member, clock, "popular", "s4")
    assert member.held_request(request("popular"))[1] == HOLD_SECONDS[0]


def test_a_call_that_crashes_two_servers_at_once_is_held(clock):
    member = CrashedCalls(clock, "m")
    member.record_crash(request("bad"), "s1", begun=False)
    clock.now += 0.001
    member.record_crash(request("bad"), "s2", begun=False, again=True)
    assert is_held(member, "bad")


def test_one_crash_that_members_saw_by_clocks_that_differ_counts_once(clock):
    members = [CrashedCalls(clock, f"m{n}") for n in range(2)]
    members[0].record_crash(request("sound"), "s1", begun=False)
    clock.now += 1.9
    members[1].record_crash(request("sound"), "s1", begun=False)
    share(members)
    assert not any(is_held(member, "sound") for member in members)


def test_calls_whose_answers_had_begun_are_held_one_crash_later(clock):
    member = CrashedCalls(clock, "m")
    crash(member, clock, "long", "s1", begun=True)
    crash(member, clock, "long", "s2", begun=True)
    assert not is_held(member, "long")
    crash(member, clock, "long", "s3", begun=True)
    assert is_held(member, "long")


def test_an_answer_between_two_crashes_ends_the_suspicion(clock):
    member = CrashedCalls(clock, "m")
    crash(member, clock, "sound", "s1")
    assert member.record_answer(request("sound"))
    crash(member, clock, "sound", "s2")
    assert not is_held(member, "sound")


def test_a_request_is_tried_three_times_at_most_within_a_day_of_its_third_crash(clock):
    """Guards against trials of a held request that go on for as long as it comes."""
    members = [CrashedCalls(clock, f"m{n}") for n in range(8)]
    for server in ("s1", "s2", "s3"):
        crash(members[0], clock, "bad", server)
    runs, ends = 0, clock.now + 24 * 3600.0
    while clock.now < ends:
        share(members)
        clock.now += 0.5
        member = members[int(clock.now * 2) % 8]
        if not is_held(member, "bad"):
            assert member.record_start(request("bad"))
            runs += 1
            crash(member, clock, "bad", f"t{runs}")
    assert 1 <= runs <= 3


@pytest.mark.parametrize("seconds", [300.0, 601.0, 3600.0])
def test_a_request_that_comes_seldom_and_runs_once_each_time_is_held(clock, seconds):
    """Guards against a request whose first crash is forgotten before it comes again."""
    member = CrashedCalls(clock, "m")
    runs, ends = 0, clock.now + 24 * 3600.0
    while clock.now < ends:
        clock.now += seconds
        assert isinstance(member.digest, int)
        if not is_held(member, "bad"):
            member.record_start(request("bad"))
            runs += 1
            crash(member, clock, "bad", f"s{runs}")
    assert runs <= 6


def test_a_trial_that_is_not_answered_is_not_repeated_at_once(clock):
    member = CrashedCalls(clock, "m")
    crash(member, clock, "bad", "s1")
    crash(member, clock, "bad", "s2")
    clock.now += HOLD_SECONDS[0] + trials.WIDENING_SECONDS
    assert member.record_start(request("bad"))
    clock.now += HOLD_SECONDS[1] - 1.0
    assert is_held(member, "bad")


def test_an_answered_trial_clears_the_request_at_all_members(clock):
    members = [CrashedCalls(clock, f"m{n}") for n in range(3)]
    crash(members[0], clock, "mended", "s1")
    crash(members[1], clock, "mended", "s2")
    share(members)
    assert all(is_held(member, "mended") for member in members)
    clock.now += HOLD_SECONDS[0] + trials.WIDENING_SECONDS
    members[2].record_start(request("mended"))
    clock.now -= 2.0  # Its clock is behind.
    assert members[2].record_answer(request("mended"))
    clock.now += 2.0
    share(members)
    share(members)
    assert not any(is_held(member, "mended") for member in members)
    assert len({member.digest for member in members}) == 1


def test_a_member_that_was_cut_off_or_restarted_learns_what_is_held_and_until_when(clock):
    first, returned = CrashedCalls(clock, "m1"), CrashedCalls(clock, "m2")
    for server in ("s1", "s2", "s3"):
        crash(first, clock, "bad", server)
    assert first.digest != returned.digest
    records = msgspec.msgpack.decode(msgspec.msgpack.encode(first.records()), type=Records)
    assert returned.merge(records) and not returned.merge(records)
    assert first.digest == returned.digest
    assert returned.held_request(request("bad")) == first.held_request(request("bad"))


def test_members_with_many_crashes_agree_and_keep_what_is_held(clock):
    """Guards against a crash of many servers that crowds out a held request."""
    members = [CrashedCalls(clock, f"m{n}") for n in range(3)]
    crash(members[0], clock, "bad", "s1")
    crash(members[0], clock, "bad", "s2")
    for n in range(3 * MAX_RECORDS):
        members[n % 3].record_crash(request(f"sound-{n}"), f"s{n // 8}", begun=False)
        clock.now += 0.001
    for _ in range(3):
        share(members)
    assert len({member.digest for member in members}) == 1
    assert all(is_held(member, "bad") for member in members)
    assert len(members[0].records()) == MAX_RECORDS


def test_a_request_that_met_one_crash_is_forgotten(clock):
    member = CrashedCalls(clock, "m")
    crash(member, clock, "sound", "s1")
    clock.now += SUSPICION_SECONDS
    assert member.digest == 0 and member.records() == {}


def test_an_item_that_met_crashes_waits_but_not_for_those_of_a_held_request(clock):
    """Guards items that run beside a request that crashes their servers, and are still owed."""
    member = CrashedCalls(clock, "m")
    crash(member, clock, "bad", "s1")
    crashes = [member.item_crash("s1")]
    assert member.item_wait(crashes) <= 0.0
    clock.now += 3.0
    crashes.append(member.item_crash("s2"))
    assert member.item_wait(crashes) == ITEM_WAIT_SECONDS
    member.record_crash(request("bad"), "s2", begun=False)
    assert member.item_wait(crashes) <= 0.0
    for n in range(3):
        crashes.append(member.item_crash(f"other-{n}"))
    assert member.item_wait(crashes) == 2 * ITEM_WAIT_SECONDS


def test_an_item_that_met_crashes_runs_again_within_20_seconds(clock):
    """Guards an item that is still owed, on a service whose servers are idle again."""
    member, crashes = CrashedCalls(clock, "m"), []
    for n in range(12):
        crashes.append(member.item_crash(f"s{n}"))
        assert member.item_wait(crashes) < 20.0
        clock.now += 20.0


def test_an_item_that_met_very_many_crashes_still_has_a_wait(clock):
    """Guards the leader, which an error in a pass over the items would end."""
    member = CrashedCalls(clock, "m")
    assert member.item_wait([member.item_crash("s1")] * 1100) == MAX_ITEM_WAIT_SECONDS


def share(members):
    """Lets the members tell each other what they know."""
    root, *children = members
    for child in children:
        if child.digest != root.digest:
            root.merge(child.records())
            child.merge(root.records())


class Calls:
    """Calls at members that place them on servers, some of which crash; time advances in steps.

    A crash breaks all calls on the server.  A broken call runs on a second server, unless its
    request is held, and then comes again once, at another member.

    :param deadly: how many requests crash each server that runs them.
    :param deadly_per_second: how often one of them comes.
    :param crashes: returns the servers that crash for another reason at a step.
    """

    STEP_SECONDS = 0.01
    CRASH_STEPS, DOWN_STEPS, SHARE_STEPS = 10, 300, 2
    CONTACT_SECONDS = 3.0

    def __init__(self, seed, deadly, deadly_per_second, crashes=lambda _step: (), servers=6):
        self.random = random.Random(seed)
        self.clock = Clock()
        self.members = [CrashedCalls(self.clock, f"m{n}") for n in range(8)]
        self.deadly, self.deadly_per_second, self.crashes = deadly, deadly_per_second, crashes
        self.up_at = [0] * servers
        self.lifetime = [0] * servers
        self.running = []
        self.crashes_at = {}
        self.sent_late = {}
        self.sound = self.refused_sound = 0

    def play(self, seconds):
        """Plays some seconds; returns this object."""
        for step in range(int(seconds / self.STEP_SECONDS)):
            self.clock.now += self.STEP_SECONDS
            if self.random.random() < 20.0 * self.STEP_SECONDS:
                self._send(step, f"sound-{step}", attempts=2)
            if self.random.random() < self.deadly_per_second * self.STEP_SECONDS:
                self._send(step, f"deadly-{self.random.randrange(self.deadly)}", attempts=2)
            self._advance(step)
            self._crash(step, self.crashes(step))
            if step % self.SHARE_STEPS == 0:
                share(self.members)
        return self

    def _send(self, step, name, attempts, runs=0, excluded=None, member=None):
        member = member or self.random.choice(self.members)
        is_sound = name.startswith("sound")
        self.sound += is_sound
        if is_held(member, name):
            self.refused_sound += is_sound
            return
        free = [n for n, up_at in enumerate(self.up_at) if step >= up_at and n != excluded]
        if free:
            member.record_start(request(name))
            crashes = self.crashes_at.get(name, [])
            if len(crashes) >= 3 and self.clock.now > crashes[2] + self.CONTACT_SECONDS:
                self.sent_late[name] = self.sent_late.get(name, 0) + 1
            self.running.append([step, self.random.choice(free), member, name, attempts, runs + 1])

    def _advance(self, step):
        for call in list(self.running):
            name, age = call[3], step - call[0]
            if call not in self.running or age < self.CRASH_STEPS:
                continue
            if name.startswith("deadly"):
                self.crashes_at.setdefault(name, []).append(self.clock.now)
                self._crash(step, [call[1]])
            else:
                self.running.remove(call)
                call[2].record_answer(request(name))

    def _crash(self, step, servers):
        broken = [call for call in self.running if call[1] in servers]
        self.running = [call for call in self.running if call[1] not in servers]
        for server in servers:
            self.lifetime[server] += 1
            self.up_at[server] = step + self.DOWN_STEPS
        for _, server, member, name, attempts, runs in broken:
            member.record_crash(request(name), f"{server}-{self.lifetime[server]}", begun=False)
            if runs < 2:
                self._send(step, name, attempts, runs, server, member)
            elif attempts > 1:
                self._send(step, name, attempts - 1)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize(("deadly", "per_second"), [(1, 0.3), (1, 20.0), (5, 2.0)])
def test_a_request_that_crashes_servers_reaches_few_of_them(seed, deadly, per_second):
    """Guards against one request, of any kind, that crashes server after server."""
    calls = Calls(seed, deadly, per_second).play(150.0)
    assert all(count <= 3 for count in calls.sent_late.values())
    assert calls.refused_sound <= 0.01 * calls.sound


@pytest.mark.parametrize("seed", range(12))
def test_crashes_of_many_servers_hold_few_sound_requests(seed):
    """Guards sound requests that are refused since they ran on servers that crashed."""
    rng = random.Random(1000 + seed)

    def crashes(step):
        if step % 400 == 0:
            return range(6)
        return [rng.randrange(6)] if rng.random() < 0.005 else []

    calls = Calls(seed, 1, 0.0, crashes).play(60.0)
    assert calls.refused_sound <= 0.005 * calls.sound
