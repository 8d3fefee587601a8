"""``verbena``: the command line for operators and callers."""

import argparse
import json
import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from verbenashore import checks, completions, explain, misc, replay
from verbenashore.exceptions import UnreadableFileError, VerbenaError
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
    options = parser.parse_args(arguments)
    try:
        result = options.action(options)
    except VerbenaError as error:
        _print_error(options, error)
        is_unreadable = isinstance(error, UnreadableFileError)
        return checks.EXIT_UNREADABLE if is_unreadable else EXIT_FAILED
    except OSError as error:
        print(f"verbena: {error}", file=sys.stderr)
        return EXIT_FAILED
    if isinstance(result, bytes):
        sys.stdout.buffer.write(result)
    elif options.json:
        print(json.dumps(result, indent=2))
    else:
        print(options.render(result))
    return int(options.exit_code)


def _print_error(options: argparse.Namespace, error: VerbenaError) -> None:
    if options.json:
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
    apply_parser = _add_command(
        commands,
        "apply",
        "replace the configuration with a deployment file",
        _apply,
        _render_change,
    )
    apply_parser.add_argument("file", type=Path, help="TOML deployment file")
    apply_parser.add_argument(
        "--expect-revision", type=int, required=True, help="revision that the file replaces"
    )
    apply_parser.add_argument(
        "--change-id",
        help="change id (default: random); resending the same id gets the same answer",
    )
    apply_parser.add_argument(
        "--author", default=os.environ.get("USER", ""), help="author of the change (default: $USER)"
    )
    diff_parser = _add_command(
        commands,
        "diff",
        "compare a deployment file with the configuration in force",
        _diff,
        _render_diff,
    )
    diff_parser.add_argument("file", type=Path, help="TOML deployment file")
    _add_command(commands, "history", "list the configuration revisions", _history, _render_history)
    _add_command(commands, "status", "show members and groups", _status, _render_status)
    for name, help_ in (
        ("drain", "stop giving a member new work"),
        ("undrain", "give a member new work again"),
    ):
        drain_parser = _add_command(commands, name, help_, _drain, _render_change)
        drain_parser.add_argument("member", help="name of the member")
        drain_parser.add_argument(
            "--change-id",
            help="change id (default: random); resending the same id gets the same answer",
        )
        drain_parser.set_defaults(wanted=name == "drain")
    submit_parser = _add_command(
        commands, "submit", "upload a file of requests and create a batch", _submit, _render_batch
    )
    submit_parser.add_argument("file", type=Path, help="JSONL file of requests")
    submit_parser.add_argument(
        "--endpoint",
        default=completions.CHAT_PATH,
        help="API path of the requests (default: %(default)s)",
    )
    submit_parser.add_argument(
        "--window", default="24h", help="completion window (default: %(default)s)"
    )
    submit_parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        help="seconds to wait for the batch to end (default: don't wait)",
    )
    cancel_parser = _add_command(commands, "cancel", "cancel a batch", _cancel, _render_batch)
    cancel_parser.add_argument("batch", help="id of the batch")
    results_parser = _add_command(
        commands, "results", "print the results of a batch or request", _results
    )
    results_parser.add_argument("id", help="id of the batch or request")
    results_parser.add_argument(
        "--errors", action="store_true", help="print the error file instead"
    )
    replay_parser = _add_command(
        commands, "replay", "replay a recorded trace", _replay, needs_entry=False
    )
    replay_parser.add_argument("trace", type=Path, help="file that a ledger wrote with --trace")
    replay_parser.add_argument("--expect", type=Path, help="JSON file of the expected outcomes")
    explain_parser = _add_command(
        commands,
        "explain",
        "show the log events that explain a call, item or job",
        _explain,
        str,
        needs_entry=False,
    )
    explain_parser.add_argument("id", help="id of a call, item or job")
    explain_parser.add_argument(
        "logs", type=Path, nargs="+", help="log files of one or more processes"
    )
    check_parser = _add_command(
        commands,
        "check",
        "check a deployment file, without an entry",
        _check,
        str,
        needs_entry=False,
    )
    check_parser.add_argument("file", type=Path, help="TOML deployment file")
    check_parser.add_argument(
        "--against", type=Path, metavar="FILE", help="also show the differences from this file"
    )
    return parser


def _check(options: argparse.Namespace) -> Any:
    other = _read_checked(options.against) if options.against is not None else None
    report = checks.check_deployment(_read_checked(options.file), other)
    options.exit_code = checks.exit_code(report)
    return msgspec.to_builtins(report) if options.json else checks.render(report)


def _read_checked(path: Path) -> str:
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UnreadableFileError(f"{path}: {error}", step="read") from None


