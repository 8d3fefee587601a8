"""Recorded traces of failures lead to the outcomes that the promises state."""

import json

import pytest

from lab.fleet import ROOT
from verbenashore import cmdline, replay
from verbenashore.exceptions import ReplayMismatchError

TRACES = ROOT / "tests" / "traces"
NAMES = sorted(path.stem for path in TRACES.glob("*.trace"))


@pytest.mark.parametrize("name", NAMES)
def test_a_recorded_failure_leads_to_the_stated_outcomes(name):
    trace, expected = TRACES / f"{name}.trace", TRACES / f"{name}.json"
    assert cmdline.main(["replay", str(trace), "--expect", str(expected)]) == 0


def test_every_kind_of_failure_has_a_trace():
    assert len(NAMES) >= 7


def test_other_outcomes_are_a_mismatch(tmp_path, capsys):
    wrong = tmp_path / "wrong.json"
    wrong.write_text(json.dumps({"items": {"job": {"completed": 11, "failed": 1}}}))
    trace = TRACES / "workers-die.trace"
    assert cmdline.main(["replay", str(trace), "--expect", str(wrong)]) == 1
    assert "replay_mismatch" in capsys.readouterr().err


def test_a_trace_with_two_commands_at_one_index_is_refused(tmp_path):
    lines = (TRACES / "workers-die.trace").read_text().splitlines()
    first = json.loads(lines[0])
    first[3] = json.loads(lines[1])[3]
    forged = tmp_path / "forged.trace"
    forged.write_text("\n".join([*lines, json.dumps(first)]))
    with pytest.raises(ReplayMismatchError):
        replay.run(forged)
