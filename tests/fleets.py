"""Requests, expected answers and callers for tests that run real processes."""

import json
import threading

from lab.traffic import collect_stream
from standins import batching
from verbenashore.exceptions import BackendError

MODEL = "notes-7b"
CHAT = "/v1/chat/completions"


def chat(prompt, tokens, **options):
    """Returns the document of a chat request."""
    messages = [{"role": "user", "content": prompt}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, **options}


def expected(prompt, tokens):
    """Returns the correct answer to a chat request with one user message."""
    return batching.expected_answer(f"user: {prompt}", tokens)


def batch_file(count, tokens=20, prefix="item"):
    """Returns a batch file of chat requests."""
    lines = [
        {
            "custom_id": f"{prefix}-{n}",
            "method": "POST",
            "url": CHAT,
            "body": chat(f"{prefix}-{n}", tokens),
        }
        for n in range(count)
    ]
    return "\n".join(map(json.dumps, lines)).encode()


def outcomes(client, batch):
    """Returns the answer of each item of an ended batch, by custom id."""
    lines = client.content(batch["output_file_id"]).splitlines()
    documents = [json.loads(line) for line in lines]
    by_id = {
        document["custom_id"]: document["response"]["body"]["choices"][0]["message"]["content"]
        for document in documents
    }
    assert len(by_id) == len(documents), "an item has two outcomes"
    return by_id


def right_outcomes(count, tokens=20, prefix="item"):
    """Returns the correct answer of each item of a batch file, by custom id."""
    return {f"{prefix}-{n}": expected(f"{prefix}-{n}", tokens) for n in range(count)}


class Streams:
    """Callers that request one streamed answer after the other until they are stopped.

    :param callers: how many there are.
    :param entry: the name of the entry that they call.
    """

    def __init__(self, fleet, callers=4, tokens=20, entry="entry-1"):
        self._fleet = fleet
        self._tokens = tokens
        self._entry = entry
        self._stop = threading.Event()
        self.right = 0
        self.wrong = []
        self._threads = [
            threading.Thread(target=self._call, args=(number,)) for number in range(callers)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def stop(self):
        """Stops each caller after its current answer."""
        self._stop.set()

    def _call(self, number):
        request_count = 0
        while not self._stop.is_set():
            request_count += 1
            prompt = f"caller {number} asks {request_count}"
            try:
                text = collect_stream(
                    self._fleet.address_by_name[self._entry],
                    "depots-key",
                    chat(prompt, self._tokens, stream=True),
                )
            except Exception as error:
                if not isinstance(error, BackendError) or not error.not_run:
                    self.wrong.append(repr(error))
                continue
            if text == expected(prompt, self._tokens):
                self.right += 1
            else:
                self.wrong.append(text)
