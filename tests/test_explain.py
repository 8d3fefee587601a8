"""The story of a call from the logs of many processes."""

import json

from verbenashore import cmdline, explain


def write(path, *events):
    """Writes a log file, with lines of other programs between."""
    lines = ["not an event", '{"odd": 1}']
    lines += [json.dumps(event) for event in events]
    path.write_text("\n".join(lines))
    return path


def event(time, process, number, name, **fields):
    """Returns one event."""
    return {
        "time": time,
        "level": "info",
        "process": process,
        "event": number,
        "name": name,
        **fields,
    }


def test_a_story_has_the_decisions_and_the_beliefs_behind_them(tmp_path, capsys):
    entry = write(
        tmp_path / "entry.log",
        event(9.5, "entry", 315, "backend_avoided", server="s1"),
        event(9.6, "entry", 315, "backend_avoided", server="s7"),
        event(10.0, "entry", 511, "call_placed", call="c1", server="s1"),
        event(10.1, "entry", 511, "call_placed", call="other", server="s1"),
        event(10.2, "entry", 513, "call_moved", call="c1", server="s1", step="read"),
        event(10.5, "entry", 516, "call_failed", call="c1", outcome="deadline"),
        event(12.0, "entry", 300, "configuration_installed", revision=9),
    )
    other = write(tmp_path / "other.log", event(10.1, "else", 101, "stopping"))
    found = explain.story(explain.read([other, entry]), "c1")
    assert [line.name for line in found] == [
        "backend_avoided",
        "call_placed",
        "call_moved",
        "call_failed",
    ]
    assert cmdline.main(["explain", "c1", str(entry), str(other)]) == 0
    told = capsys.readouterr().out.splitlines()
    assert len(told) == 4 and "outcome=deadline" in told[-1]


def test_an_unknown_id_is_said_so(tmp_path, capsys):
    path = write(tmp_path / "log")
    assert cmdline.main(["explain", "c1", str(path)]) == 0
    assert capsys.readouterr().out == "no event names it\n"
