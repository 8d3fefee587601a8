"""Splitting of JSON documents into parts that need not be readable."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenashore.jsonsplit import MAX_MEMBERS, split_array, split_object

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)

MANY_MEMBERS = json.dumps(dict.fromkeys(range(MAX_MEMBERS + 1))).encode()


@settings(derandomize=True, database=None)
@given(st.lists(VALUES), st.sampled_from([None, 2]))
def test_the_elements_of_an_array_are_those_that_a_decoder_reads(values, indent):
    document = json.dumps(values, indent=indent).encode()
    assert [json.loads(part) for part in split_array(document)] == values


@settings(derandomize=True, database=None)
@given(st.dictionaries(st.text(), VALUES), st.sampled_from([None, 2]))
def test_the_members_of_an_object_are_those_that_a_decoder_reads(value_by_key, indent):
    document = json.dumps(value_by_key, indent=indent).encode()
    parts = split_object(document)
    assert {key: json.loads(part) for key, part in parts.items()} == value_by_key


@pytest.mark.parametrize("part", [b"[" * 100_000 + b"]" * 100_000, b"1e999", b'"\xff"', b"nul"])
def test_a_part_that_no_decoder_reads_is_returned_as_it_is(part):
    assert list(split_array(b'[{"a": 1}, %b, 2]' % part)) == [b'{"a": 1}', part, b"2"]
    assert split_object(b'{"a": %b, "b": 2}' % part) == {"a": part, "b": b"2"}


@pytest.mark.parametrize("document", [b"", b"1", b"[", b"[1}", b"[1]]", b"[1] [2]", b"{}"])
def test_a_document_that_is_no_array_is_refused(document):
    with pytest.raises(ValueError, match="it|its"):
        list(split_array(document))


@pytest.mark.parametrize("document", [b"[]", b"{1: 2}", b"{,}", b'{"a"}', MANY_MEMBERS])
def test_a_document_that_is_no_object_is_refused(document):
    with pytest.raises(ValueError, match="it|key|members"):
        split_object(document)
