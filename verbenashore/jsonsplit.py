"""Splits JSON documents into their parts without reading these; for documents of several writers.

A decoder rejects a whole document if one part of it is nested too deeply, has a number that fits no
type, or holds bytes that can't be read.  Each part is decoded for itself instead.
"""

import re
from collections.abc import Iterator

import msgspec

#: Strings, whose contents are passed over, and the characters that give a document its structure.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
KEY = re.compile(rb'\s*("(?:[^"\\]|\\.)*")\s*:', re.DOTALL)

#: Members of an object; a page of a list has two.
MAX_MEMBERS = 1000


def split_object(document: bytes) -> dict[str, bytes]:
    """Returns the values of an object by their keys, each as its text.

    :raises ValueError: if the document is no object, or has more than ``MAX_MEMBERS`` members.
    """
    value_by_key: dict[str, bytes] = {}
    for number, member in enumerate(_split(document, b"{", b"}")):
        if number == MAX_MEMBERS:
            raise ValueError(f"the object has more than {MAX_MEMBERS} members")
        match = KEY.match(member)
        if match is None:
            raise ValueError("a member of the object has no key")
        value_by_key[msgspec.json.decode(match[1], type=str)] = member[match.end() :].strip()
    return value_by_key


def split_array(document: bytes) -> Iterator[bytes]:
    """Yields the elements of an array, each as its text.

    :raises ValueError: in the course of this, if the document is no array.
    """
    return _split(document, b"[", b"]")


def _split(document: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    document = document.strip()
    if not document.startswith(opening) or not document.endswith(closing):
        raise ValueError(f"it does not begin with {opening!r} and end with {closing!r}")
    depth, start = 0, 1
    for match in TOKEN.finditer(document):
        token = match[0]
        if token in b"[{":
            depth += 1
        elif token in b"]}":
            depth -= 1
        is_end = depth == 0
        if is_end or (token == b"," and depth == 1):
            part = document[start : match.start()].strip()
            if part or not is_end:
                yield part
            start = match.end()
        if is_end and match.end() < len(document):
            raise ValueError("it goes on after its end")
    if depth:
        raise ValueError("its brackets don't match")
