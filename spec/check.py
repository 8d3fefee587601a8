"""Checks the models of the protocols with Spin, and that each mutant of them is rejected."""

import argparse
import re
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

SPEC = Path(__file__).resolve().parent
MUTANT = re.compile(r"MUTANT_\w+")
DEPTH_STEPS = 2_000_000
MEMORY_MB = 6000


@dataclass(frozen=True)
class Check:
    """One model with its bounds.

    :param small: the defines of the bounds inside ``make test``.
    :param full: the defines of the bounds of ``make spec``.
    :param mutants: the bounds within which a mutant must show.
    """

    model: str
    small: tuple[str, ...] = ()
    full: tuple[str, ...] = ()
    mutants: tuple[str, ...] = ()


@dataclass(frozen=True)
class Verdict:
    """What the checker found."""

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

#: The bounds that a mutant needs beyond those of its model's mutants.
MUTANT_BOUNDS = {"MUTANT_COMMITS_OLD_TERM": ("TERMS=4", "LENGTH=1")}


def verify(model: str, defines: tuple[str, ...]) -> Verdict:
    """Builds and runs the checker of one model."""
    flags = [f"-D{define}" for define in defines]
    with tempfile.TemporaryDirectory() as folder:
        started = time.monotonic()
        source = SPEC / f"{model}.pml"
        _run(["spin", *flags, "-a", str(source)], folder)
        compiler = ["gcc", "-O2", "-w", "-DSAFETY", "-DNOFAIR", "-DCOLLAPSE"]
        _run([*compiler, f"-DMEMLIM={MEMORY_MB}", "-o", "pan", "pan.c"], folder)
        output = _run(["./pan", f"-m{DEPTH_STEPS}", "-w24", "-n", "-E"], folder)
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"([\d.e+]+) states, stored", output)
    truncated = "Search not completed" in output or "max search depth too small" in output
    return Verdict(
        bool(errors) and errors[1] == "0",
        not truncated,
        int(float(states[1])) if states else 0,
        time.monotonic() - started,
    )


def mutants(model: str) -> list[str]:
    """Returns the mutants that a model defines."""
    return sorted(set(MUTANT.findall((SPEC / f"{model}.pml").read_text())))


def check_models(*, full: bool) -> bool:
    """Checks every model, and prints a line for each."""
    good = True
    for check in CHECKS:
        defines = check.full if full else check.small
        verdict = verify(check.model, defines)
        passed = verdict.passed and verdict.complete
        good = good and passed
        _print("holds" if passed else "FAILS", check.model, defines, verdict)
    return good


def check_mutants() -> bool:
    """Checks that every mutant is rejected, and prints a line for each."""
    good = True
    for check in CHECKS:
        for mutant in mutants(check.model):
            if not _concerns(check, mutant):
                continue
            bounds = MUTANT_BOUNDS.get(mutant, check.mutants)
            verdict = verify(check.model, (*bounds, mutant))
            # A model that could not be run at all rejects nothing.
            rejected = not verdict.passed and verdict.states > 0
            good = good and rejected
            _print("rejected" if rejected else "NOT REJECTED", mutant, bounds, verdict)
    return good


def _concerns(check: Check, mutant: str) -> bool:
    """An engine that checks numbers is one model, one that ignores them another."""
    if check.model != "orders":
        return True
    return (mutant == "MUTANT_ENGINE_FORGETS") == ("CHECKS=1" in check.full)


def _print(word: str, name: str, defines: tuple[str, ...], verdict: Verdict) -> None:
    bounds = " ".join(defines)
    figures = f"{verdict.states} states, {verdict.seconds:.1f} s"
    print(f"{word:<13}{name:<28}{bounds:<20}{figures}", flush=True)


def _run(command: list[str], folder: str) -> str:
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    if done.returncode and command[0] != "./pan":
        raise RuntimeError(f"{command[0]}: {done.stdout}{done.stderr}")
    return done.stdout


def main() -> int:
    """Runs what the command line asks for; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--small", action="store_true", help="the bounds inside make test")
    parser.add_argument("--mutants", action="store_true", help="check that mutants are rejected")
    given = parser.parse_args()
    good = check_mutants() if given.mutants else check_models(full=not given.small)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
