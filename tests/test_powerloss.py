"""What a replica has stored survives losses of power in any operation, one after the other."""

import os
import random

import pytest

from tests.group import entry
from tests.powerloss import LossyDisk, PowerLossError
from verbenashore import storage
from verbenashore.replication import Base, HardState
from verbenashore.storage import Snapshot

SEEDS = range(2000 if os.environ.get("VERBENA_SOAK") else 150)


class Stored:
    """The hard state, the snapshot and the log that the disk must hold."""

    def __init__(self):
        self.hard = HardState()
        self.base = Base()
        self.log = []

    def copy(self):
        twin = Stored()
        twin.hard, twin.base, twin.log = self.hard, self.base, list(self.log)
        return twin

    def append(self, entries):
        for new in entries:
            self.log = [old for old in self.log if old.index < new.index] + [new]

    def view(self):
        log = [(old.index, old.term) for old in self.log if old.index > self.base.index]
        return self.hard, (self.base.index, self.base.term), log


class Replay:
    """A random sequence of the operations of one replica, and the states it may be in after each.

    :param possible: the states that the disk may hold while an operation is under way.
    """

    def __init__(self, path, seed, disk):
        self.path, self.random, self.disk = path, random.Random(seed), disk
        self.folder, _ = storage.open_folder(path)
        self.stored = Stored()
        self.possible = [self.stored]
        self.term = 1

    def last(self):
        return max([self.stored.base.index, *(old.index for old in self.stored.log)])

    def write(self):
        self.term += self.random.random() < 0.3
        hard = HardState(self.term, f"v{self.term}")
        first = self.last() + 1
        if self.term > self.stored.hard.term:
            first = self.random.randint(self.stored.base.index + 1, first)
        entries = [entry(first + n, self.term) for n in range(self.random.randint(0, 4))]
        self.expect(hard, self.stored.base, entries)
        storage.write(self.folder, hard, entries)

    def compact(self):
        inner = [old for old in self.stored.log if old.index > self.stored.base.index]
        if not inner:
            return
        chosen = self.random.choice(inner)
        base = Base(chosen.index, chosen.term)
        self.expect(self.stored.hard, base, [])
        storage.write_snapshot(self.folder, Snapshot(base, b"state"))
        storage.remove_covered_segments(self.folder, base.index)

    def install(self):
        """Installs a snapshot of another log, or of this one with the entries after it kept."""
        inner = [old for old in self.stored.log if old.index > self.stored.base.index]
        if inner and self.random.random() < 0.5:
            chosen = self.random.choice(inner)
            base = Base(chosen.index, chosen.term)
            kept = [old for old in inner if old.index > chosen.index]
        else:
            self.term += 1
            index = self.stored.base.index + self.random.randint(1, len(inner) + 5)
            base, kept = Base(index, self.term), []
        hard = HardState(self.term, self.stored.hard.vote)
        self.expect(hard, base, kept, replaces=not kept)
        storage.reset_log(self.folder, hard, Snapshot(base, b"state"), kept)

    def restart(self):
        storage.close(self.folder)
        self.reopen()

    def expect(self, hard, base, entries, replaces=False):
        """Adds the states in which each further part of an operation is on the disk."""
        state = self.stored
        steps = [state]
        if base != state.base:
            state = state.copy()
            state.base = base
            if replaces:
                state.log = []
            steps.append(state)
        if hard != state.hard:
            state = state.copy()
            state.hard = hard
            steps.append(state)
        for new in entries:
            state = state.copy()
            state.append([new])
            steps.append(state)
        self.possible = steps

    def reopen(self):
        self.folder, recovered = storage.open_folder(self.path)
        found = (
            recovered.hard_state,
            (recovered.snapshot.base.index, recovered.snapshot.base.term),
            [(old.index, old.term) for old in recovered.entries],
        )
        views = [state.view() for state in self.possible]
        assert found in views, f"{found} is none of {views}"
        self.stored = self.possible[views.index(found)]
        self.possible = [self.stored]
        self.term = max(self.term, self.stored.hard.term)

    def step(self):
        operation = self.random.choice(
            [self.write, self.write, self.write, self.compact, self.install, self.restart]
        )
        if self.random.random() < 0.3:
            self.disk.steps_left = self.random.randint(0, 12)
        try:
            operation()
            self.stored = self.possible[-1]
            self.possible = [self.stored]
            self.disk.steps_left = None
        except PowerLossError:
            self.disk.lose_power()
            self.reopen()


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_that_was_stored_is_lost_with_the_power(seed, tmp_path, monkeypatch):
    monkeypatch.setattr(storage, "SEGMENT_BYTES", 300)
    path = tmp_path / "group-0"
    path.mkdir()
    replay = Replay(path, seed, LossyDisk(path, seed, monkeypatch))
    for _ in range(40):
        replay.step()
