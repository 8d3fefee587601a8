"""Replays of recorded traces of failures have the expected outcomes."""

import json

import pytest

from lab.fleet import ROOT
from verbenashore import cmdline, replay
from verbenashore.exceptions import ReplayMismatchError

TRACES = ROOT / "tests" / "traces"
TRACE_NAMES = sorted(path.stem for path in TRACES.glob("*.trace"))


@pytest.mark.parametrize("name", TRACE_NAMES)
def test_a_recorded_failure_has_the_expected_outcomes(name):
    trace, expected = TRACES / f"{name}.trace", TRACES / f"{name}.json"
    assert cmdline.main(["replay", str(trace), "--expect", str(expected)]) == 0


def test_there_is_a_trace_for_each_of_seven_kinds_of_failure():
    assert len(TRACE_NAMES) >= 7


def test_differing_outcomes_are_reported_as_a_mismatch(tmp_path, capsys):
    wrong = tmp_path / "wrong.json"
    wrong.write_text(json.dumps({"items": {"job": {"completed": 11, "failed": 1}}}))
    trace = TRACES / "workers-die.trace"
    assert cmdline.main(["replay", str(trace), "--expect", str(wrong)]) == 1
    assert "replay_mismatch" in capsys.readouterr().err


def test_a_trace_with_two_commands_at_one_index_is_rejected(tmp_path):
    lines = (TRACES / "workers-die.trace").read_text().splitlines()
    first = json.loads(lines[0])
    first[3] = json.loads(lines[1])[3]
    forged = tmp_path / "forged.trace"
    forged.write_text("\n".join([*lines, json.dumps(first)]))
    with pytest.raises(ReplayMismatchError):
        replay.replay_trace(forged)
