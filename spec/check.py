"""Verifies the protocol models with Spin, and checks that every mutant of them is rejected."""

import argparse
import re
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

SPEC = Path(__file__).resolve().parent
MUTANT_NAME = re.compile(r"MUTANT_\w+")
DEPTH_STEPS = 2_000_000
MEMORY_LIMIT_MB = 6000


@dataclass(frozen=True)
class Check:
    """One model with the preprocessor definitions that bound its state space.

    :param small: the bounds for ``make test``.
    :param full: the bounds for ``make spec``.
    :param mutants: the bounds within which the model's mutants must be rejected.
    """

    model: str
    small: tuple[str, ...] = ()
    full: tuple[str, ...] = ()
    mutants: tuple[str, ...] = ()


@dataclass(frozen=True)
class Verdict:
    """The result of one verification.

    :param passed: whether the verifier found no error.
    :param complete: whether it searched the whole state space.
    :param states: the number of stored states.
    :param seconds: the time to build and run the verifier.
    """

    passed: bool
    complete: bool
    states: int
    seconds: float


CHECKS = (
    Check("log", ("TERMS=2", "LENGTH=2"), ("TERMS=2", "LENGTH=3"), ("TERMS=2", "LENGTH=2")),
    Check("coldstart", ("STARTS=2",), ("STARTS=4",), ("STARTS=3",)),
    Check("ledger"),
    Check("configuration"),
    *(Check("orders", *(((f"CHECKS={kind}",),) * 3)) for kind in (0, 1)),
)

#: Replaces the bounds of a mutant that isn't rejected within those of its model's others.
MUTANT_BOUNDS = {"MUTANT_COMMITS_OLD_TERM": ("TERMS=4", "LENGTH=1")}


def verify(model: str, definitions: tuple[str, ...]) -> Verdict:
    """Generates, compiles and runs the verifier of one model."""
    flags = [f"-D{definition}" for definition in definitions]
    with tempfile.TemporaryDirectory() as folder:
        started = time.monotonic()
        source = SPEC / f"{model}.pml"
        _run_command(["spin", *flags, "-a", str(source)], folder)
        compile_command = ["gcc", "-O2", "-w", "-DSAFETY", "-DNOFAIR", "-DCOLLAPSE"]
        _run_command(
            [*compile_command, f"-DMEMLIM={MEMORY_LIMIT_MB}", "-o", "pan", "pan.c"], folder
        )
        output = _run_command(["./pan", f"-m{DEPTH_STEPS}", "-w24", "-n", "-E"], folder)
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"([\d.e+]+) states, stored", output)
    truncated = "Search not completed" in output or "max search depth too small" in output
    return Verdict(
        bool(errors) and errors[1] == "0",
        not truncated,
        int(float(states[1])) if states else 0,
        time.monotonic() - started,
    )


def find_mutants(model: str) -> list[str]:
    """Returns the names of all mutants in a model's source."""
    return sorted(set(MUTANT_NAME.findall((SPEC / f"{model}.pml").read_text())))


def check_models(*, full: bool) -> bool:
    """Verifies every model, prints a line for each, and returns whether all hold."""
    all_passed = True
    for check in CHECKS:
        definitions = check.full if full else check.small
        verdict = verify(check.model, definitions)
        passed = verdict.passed and verdict.complete
        all_passed = all_passed and passed
        _print_verdict("holds" if passed else "FAILS", check.model, definitions, verdict)
    return all_passed


def check_mutants() -> bool:
    """Verifies every mutant, prints a line for each, and returns whether all are rejected."""
    all_rejected = True
    for check in CHECKS:
        for mutant in find_mutants(check.model):
            if not _belongs_to(check, mutant):
                continue
            bounds = MUTANT_BOUNDS.get(mutant, check.mutants)
            verdict = verify(check.model, (*bounds, mutant))
            # A verifier that reports no states did not run, which is no rejection.
            rejected = not verdict.passed and verdict.states > 0
            all_rejected = all_rejected and rejected
            _print_verdict("rejected" if rejected else "NOT REJECTED", mutant, bounds, verdict)
    return all_rejected


def _belongs_to(check: Check, mutant: str) -> bool:
    """Returns whether a mutant is verified in a check.

    Most models have one check, which verifies all their mutants. ``orders`` has one check for an
    engine that checks fencing numbers and one for an engine that ignores them;
    ``MUTANT_ENGINE_FORGETS`` belongs to the former, the other mutants to the latter.
    """
    if check.model != "orders":
        return True
    return (mutant == "MUTANT_ENGINE_FORGETS") == ("CHECKS=1" in check.full)


def _print_verdict(outcome: str, name: str, definitions: tuple[str, ...], verdict: Verdict) -> None:
    bounds = " ".join(definitions)
    figures = f"{verdict.states} states, {verdict.seconds:.1f} s"
    print(f"{outcome:<13}{name:<28}{bounds:<20}{figures}", flush=True)


def _run_command(command: list[str], folder: str) -> str:
    """Runs a command and returns its output; only the verifier may have another exit code than 0.

    :raises RuntimeError: if another command failed, with its output.
    """
    completed = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    if completed.returncode and command[0] != "./pan":
        raise RuntimeError(f"{command[0]}: {completed.stdout}{completed.stderr}")
    return completed.stdout


def main() -> int:
    """Verifies the models or their mutants, and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--small", action="store_true", help="use the bounds for make test")
    parser.add_argument(
        "--mutants", action="store_true", help="check that every mutant is rejected"
    )
    arguments = parser.parse_args()
    all_passed = check_mutants() if arguments.mutants else check_models(full=not arguments.small)
    return 0 if all_passed else 1


if __name__ == "__main__":
    sys.exit(main())
