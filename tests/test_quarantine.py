"""Which parts of prompts are held after crashes, by one member and by a fleet of them."""

import random

import pytest

from verbenashore.quarantine import (
    HOLD_SECONDS,
    MAX_CRASHES,
    MAX_HOLDS,
    MIN_INCIDENTS,
    MIN_INCIDENTS_IF_KNOWN,
    TRIAL_SECONDS,
    Crash,
    Evidence,
    Hold,
    Quarantine,
)
from verbenashore.trials import WIDENING_SECONDS


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


def crash(quarantine, clock, server, *parts, after=0.3):
    """Lets a server crash under a prompt some time later."""
    clock.now += after
    quarantine.record_crash(server, parts)


def test_the_part_that_crashes_have_in_common_is_held(clock):
    quarantine = Quarantine(clock, "m")
    crash(quarantine, clock, "s1", "a", "bad", "own-1")
    crash(quarantine, clock, "s2", "b", "bad", "own-2")
    assert quarantine.held_parts == []
    crash(quarantine, clock, "s3", "c", "bad", "own-3")
    assert quarantine.held_parts == ["bad"]
    assert quarantine.held_part(("d", "bad", "own-4")) == ("bad", HOLD_SECONDS)
    assert quarantine.held_part(("a", "own-5")) is None


def test_a_part_shared_by_all_prompts_is_cleared_by_the_answers_that_begin(clock):
    quarantine = Quarantine(clock, "m")
    for n in range(20):
        crash(quarantine, clock, f"s{n}", "all", f"own-{n}")
        clock.now += 0.2
        quarantine.record_answer(("all", f"sound-{n}"))
    assert quarantine.held_parts == []


@pytest.mark.parametrize("parts", [("all", "bad"), ("bad", "all")])
def test_of_parts_sent_together_the_one_no_answer_ever_began_with_is_held(clock, parts):
    quarantine = Quarantine(clock, "m")
    quarantine.record_answer(("all", "sound"))
    for n in range(MIN_INCIDENTS):
        crash(quarantine, clock, f"s{n}", *parts, f"own-{n}")
    assert quarantine.held_parts == ["bad"]


def test_servers_that_crash_together_count_as_one_incident(clock):
    quarantine = Quarantine(clock, "m")
    for incident in range(MIN_INCIDENTS - 1):
        for n in range(5):
            crash(quarantine, clock, f"s{incident}-{n}", "a", f"own-{incident}-{n}", after=0.001)
        clock.now += 1.0
    assert quarantine.held_parts == []


def test_a_mended_part_is_used_again_and_held_for_longer_if_it_still_crashes(clock):
    quarantine = Quarantine(clock, "m")
    for n in range(MIN_INCIDENTS):
        crash(quarantine, clock, f"s{n}", "bad", f"own-{n}")
    clock.now += HOLD_SECONDS
    assert quarantine.held_parts == []
    crash(quarantine, clock, "s8", "bad", "own-8")
    assert quarantine.held_part(("bad", "own")) == ("bad", 2 * HOLD_SECONDS)
    clock.now += 2 * HOLD_SECONDS
    crash(quarantine, clock, "s9", "bad", "own-10")
    assert quarantine.held_part(("bad", "own")) == ("bad", 4 * HOLD_SECONDS)
    quarantine.record_answer(("bad", "own-11"))
    assert quarantine.held_parts == []


def test_a_part_that_was_cleared_needs_as_many_crashes_as_any_known_one(clock):
    """Guards against a shared part that one plain crash holds, since it once was held by error."""
    quarantine = Quarantine(clock, "m")
    for n in range(MIN_INCIDENTS):
        crash(quarantine, clock, f"s{n}", "all", f"own-{n}")
    quarantine.record_answer(("all", "own"))
    clock.now += HOLD_SECONDS
    for n in range(MIN_INCIDENTS_IF_KNOWN - 1):
        crash(quarantine, clock, f"t{n}", "all", f"own-t{n}")
    assert quarantine.held_parts == []
    crash(quarantine, clock, "t9", "all", "own-t9")
    assert quarantine.held_part(("all", "own")) == ("all", 2 * HOLD_SECONDS)


def test_a_suspected_call_is_one_that_shares_an_unknown_part_with_another_crash(clock):
    quarantine = Quarantine(clock, "m")
    quarantine.record_answer(("all", "own-0"))
    crash(quarantine, clock, "s1", "all", "bad", "own-1")
    assert not quarantine.is_suspected(("all", "bad", "own-1")), "its own crash is no other one"
    assert quarantine.is_suspected(("all", "bad", "own-2"))
    assert not quarantine.is_suspected(("all", "other", "own-3"))
    quarantine.record_answer(("bad", "own-4"))
    assert not quarantine.is_suspected(("all", "bad", "own-2"))


