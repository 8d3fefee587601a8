"""A disk that loses what was not synced when its power is lost."""

import os
import random
import stat
from pathlib import Path

from verbenashore import storage


class PowerLossError(Exception):
    """Ends an operation in the middle; not an ``OSError``, which the storage would handle."""


class LossyDisk:
    """The files of one folder, as the storage writes, renames, removes and syncs them.

    :param steps_left: how many steps succeed before the power is lost; None for all.
    """

    def __init__(self, root, seed, monkeypatch):
        self.root = root
        self.random = random.Random(seed)
        self.steps_left = None
        self.synced_data_by_inode = {}
        self.synced_inode_by_name = {}
        self.removed = root.parent / "removed"
        self.removed.mkdir()
        for name in ("open", "write", "fsync", "fdatasync"):
            self._count_steps(monkeypatch, storage.os, name)
        for name in ("rename", "unlink"):
            self._count_steps(monkeypatch, Path, name)

    def _count_steps(self, monkeypatch, owner, name):
        real = getattr(owner, name)

        def step(*arguments, **named):
            if self.steps_left == 0:
                raise PowerLossError
            if self.steps_left is not None:
                self.steps_left -= 1
            if name in ("rename", "unlink"):
                self._keep_inode(arguments[-1])
            result = real(*arguments, **named)
            if "sync" in name:
                self._record_sync(arguments[0])
            return result

        monkeypatch.setattr(owner, name, step)

    def _keep_inode(self, path):
        """Prevents a new file from getting the inode of one that is about to be removed."""
        if path.exists():
            os.link(path, self.removed / str(path.stat().st_ino))

    def _names(self):
        return {path.name: path.stat().st_ino for path in self.root.iterdir()}

    def _record_sync(self, descriptor):
        status = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            self.synced_inode_by_name = self._names()
            return
        for name, inode in self._names().items():
            if inode == status.st_ino:
                self.synced_data_by_inode[inode] = (self.root / name).read_bytes()
                self.synced_inode_by_name.setdefault(name, inode)

    def lose_power(self):
        """Leaves on the disk what a loss of power may leave.

        Each name that was not synced since it was created, renamed or removed is new or old
        independently of the others, and so is each part of the bytes of a file.
        """
        self.steps_left = None
        names = self._names()
        data_by_inode = {inode: (self.root / name).read_bytes() for name, inode in names.items()}
        loses_all = self.random.random() < 0.3
        left = {}
        for name in sorted(names.keys() | self.synced_inode_by_name.keys()):
            choices = [self.synced_inode_by_name.get(name), names.get(name)]
            inode = choices[0] if loses_all else self.random.choice(choices)
            if inode is not None:
                synced = self.synced_data_by_inode.get(inode, b"")
                left[name] = self._remains(synced, data_by_inode.get(inode, synced), loses_all)
        for path in [*self.root.iterdir(), *self.removed.iterdir()]:
            os.remove(path)
        for name, data in left.items():
            (self.root / name).write_bytes(data)
        self.synced_inode_by_name = self._names()
        self.synced_data_by_inode = {
            inode: left[name] for name, inode in self.synced_inode_by_name.items()
        }

    def _remains(self, synced, data, loses_all):
        if loses_all or not data.startswith(synced):
            return synced if loses_all else self.random.choice([synced, data])
        torn = bytearray(data[: self.random.randint(len(synced), len(data))])
        begin = self.random.randint(len(synced), len(torn))
        end = self.random.randint(begin, len(torn))
        torn[begin:end] = bytes(end - begin)
        return self.random.choice([synced, data, bytes(torn)])
