"""Parsing and validation of the deployment file."""

import pytest

from lab.fleet import ROOT
from verbenashore import deployment
from verbenashore.exceptions import DeploymentError


@pytest.mark.parametrize(
    ("name", "engines", "plain"), [("association", 6, 3), ("collective", 9, 4)]
)
def test_the_example_files_have_the_expected_backend_servers(name, engines, plain):
    parsed = deployment.parse((ROOT / "examples" / f"{name}.toml").read_text())
    assert sum(bool(backend.models) for backend in parsed.backend) == engines
    assert sum(not backend.models for backend in parsed.backend) == plain
    assert len({backend.data_centre for backend in parsed.backend}) == (engines + 3) // 3


def test_every_validation_problem_starts_with_its_key():
    text = """
unknown = 1
[[workspace]]
name = "w"
keys = ["plain-text"]
[[workspace]]
name = "w"
keys = []
online_rate = "fast"
[[service]]
name = "s"
kind = "model"
[[backend]]
name = "b"
address = "somewhere"
service = "none"
data_centre = "d"
slots = 0
colour = "red"
[online]
long_share = 2.0
"""
    with pytest.raises(DeploymentError) as refused:
        deployment.parse(text)
    keys = {problem.partition(":")[0] for problem in refused.value.problems}
    expected = {
        "unknown",
        "workspace[0].keys",
        "workspace[1].online_rate",
        "backend[0].colour",
        "online.long_share",
    }
    assert expected <= keys


def test_unknown_references_are_refused():
    text = """
[[service]]
name = "s"
kind = "model"
[[backend]]
name = "b"
address = "127.0.0.1:1"
service = "other"
data_centre = "d"
models = ["m"]
"""
    with pytest.raises(DeploymentError) as refused:
        deployment.parse(text)
    assert "backend[0].service: there is no service 'other'" in refused.value.problems
    assert "backend[0].models: there is no model 'm'" in refused.value.problems


def test_invalid_toml_is_refused():
    with pytest.raises(DeploymentError, match="file: "):
        deployment.parse("a = = b")


@pytest.mark.parametrize("value", ["[" * 100_000, "9" * 5000])
def test_a_file_that_the_parser_gives_up_on_is_refused(value):
    """Guards against an internal error where the file is at fault."""
    with pytest.raises(DeploymentError, match="file: "):
        deployment.parse(f"a = {value}")


def test_a_difference_contains_the_changed_lines():
    assert deployment.difference("a = 1\n", "a = 2\n")[-2:] == ["-a = 1", "+a = 2"]