def test_a_restarted_member_learns_what_is_held_and_until_when(clock):
    first, restarted = Quarantine(clock, "m"), Quarantine(clock, "m")
    for n in range(MIN_INCIDENTS):
        crash(first, clock, f"s{n}", "bad", f"own-{n}")
    clock.now += 10.0
    assert restarted.merge(first.evidence())
    assert restarted.held_part(("bad", "x")) == first.held_part(("bad", "x"))
    assert not restarted.merge(first.evidence()) and not first.merge(restarted.evidence())
    clock.now += HOLD_SECONDS
    assert restarted.held_parts == []


def test_an_answer_clears_a_held_part_at_all_members(clock):
    first, second = Quarantine(clock, "m"), Quarantine(clock, "m")
    for n in range(MIN_INCIDENTS):
        crash(first, clock, f"s{n}", "part", f"own-{n}")
    second.merge(first.evidence())
    clock.now -= 0.5  # The second member's clock is behind.
    assert second.record_answer(("part", "own"))
    clock.now += 0.5
    assert first.merge(second.evidence()) and first.held_parts == []
    assert not second.merge(first.evidence()) and second.held_parts == []


def test_members_with_much_evidence_agree_and_then_stay_quiet(clock):
    members = [Quarantine(clock, f"m{n}") for n in range(3)]
    for n in range(3 * MAX_CRASHES):
        crash(members[n % 3], clock, f"s{n}", f"a{n}", f"b{n}", f"own-{n}", after=0.01)
    for _ in range(3):
        for member in members:
            for other in members:
                member.merge(other.evidence())
    assert len({tuple(member.evidence().crashes) for member in members}) == 1
    assert len(members[0].evidence().crashes) == MAX_CRASHES
    assert not any(member.merge(other.evidence()) for member in members for other in members)


class Calls:
    """Calls at members that place them on servers, some of which crash; time advances in steps.

    A crash breaks all calls on the server.  A call whose answer had not begun runs on a second
    server, unless it is suspected, and then comes again once, at another member.

    :param deadly: share of the calls that have the deadly part.
    :param crashes: returns the servers that crash for another reason at a step.
    """

    STEP_SECONDS = 0.01
    BEGIN_STEPS, RUN_STEPS, DOWN_STEPS, SHARE_STEPS = 4, 70, 300, 4
    CONTACT_SECONDS = 3.0

    def __init__(self, seed, deadly, crashes=lambda _step: (), members=8, servers=9, per_second=28):
        self.random = random.Random(seed)
        self.clock = Clock()
        self.members = [Quarantine(self.clock, f"m{n}") for n in range(members)]
        self.deadly, self.crashes, self.per_second = deadly, crashes, per_second
        self.up_at = [0] * servers
        self.lifetime = [0] * servers
        self.running = []
        self.deadly_crashes_at = []
        self.sent_late = 0
        self.held = set()
        self.refused_sound = self.sound = 0

    def play(self, seconds):
        """Plays some seconds; returns this object."""
        for step in range(int(seconds / self.STEP_SECONDS)):
            self.clock.now += self.STEP_SECONDS
            if self.random.random() < self.per_second * self.STEP_SECONDS:
                self._send(step, self.random.choice(self.members), self._prompt(step), attempts=2)
            self._advance(step)
            self._crash(step, self.crashes(step))
            if step % self.SHARE_STEPS == 0:
                root, *children = self.members
                for child in children:
                    root.merge(child.evidence())
                    child.merge(root.evidence())
            for member in self.members:
                self.held.update(member.held_parts)
        return self

    def _prompt(self, step):
        own = f"own-{step}"
        first = f"first-{self.random.randrange(20)}"
        second = f"second-{self.random.randrange(344)}"
        if self.random.random() < self.deadly:
            return (first, second, "deadly", own)
        return (first, second, own)

    def _send(self, step, member, prompt, attempts, runs=0, excluded=None):
        sound = "deadly" not in prompt
        self.sound += sound and not runs
        if member.held_part(prompt):
            self.refused_sound += sound
            return
        free = [n for n, up_at in enumerate(self.up_at) if step >= up_at and n != excluded]
        if free:
            crashes = self.deadly_crashes_at
            in_time = len(crashes) < 5 or self.clock.now <= crashes[4] + self.CONTACT_SECONDS
            self.sent_late += not sound and not in_time
            server = self.random.choice(free)
            self.running.append([step, server, member, prompt, attempts, runs + 1])

    def _advance(self, step):
        for call in list(self.running):
            age = step - call[0]
            if age == self.BEGIN_STEPS and "deadly" in call[3] and call in self.running:
                self.deadly_crashes_at.append(self.clock.now)
                self._crash(step, [call[1]])
            elif age == self.BEGIN_STEPS and call in self.running:
                call[2].record_answer(call[3])
            elif age >= self.RUN_STEPS and call in self.running:
                self.running.remove(call)

    def _crash(self, step, servers):
        broken = [call for call in self.running if call[1] in servers]
        self.running = [call for call in self.running if call[1] not in servers]
        for server in servers:
            self.lifetime[server] += 1
            self.up_at[server] = step + self.DOWN_STEPS
        for start, server, member, prompt, attempts, runs in broken:
            if step - start > self.BEGIN_STEPS:
                continue
            member.record_crash(f"{server}-{self.lifetime[server]}", prompt)
            if runs < 2 and not member.is_suspected(prompt):
                self._send(step, member, prompt, attempts, runs, server)
            elif attempts > 1:
                self._send(step, self.random.choice(self.members), prompt, attempts - 1)


