"""Mutation test: disable a mechanism and measure how soon its fuzzer fails."""

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
    """Deliberate fault in one module.

    Attributes
    ----------
    promise : str
        Guarantee that the fault breaks, and how.
    file : str
        Path of the module within the package ``medlargate``.
    old, new : str
        Text to replace, and its replacement.
    fuzzer : str
        Part of the name of the test module that should fail.
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
        "a non-idempotent request runs at most once (retry it)",
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
        "not_run is reported only for requests that did not run",
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
        "at most one suspect runs on a server",
        "policy/_choice.py",
        "if job.isolated and view.n_suspects:",
        "if False:",
        "test_fuzz_scheduler",
    ),
    Mutant(
        "a duty has one holder (skip the successor's wait)",
        "fleet/_leases.py",
        "self._wait_until = now + self.successor_wait()",
        "self._wait_until = now",
        "test_fuzz_leases",
    ),
    Mutant(
        "a duty has one holder (hold the lease beyond its end)",
        "fleet/_leases.py",
        "HOLD_FRACTION = 0.6",
        "HOLD_FRACTION = 1.5",
        "test_fuzz_leases",
    ),
    Mutant(
        "an order runs at most once (cancel one that may be in transit)",
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
        "a withdrawn key stops working (date status by its arrival)",
        "fleet/_membership.py",
        "self._observe_revision(name, sent_at - aged.age, aged.revision)",
        "self._observe_revision(name, now, aged.revision)",
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
        "a window is reported with one count (seal it twice)",
        "fleet/_windows.py",
        "Compare(sealed_key, 0),\n            Compare(NEXT_KEY, next_mod),",
        "",
        "test_fuzz_usage",
    ),
    Mutant(
        "usage is counted once (late parts not recorded as reported)",
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
        "a claimed call runs at most once (claim an existing key)",
        "fleet/_claims.py",
        "compares = [Compare(item.key, 0) for item in batch]",
        "compares = []",
        "test_fuzz_claims",
    ),
    Mutant(
        "a claimed call runs at most once (take over another's claim)",
        "fleet/_claims.py",
        "if claim.token == item.claim.token:",
        "if True:",
        "test_fuzz_claims",
    ),
    Mutant(
        "no answer is broken off for a silence alone (give up the last attempt)",
        "relay/_request_handler.py",
        "and exch.n_sent < exch.rule.max_attempts\n            and self._get_budget",
        "and self._get_budget",
        "test_silence",
    ),
    Mutant(
        "the first event of a stream may take longer than a pause",
        "relay/_request_handler.py",
        "            limit.stop_waiting()\n            async for",
        "            async for",
        "test_silence",
    ),
    Mutant(
        "a refusal stays a refusal whatever its body (read it to its end)",
        "relay/_sender.py",
        "except (ExchangeFaultError, TimeoutError) as exc:",
        "except ZeroDivisionError as exc:",
        "test_silence",
    ),
    Mutant(
        "revisions rise across a restore of the store",
        "platform/_eras.py",
        "return (era << REVISION_BITS) | store_revision if store_revision else 0",
        "return store_revision",
        "test_store_era",
    ),
    Mutant(
        "a lease of an earlier era is not renewed",
        "platform/_store.py",
        "return self._lease_eras.get(lease, self.era) != self.era",
        "return False",
        "test_store_era",
    ),
    Mutant(
        "no window is sent with other counts after a lost seal",
        "fleet/_usage_reporter.py",
        "if window >= self._first_unsealed:",
        "if True:",
        "test_restored_store",
    ),
    Mutant(
        "a draining server stays draining in a restored store",
        "fleet/_cluster_state.py",
        "return replace(registration, draining=True)",
        "return registration",
        "test_restored_store",
    ),
    Mutant(
        "a server that announced its leaving gets no requests",
        "relay/_request_queue.py",
        "and it.server_id not in leaving",
        "",
        "test_leaving",
    ),
    Mutant(
        "a server that asked for a pause gets no requests until its end",
        "relay/_request_queue.py",
        "if not self._loads.get_refusal_time(it.server_id)",
        "if True",
        "test_leaving",
    ),
)


def run_mutant(mutant: Mutant) -> tuple[bool, float, str]:
    """Run the fuzzer of a mutant on a modified copy of the packages.

    Parameters
    ----------
    mutant : Mutant
        Fault to introduce.

    Returns
    -------
    tuple of (bool, float, str)
        Whether the fuzzer failed, after how many seconds, and its last error.
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
    """Run all mutants and print a table of the results.

    Returns
    -------
    int
        0 if every mutant was found within ``MAX_SECONDS``, otherwise 1.
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