def _explain(options: argparse.Namespace) -> Any:
    events = explain.select_events(explain.read_events(options.logs), options.id)
    return (
        [msgspec.to_builtins(event) for event in events] if options.json else explain.render(events)
    )


def _add_command(
    commands: Any,
    name: str,
    help_: str,
    action: Action,
    render: Callable[[Any], str] | None = None,
    *,
    needs_entry: bool = True,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(name, help=help_, description=help_)
    parser.add_argument("--json", action="store_true", help="print JSON")
    if needs_entry:
        parser.add_argument("--entry", help=f"IP:PORT of an entry ({ENTRY_VARIABLE})")
        parser.add_argument("--key", help=f"bearer key ({KEY_VARIABLE})")
    parser.set_defaults(action=action, render=render or _render_json, exit_code=0)
    return parser


def _make_client(options: argparse.Namespace) -> Client:
    address = options.entry or os.environ.get(ENTRY_VARIABLE)
    key = options.key or os.environ.get(KEY_VARIABLE)
    if not address or not key:
        print(f"verbena: --entry ({ENTRY_VARIABLE}) and --key ({KEY_VARIABLE}) are required")
        raise SystemExit(EXIT_BAD_SETTINGS)
    return Client(address, key)


def _change_id(options: argparse.Namespace) -> str:
    return options.change_id or misc.random_id("change")


def _apply(options: argparse.Namespace) -> Any:
    text = options.file.read_text()
    return _make_client(options).apply(
        text, options.expect_revision, _change_id(options), options.author
    )


def _diff(options: argparse.Namespace) -> Any:
    return _make_client(options).diff(options.file.read_text())


def _history(options: argparse.Namespace) -> Any:
    return _make_client(options).history()


def _status(options: argparse.Namespace) -> Any:
    return _make_client(options).status()


def _drain(options: argparse.Namespace) -> Any:
    return _make_client(options).drain(options.member, _change_id(options), wanted=options.wanted)


def _submit(options: argparse.Namespace) -> Any:
    client = _make_client(options)
    content = options.file.read_bytes()
    batch = client.submit(content, options.file.name, options.endpoint, options.window)
    return client.wait(batch["id"], options.wait) if options.wait else batch


def _cancel(options: argparse.Namespace) -> Any:
    return _make_client(options).cancel(options.batch)


def _results(options: argparse.Namespace) -> Any:
    client = _make_client(options)
    if options.id.startswith("req-"):
        return client.result(options.id)
    batch = client.batch(options.id)
    file_id = batch["error_file_id" if options.errors else "output_file_id"]
    if file_id is None:
        raise VerbenaError(
            f"batch {options.id} is {batch['status']} and has no file of this kind", step="results"
        )
    return client.content(file_id)


def _replay(options: argparse.Namespace) -> Any:
    state = replay.replay_trace(options.trace)
    outcomes = (
        replay.check_outcomes(state, options.expect)
        if options.expect
        else replay.collect_outcomes(state)
    )
    return msgspec.to_builtins(outcomes)


def _render_json(result: Any) -> str:
    return json.dumps(result, indent=2)


def _render_change(result: Any) -> str:
    return f"revision {result['revision']} by change {result['change_id']}"


def _render_diff(result: Any) -> str:
    return "\n".join(result["diff"]) or f"no difference from revision {result['revision']}"


def _render_history(result: Any) -> str:
    lines = [
        f"{change['revision']:>6}  {change['change_id']}  {change['author']}"
        f"{'  drained: ' + ', '.join(change['drained']) if change['drained'] else ''}"
        for change in result["changes"]
    ]
    return "\n".join(lines) or "no revision yet"


def _render_status(result: Any) -> str:
    rollout = "in force everywhere" if result["in_force"] else f"behind: {result['behind']}"
    lines = [f"revision {result['revision']}, {rollout}"]
    lines += [
        f"  {member['role']:<7} {member['name']:<24} {member['state']:<9} "
        f"{member['data_centre']:<12} revision {member['revision']}"
        for member in result["members"]
    ]
    for ledger in result["ledgers"]:
        if "error" in ledger:
            lines.append(f"  ledger  {ledger['address']:<24} {ledger['error']}")
            continue
        groups = ", ".join(f"{g['group']}:{g['role']}" for g in ledger["groups"])
        lines.append(f"  ledger  {ledger['name']:<24} groups {groups}")
    return "\n".join(lines)


def _render_batch(result: Any) -> str:
    counts = result["request_counts"]
    return (
        f"{result['id']} {result['status']}: {counts['completed']} completed, "
        f"{counts['failed']} failed of {counts['total']}"
    )


if __name__ == "__main__":
    sys.exit(main())