@pytest.mark.parametrize("seed", range(12))
def test_a_deadly_part_reaches_few_servers_and_no_sound_part_is_held(seed):
    """Guards against calls with one part that crash server after server."""
    calls = Calls(seed, deadly=0.05).play(40.0)
    assert "deadly" in calls.held
    assert calls.sent_late <= 3
    assert calls.held == {"deadly"}
    assert calls.refused_sound == 0


@pytest.mark.parametrize("seed", range(12))
def test_crashes_of_many_servers_hold_nothing(seed):
    """Guards against innocent parts that are held since they were on servers that crashed."""
    rng = random.Random(1000 + seed)

    def crashes(step):
        if step % 400 == 0:
            return range(9)
        return [rng.randrange(9)] if rng.random() < 0.01 else []

    calls = Calls(seed, deadly=0.0, crashes=crashes).play(40.0)
    assert calls.held == set() and calls.refused_sound == 0


def test_a_server_that_crashes_again_under_its_old_name_counts_again(clock):
    quarantine = Quarantine(clock, "m")
    for n in range(MIN_INCIDENTS):
        crash(quarantine, clock, "s", f"a{n}", "bad", f"own-{n}")
    assert quarantine.held_parts == ["bad"]


def test_a_crash_without_a_prompt_from_another_member_is_ignored(clock):
    quarantine = Quarantine(clock, "m")
    assert not quarantine.merge(Evidence([Crash("s", (), clock.now)]))
    for n in range(MIN_INCIDENTS):
        crash(quarantine, clock, f"s{n}", "bad", f"own-{n}")
    assert quarantine.held_parts == ["bad"]


def test_a_new_hold_is_kept_beside_many_longer_ones(clock):
    """Guards against a judgement that never ends, since each hold it makes is dropped at once."""
    quarantine = Quarantine(clock, "m")
    long_hold = Hold(clock.now, clock.now + 10 * HOLD_SECONDS, 4, False)
    quarantine.merge(Evidence(hold_by_part={f"old-{n}": long_hold for n in range(MAX_HOLDS)}))
    for n in range(MIN_INCIDENTS):
        crash(quarantine, clock, f"s{n}", "bad", f"own-{n}")
    assert "bad" in quarantine.held_parts
    assert len(quarantine.evidence().hold_by_part) == MAX_HOLDS


def test_after_a_hold_one_call_at_a_time_tries_the_part(clock):
    """Guards against a burst of calls or items that all start when a hold ends."""
    quarantine = Quarantine(clock, "m")
    for n in range(MIN_INCIDENTS):
        crash(quarantine, clock, f"s{n}", "bad", f"own-{n}")
    clock.now += HOLD_SECONDS + WIDENING_SECONDS
    assert quarantine.held_part(("bad", "first")) is None
    quarantine.record_start(("bad", "first"))
    assert quarantine.held_part(("bad", "second")) == ("bad", TRIAL_SECONDS)
    clock.now += TRIAL_SECONDS
    assert quarantine.held_part(("bad", "second")) is None
    quarantine.record_start(("bad", "second"))
    quarantine.record_answer(("bad", "second"))
    assert quarantine.held_part(("bad", "third")) is None


def test_members_do_not_all_try_a_part_at_the_moment_its_hold_ends(clock):
    """Guards against eight members that crash eight servers in a row, or at once."""
    members = [Quarantine(clock, f"m{n}") for n in range(8)]
    for n in range(MIN_INCIDENTS):
        crash(members[0], clock, f"s{n}", "bad", f"own-{n}")
    crashes = 0
    for _ in range(20):
        for member in members[1:]:
            members[0].merge(member.evidence())
        for member in members:
            member.merge(members[0].evidence())
        clock.now += 0.5
        for n, member in enumerate(members):
            if member.held_part(("bad", "x")) is None:
                member.record_start(("bad", "x"))
                member.record_crash(f"t{crashes}", ("bad", f"own-{crashes}-{n}"))
                crashes += 1
        if crashes == 0:
            clock.now += 5.0
    assert 1 <= crashes <= 2
