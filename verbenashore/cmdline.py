"""``verbena``: the command line of operators and callers."""

import argparse
import json
import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from verbenashore import completions, explain, misc, replay
from verbenashore.exceptions import VerbenaError
from verbenashore.remote import Client
from verbenashore.settings import EXIT_BAD_SETTINGS
from verbenashore.version import __version__

EXIT_FAILED = 1
ENTRY_VARIABLE = "VERBENA_ENTRY"
KEY_VARIABLE = "VERBENA_KEY"

Action = Callable[[argparse.Namespace], Any]


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command; returns its exit code."""
    parser = _build_parser()
    given = parser.parse_args(arguments)
    try:
        answer = given.action(given)
    except VerbenaError as error:
        _print_error(given, error)
        return EXIT_FAILED
    except OSError as error:
        print(f"verbena: {error}", file=sys.stderr)
        return EXIT_FAILED
    if isinstance(answer, bytes):
        sys.stdout.buffer.write(answer)
    elif given.json:
        print(json.dumps(answer, indent=2))
    else:
        print(given.render(answer))
    return 0


def _print_error(given: argparse.Namespace, error: VerbenaError) -> None:
    if given.json:
        document: dict[str, Any] = {
            "code": error.code,
            "message": error.message,
            "step": error.step,
        }
        document |= {"field": error.field, "not_run": error.not_run}
        print(json.dumps({"error": document}), file=sys.stderr)
        return
    print(f"verbena: {error.code}: {error.message}", file=sys.stderr)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="verbena", description="Operate and use verbenashore.")
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    apply = _command(commands, "apply", "apply a deployment file whole", _apply, _render_change)
    apply.add_argument("file", type=Path, help="the TOML file")
    apply.add_argument("--expect-revision", type=int, required=True, help="revision to replace")
    apply.add_argument("--change-id", help="the same id resent gets the same answer")
    apply.add_argument("--author", default=os.environ.get("USER", ""), help="who makes the change")
    diff = _command(commands, "diff", "compare a file with what is in force", _diff, _render_diff)
    diff.add_argument("file", type=Path, help="the TOML file")
    _command(commands, "history", "list the revisions", _history, _render_history)
    _command(commands, "status", "show members and groups", _status, _render_status)
    for name, help_ in (("drain", "take new work from a member"), ("undrain", "give it back")):
        drain = _command(commands, name, help_, _drain, _render_change)
        drain.add_argument("member", help="name of the member")
        drain.add_argument("--change-id", help="the same id resent gets the same answer")
        drain.set_defaults(wanted=name == "drain")
    submit = _command(commands, "submit", "submit a batch file", _submit, _render_batch)
    submit.add_argument("file", type=Path, help="the JSONL file")
    submit.add_argument("--endpoint", default=completions.CHAT_PATH, help="default: %(default)s")
    submit.add_argument("--window", default="24h", help="time to the deadline (%(default)s)")
    submit.add_argument("--wait", type=float, default=0.0, help="seconds to wait for its end")
    cancel = _command(commands, "cancel", "stop a batch", _cancel, _render_batch)
    cancel.add_argument("batch", help="id of the batch")
    results = _command(commands, "results", "print the results of a batch or request", _results)
    results.add_argument("id", help="id of the batch or request")
    results.add_argument("--errors", action="store_true", help="print the error file instead")
    replayed = _command(commands, "replay", "replay a recorded trace", _replay, entry=False)
    replayed.add_argument("trace", type=Path, help="a file written with --trace")
    replayed.add_argument("--expect", type=Path, help="JSON file of the stated outcomes")
    explained = _command(
        commands, "explain", "tell a call's story from logs", _explain, str, entry=False
    )
    explained.add_argument("id", help="id of a call, item or job")
    explained.add_argument("logs", type=Path, nargs="+", help="log files of any processes")
    return parser


def _explain(given: argparse.Namespace) -> Any:
    events = explain.select_events(explain.read_events(given.logs), given.id)
    return (
        [msgspec.to_builtins(event) for event in events] if given.json else explain.render(events)
    )


def _command(
    commands: Any,
    name: str,
    help_: str,
    action: Action,
    render: Callable[[Any], str] | None = None,
    *,
    entry: bool = True,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(name, help=help_, description=help_)
    parser.add_argument("--json", action="store_true", help="print JSON")
    if entry:
        parser.add_argument("--entry", help=f"IP:PORT of an entry ({ENTRY_VARIABLE})")
        parser.add_argument("--key", help=f"the key to use ({KEY_VARIABLE})")
    parser.set_defaults(action=action, render=render or _render_json)
    return parser


def _client(given: argparse.Namespace) -> Client:
    address = given.entry or os.environ.get(ENTRY_VARIABLE)
    key = given.key or os.environ.get(KEY_VARIABLE)
    if not address or not key:
        print(f"verbena: --entry ({ENTRY_VARIABLE}) and --key ({KEY_VARIABLE}) are required")
        raise SystemExit(EXIT_BAD_SETTINGS)
    return Client(address, key)


def _change_id(given: argparse.Namespace) -> str:
    return given.change_id or misc.random_id("change")


def _apply(given: argparse.Namespace) -> Any:
    text = given.file.read_text()
    return _client(given).apply(text, given.expect_revision, _change_id(given), given.author)


def _diff(given: argparse.Namespace) -> Any:
    return _client(given).diff(given.file.read_text())


def _history(given: argparse.Namespace) -> Any:
    return _client(given).history()


def _status(given: argparse.Namespace) -> Any:
    return _client(given).status()


def _drain(given: argparse.Namespace) -> Any:
    return _client(given).drain(given.member, _change_id(given), wanted=given.wanted)


def _submit(given: argparse.Namespace) -> Any:
    client = _client(given)
    content = given.file.read_bytes()
    batch = client.submit(content, given.file.name, given.endpoint, given.window)
    return client.wait(batch["id"], given.wait) if given.wait else batch


def _cancel(given: argparse.Namespace) -> Any:
    return _client(given).cancel(given.batch)


def _results(given: argparse.Namespace) -> Any:
    client = _client(given)
    if given.id.startswith("req-"):
        return client.result(given.id)
    batch = client.batch(given.id)
    file_id = batch["error_file_id" if given.errors else "output_file_id"]
    if file_id is None:
        raise VerbenaError(f"{given.id} is {batch['status']} and has no such file", step="results")
    return client.content(file_id)


def _replay(given: argparse.Namespace) -> Any:
    state = replay.replay_trace(given.trace)
    outcomes = (
        replay.check_outcomes(state, given.expect)
        if given.expect
        else replay.collect_outcomes(state)
    )
    return msgspec.to_builtins(outcomes)


def _render_json(answer: Any) -> str:
    return json.dumps(answer, indent=2)


def _render_change(answer: Any) -> str:
    return f"revision {answer['revision']} by change {answer['change_id']}"


def _render_diff(answer: Any) -> str:
    return "\n".join(answer["diff"]) or f"no difference to revision {answer['revision']}"


def _render_history(answer: Any) -> str:
    lines = [
        f"{change['revision']:>6}  {change['change_id']}  {change['author']}"
        f"{'  drained: ' + ', '.join(change['drained']) if change['drained'] else ''}"
        for change in answer["changes"]
    ]
    return "\n".join(lines) or "no revision yet"


def _render_status(answer: Any) -> str:
    force = "in force everywhere" if answer["in_force"] else f"behind: {answer['behind']}"
    lines = [f"revision {answer['revision']}, {force}"]
    lines += [
        f"  {member['role']:<7} {member['name']:<24} {member['state']:<9} "
        f"{member['data_centre']:<12} revision {member['revision']}"
        for member in answer["members"]
    ]
    for ledger in answer["ledgers"]:
        if "error" in ledger:
            lines.append(f"  ledger  {ledger['address']:<24} {ledger['error']}")
            continue
        groups = ", ".join(f"{g['group']}:{g['role']}" for g in ledger["groups"])
        lines.append(f"  ledger  {ledger['name']:<24} groups {groups}")
    return "\n".join(lines)


def _render_batch(answer: Any) -> str:
    counts = answer["request_counts"]
    return (
        f"{answer['id']} {answer['status']}: {counts['completed']} completed, "
        f"{counts['failed']} failed of {counts['total']}"
    )


if __name__ == "__main__":
    sys.exit(main())
