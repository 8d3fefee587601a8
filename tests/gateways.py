"""Gateways of their own, without the process around them."""

import argparse
import contextlib

from verbenashore.backendcall import AnswerHead, Dialect
from verbenashore.gateway import Gateway
from verbenashore.jobdesk import RelaySettings
from verbenashore.process import Process


def call_headers(_call, _server, _left, _last_event):
    """Writes no more than what each call has."""
    return [(b"host", b"h")]


def read_head(status, headers):
    """Reads the head of a plain answer."""
    return AnswerHead(status, headers, "", False, False)


@contextlib.asynccontextmanager
async def gateway(seeds=("127.0.0.1:1",), fetch=None):
    """Yields a gateway of which nothing runs yet.

    :param seeds: the addresses of its ledger processes.
    :param fetch: reads the list of backend servers.
    """
    settings = argparse.Namespace(name="e", data_centre="d", region="r", statsd=())
    running = Process(settings)
    try:
        given = RelaySettings(Dialect(call_headers, read_head), fetch, "127.0.0.1:1")
        yield Gateway(running, given, list(seeds))
    finally:
        await running.close()
