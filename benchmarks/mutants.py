"""Break one mechanism at a time and time how long its fuzzer takes to notice."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from rich.console import Console
from rich.table import Table

ROOT = Path(__file__).resolve().parents[1]
MAX_SECONDS = 60
PACKAGES = ("medlargate", "medlargate-ctl", "medlargate-standins")


@dataclass(frozen=True)
class Mutant:
    """One deliberate fault.

    Attributes
    ----------
    promise : str
        What it breaks.
    file : str
        Module below the package ``medlargate``.
    old, new : str
        The text that is replaced.
    fuzzer : str
        Part of the test module's name.
    """

    promise: str
    file: str
    old: str
    new: str
    fuzzer: str


MUTANTS = (
    Mutant(
        "no higher tier is shed for a lower one",
        "policy/_pool.py",
        "(lane.tier, lane.served)",
        "(-lane.tier, lane.served)",
        "test_fuzz_scheduler",
    ),
    Mutant(
        "no higher tier is shed early while a lower one waits",
        "policy/_scheduler.py",
        "return not self.state.has_waiting_below(job.tier)",
        "return True",
        "test_fuzz_scheduler",
    ),
    Mutant(
        "a non-idempotent request runs at most once (retry)",
        "policy/_retries.py",
        "verdict is Verdict.MAY_HAVE_RUN and not job.repeatable",
        "False",
        "test_fuzz_scheduler",
    ),
    Mutant(
        "a non-idempotent request is never preempted",
        "policy/_preemption.py",
        "if not victim.repeatable or",
        "if",
        "test_fuzz_scheduler",
    ),
    Mutant(
        "not run is true",
        "charts/request.yaml",
        "resending: {verdict: may_have_run}",
        "resending: {verdict: not_run}",
        "test_fuzz_scheduler",
    ),
    Mutant(
        "a leaving backend server gets no new work",
        "charts/backend.yaml",
        "leaving: {accepts: false}",
        "leaving: {accepts: true}",
        "test_fuzz_scheduler",
    ),
    Mutant(
        "suspects run alone",
        "policy/_choice.py",
        "if job.isolated and view.n_suspects:",
        "if False:",
        "test_fuzz_scheduler",
    ),
    Mutant(
        "one in charge (skip the successor's wait)",
        "fleet/_leases.py",
        "self._wait_until = now + self.successor_wait()",
        "self._wait_until = now",
        "test_fuzz_leases",
    ),
    Mutant(
        "one in charge (hold the lease to its end and beyond)",
        "fleet/_leases.py",
        "HOLD_FRACTION = 0.6",
        "HOLD_FRACTION = 1.5",
        "test_fuzz_leases",
    ),
    Mutant(
        "an order is never doubled (cancel what may be on its way)",
        "fleet/_orders.py",
        "return self.clock() - ended_at > 2 * self.lease.order_timeout",
        "return True",
        "test_fuzz_leases",
    ),
    Mutant(
        "an accepted configuration never reverts (ignore the order of records)",
        "fleet/_config.py",
        "if record.revision != self.revision + 1:",
        "if False:",
        "test_fuzz_config",
    ),
    Mutant(
        "a withdrawn key stops working (accept without a majority)",
        "fleet/_agent.py",
        "accepted = n_nodes > n_listed // 2",
        "accepted = True",
        "test_fuzz_config",
    ),
    Mutant(
        "a withdrawn key stops working (date word by its arrival)",
        "fleet/_membership.py",
        "self._observe_word(name, sent_at - word.age, word.revision)",
        "self._observe_word(name, now, word.revision)",
        "test_fuzz_config",
    ),
    Mutant(
        "an accepted configuration is in force (drop the read-back)",
        "fleet/_config.py",
        "return await self._read_back(store, record, lost=isinstance(answer, Failure))",
        "return Success(True)",
        "test_fuzz_config",
    ),
    Mutant(
        "no window has two figures (seal again over a sealed one)",
        "fleet/_windows.py",
        "Compare(sealed_key, 0),\n            Compare(NEXT_KEY, next_mod),",
        "",
        "test_fuzz_usage",
    ),
    Mutant(
        "usage is counted once (late parts not accounted for)",
        "fleet/_windows.py",
        "puts.append(Put(key, orjson.dumps(_dump(rows))))",
        "pass",
        "test_fuzz_usage",
    ),
    Mutant(
        "usage is never lost (an older part replaces a newer one)",
        "fleet/_usage.py",
        "if known.sequence >= part.sequence:",
        "if known.sequence == part.sequence:",
        "test_usage",
    ),
    Mutant(
        "a booking runs at most once (claim over an existing key)",
        "fleet/_claims.py",
        "compares = [Compare(item.key, 0) for item in batch]",
        "compares = []",
        "test_fuzz_claims",
    ),
    Mutant(
        "a booking runs at most once (take over a lost claim)",
        "fleet/_claims.py",
        "if claim.token == item.claim.token:",
        "if True:",
        "test_fuzz_claims",
    ),
)


def run_mutant(mutant: Mutant) -> tuple[bool, float, str]:
    """Run a mutant's fuzzer on a copy of the packages.

    Parameters
    ----------
    mutant : Mutant
        The fault.

    Returns
    -------
    tuple of (bool, float, str)
        Whether it was found, after how many seconds, and what was seen.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for package in PACKAGES:
            shutil.copytree(ROOT / "packages" / package, copy / package)
        path = copy / "medlargate" / "medlargate" / mutant.file
        text = path.read_text()
        if mutant.old not in text:
            return False, 0.0, "the text to replace is gone"
        path.write_text(text.replace(mutant.old, mutant.new, 1))
        paths = os.pathsep.join(str(copy / package) for package in PACKAGES)
        env = {**os.environ, "PYTHONPATH": paths, "MEDLARGATE_FUZZ": "find"}
        command = [sys.executable, "-m", "medlargate_standins.run_tests"]
        begun = time.monotonic()
        try:
            done = subprocess.run(
                [*command, mutant.fuzzer],
                cwd=folder,
                env=env,
                capture_output=True,
                text=True,
                timeout=MAX_SECONDS,
            )
        except subprocess.TimeoutExpired:
            return False, MAX_SECONDS, "not found"
        errors = [line for line in done.stderr.splitlines() if "Error" in line]
        seen = errors[-1] if errors else done.stdout[-200:]
        return done.returncode != 0, time.monotonic() - begun, seen


def main() -> int:
    """Print mutant, promise and time to find.

    Returns
    -------
    int
        0 when every mutant was found in time.
    """
    with ThreadPoolExecutor(4) as pool:
        results = list(pool.map(run_mutant, MUTANTS))
    table = Table("promise", "module", "found", "seconds", "seen", title="mutants")
    for mutant, (found, elapsed, seen) in zip(MUTANTS, results, strict=True):
        mark = "yes" if found else "NO"
        table.add_row(mutant.promise, mutant.file, mark, f"{elapsed:.1f}", seen[:60])
    Console(width=160).print(table)
    return 0 if all(found for found, _, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main())
