"""``verbena explain``: which log events of several processes explain a call."""

import json

from verbenashore import cmdline, explain


def write_log(path, *events):
    """Writes a log file that starts with lines of other programs."""
    lines = ["not an event", '{"odd": 1}']
    lines += [json.dumps(event) for event in events]
    path.write_text("\n".join(lines))
    return path


def event(time, process, number, name, **fields):
    """Returns one event as the document of its log logged."""
    return {
        "time": time,
        "level": "info",
        "process": process,
        "event": number,
        "name": name,
        **fields,
    }


def test_events_of_a_call_come_with_earlier_state_changes_of_its_server(tmp_path, capsys):
    entry = write_log(
        tmp_path / "entry.log",
        event(9.5, "entry", 315, "backend_avoided", server="s1"),
        event(9.6, "entry", 315, "backend_avoided", server="s7"),
        event(10.0, "entry", 511, "call_placed", call="c1", server="s1"),
        event(10.1, "entry", 511, "call_placed", call="other", server="s1"),
        event(10.2, "entry", 513, "call_moved", call="c1", server="s1", step="read"),
        event(10.5, "entry", 516, "call_failed", call="c1", outcome="deadline"),
        event(12.0, "entry", 300, "configuration_installed", revision=9),
    )
    other = write_log(tmp_path / "other.log", event(10.1, "else", 101, "stopping"))
    explanation = explain.select_events(explain.read_events([other, entry]), "c1")
    assert [logged.name for logged in explanation] == [
        "backend_avoided",
        "call_placed",
        "call_moved",
        "call_failed",
    ]
    assert cmdline.main(["explain", "c1", str(entry), str(other)]) == 0
    output_lines = capsys.readouterr().out.splitlines()
    assert len(output_lines) == 4 and "outcome=deadline" in output_lines[-1]


def test_an_unknown_id_is_reported(tmp_path, capsys):
    path = write_log(tmp_path / "log")
    assert cmdline.main(["explain", "c1", str(path)]) == 0
    assert capsys.readouterr().out == "no event has this id\n"


def test_the_terms_of_the_estimate_of_a_placed_call_are_shown(tmp_path, capsys):
    terms = {"estimate_ms": 61.2, "factor": 1.43, "first_ms": 57.2, "wait_ms": 4.0}
    log = write_log(
        tmp_path / "log",
        event(9.0, "entry", 342, "backend_slowed", server="s1", factor=2.7),
        event(10.0, "entry", 511, "call_placed", call="c1", server="s1", **terms),
    )
    assert cmdline.main(["explain", "c1", str(log)]) == 0
    output = capsys.readouterr().out
    assert "backend_slowed" in output and "factor=2.7" in output
    assert all(f"{name}={value}" in output for name, value in terms.items())
