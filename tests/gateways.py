"""Standalone gateways for tests, without the programs of an entry process."""

import argparse
import contextlib

from verbenashore.backendcall import AnswerHead, Dialect
from verbenashore.gateway import Gateway
from verbenashore.keys import DEFAULT_BOUNDS
from verbenashore.ledgerrelay import RelaySettings
from verbenashore.process import Process


def call_headers(_call, _server, _left, _last_event):
    """Returns the minimal headers of a call."""
    return [(b"host", b"h")]


def read_head(status, headers):
    """Returns the head of an answer with all its headers; none is read as one of the platform."""
    return AnswerHead(status, headers, "", False, False)


PLAIN_DIALECT = Dialect(call_headers, read_head)


def relay_settings(fetch=None, dialect=PLAIN_DIALECT):
    """Returns what a process needs to relay calls."""
    return RelaySettings(dialect, fetch, "127.0.0.1:1")


@contextlib.asynccontextmanager
async def process():
    """Yields a process that runs no program."""
    running = Process(argparse.Namespace(name="e", data_centre="d", region="r", statsd=()))
    try:
        yield running
    finally:
        await running.close()


@contextlib.asynccontextmanager
async def gateway(
    seeds=("127.0.0.1:1",), fetch=None, dialect=PLAIN_DIALECT, key_bounds=DEFAULT_BOUNDS
):
    """Yields a gateway whose tasks are not started.

    :param seeds: the addresses of its ledger processes.
    :param fetch: reads the list of backend servers.
    :param dialect: how it encodes calls and decodes their answers.
    :param key_bounds: how long it accepts keys without confirmation.
    """
    async with process() as running:
        yield Gateway(running, relay_settings(fetch, dialect), list(seeds), key_bounds)
