"""The operators' file: whole, checked, with every fault named."""

import pytest

from lab.fleet import ROOT
from verbenashore import deployment
from verbenashore.exceptions import DeploymentError


@pytest.mark.parametrize(
    ("name", "engines", "plain"), [("association", 6, 3), ("collective", 9, 4)]
)
def test_the_examples_describe_todays_deployments(name, engines, plain):
    parsed = deployment.parse((ROOT / "examples" / f"{name}.toml").read_text())
    assert sum(bool(backend.models) for backend in parsed.backend) == engines
    assert sum(not backend.models for backend in parsed.backend) == plain
    assert len({backend.data_centre for backend in parsed.backend}) == (engines + 3) // 3


def test_every_fault_is_named_by_its_key():
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
    keys = {fault.partition(":")[0] for fault in refused.value.faults}
    expected = {
        "unknown",
        "workspace[0].keys",
        "workspace[1].online_rate",
        "backend[0].colour",
        "online.long_share",
    }
    assert expected <= keys


def test_references_are_checked():
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
    assert "backend[0].service: there is no service 'other'" in refused.value.faults
    assert "backend[0].models: there is no model 'm'" in refused.value.faults


def test_a_file_that_is_no_toml_is_refused():
    with pytest.raises(DeploymentError, match="file: "):
        deployment.parse("a = = b")


def test_a_difference_shows_what_changes():
    assert deployment.difference("a = 1\n", "a = 2\n")[-2:] == ["-a = 1", "+a = 2"]
