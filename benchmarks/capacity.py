"""Measure the slopes behind docs/CAPACITY.md and write its table and plots.

Real node code runs against made-up peers, engines and customers in this process.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import random
import time
import tracemalloc
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import matplotlib
import numpy as np
import psutil
from medlargate._settings import Settings
from medlargate.fleet import (
    Config,
    ConfigReplica,
    Heartbeat,
    Membership,
    Operation,
    Peer,
    Route,
    UsageLedger,
    UsageRow,
    encode_part,
)
from medlargate.gateway import Node
from medlargate.gateway._admission import admit_request
from medlargate.gateway._caller import Caller
from medlargate.gateway._heartbeat_socket import COMPRESSION_LEVEL, DIGEST_BYTES
from medlargate.policy import (
    BackendView,
    ConcurrencyLimit,
    CrashTracker,
    Job,
    PoolScheduler,
    decide_quotas,
    decide_share,
)
from medlargate.telemetry import DecisionLog, Metrics, RequestTrace
from medlargate_standins.cluster import Cluster

matplotlib.use("Agg")
from matplotlib import pyplot

FOLDER = Path(__file__).resolve().parents[1] / "docs" / "capacity"
REPEATS = 3
FULL_SIZE = {
    "mesh": 28,
    "domains": 17,
    "engines": 406,
    "customers": 39_000,
    "requests": 132,
    "traces": 20_000,
    "nodes": 470,
    "marks": 10_000,
}


@dataclass(frozen=True)
class LinearFit:
    """A measured line and its value at full size.

    Attributes
    ----------
    name, unit, size : str
        What was measured, in what, against which key of ``FULL``.
    sizes, values : tuple of float
        The measurements.
    slope, base, residual : float
        Fit, and its largest relative residual.
    """

    name: str
    unit: str
    size: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    base: float
    residual: float

    @property
    def projected(self) -> float:
        """The value at full size."""
        return self.base + self.slope * FULL_SIZE[self.size]


def fit(
    name: str, unit: str, size: str, sizes: list[int], measure: Callable[[int], float]
) -> LinearFit:
    """Measure at several sizes and fit a line.

    Parameters
    ----------
    name, unit, size : str
        See ``Slope``.
    sizes : list of int
        Where to measure.
    measure : callable
        Gives the value at a size; the least of some repeats counts.

    Returns
    -------
    Slope
        The fit.
    """
    values = [min(measure(n) for _ in range(REPEATS)) for n in sizes]
    slope, base = np.polyfit(sizes, values, 1)
    fitted = base + slope * np.array(sizes)
    residual = float(np.max(np.abs(fitted - values) / np.maximum(values, 1e-12)))
    return LinearFit(
        name,
        unit,
        size,
        tuple(sizes),
        tuple(values),
        float(slope),
        float(base),
        residual,
    )


def time_cpu(action: Callable[[], object], n: int) -> float:
    """Return CPU microseconds per call.

    Parameters
    ----------
    action : callable
        What to time.
    n : int
        Calls.

    Returns
    -------
    float
        Microseconds.
    """
    begun = time.process_time()
    for _ in range(n):
        action()
    return (time.process_time() - begun) / n * 1e6


def measure_memory(make: Callable[[], object]) -> float:
    """Return the bytes that an object keeps.

    Parameters
    ----------
    make : callable
        Makes it.

    Returns
    -------
    float
        Bytes.
    """
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


# Membership


def make_load() -> dict:
    """Make the load part of a full-size heartbeat: 8 models, 5 tiers."""
    tiers = dict.fromkeys(range(5), 12.34)
    return {
        "demand": {f"model-{i}": tiers for i in range(8)},
        "waiting": {f"model-{i}": dict.fromkeys(range(5), 3) for i in range(8)},
        "work": {
            f"model-{i % 8}|class-{i % 5}|customer-{i * 2437:05d}": 12345.6 + i * 917.3
            for i in range(16)
        },
    }


def make_membership(n_mesh: int, n_domains: int) -> Membership:
    """Make a membership that has heard of everyone."""
    members = Membership("n0", "d0", "n0-x", make_load=make_load)
    peers = [Peer(f"n{i}", "d0", (f"10.0.0.{i}", 1), 1) for i in range(1, n_mesh)]
    for domain in range(1, n_domains):
        peers += [Peer(f"p{domain}-{i}", f"d{domain}", ("", 1), 1) for i in range(2)]
    members.observe_peers(peers, 0.0)
    members.observe_confirmation(0.0, 12_000)
    members.observe_sync()
    for peer in peers:
        members._observe_word(peer.name, 0.0, 12_000)
    for domain in range(1, n_domains):
        members._observe_domain(f"d{domain}", 0.0, 12_000)
    return members


def measure_heartbeat_bytes(n_mesh: int, n_domains: int) -> float:
    """Return the bytes of one heartbeat."""
    facts = make_membership(n_mesh, n_domains).make_status(1.0)
    heartbeat = Heartbeat(number=1, is_answer=False, facts=facts)
    text = heartbeat.model_dump_json(exclude_defaults=True).encode()
    return float(len(zlib.compress(text, COMPRESSION_LEVEL)) + DIGEST_BYTES)


def measure_heartbeat_cpu(n_mesh: int) -> float:
    """Return CPU microseconds of one message: make, encode, decode, take in."""
    members = make_membership(n_mesh, 17)

    def exchange() -> None:
        out = members.make_heartbeats(["n1"], 1.0)[0]
        text = out.heartbeat.model_dump_json(exclude_defaults=True).encode()
        raw = zlib.decompress(zlib.compress(text, COMPRESSION_LEVEL))
        answer = Heartbeat.model_validate_json(raw)
        facts = answer.facts.model_copy(update={"node": "n1"})
        members.observe(
            answer.model_copy(update={"is_answer": True, "facts": facts}), 1.0
        )

    return time_cpu(exchange, 200)


# Configuration


def make_operations(n: int) -> list[Operation]:
    """Make customers with one key each."""
    operations = []
    for i in range(n):
        name = f"customer-{i:05d}"
        operations.append(Operation(action="put", kind="customer", name=name, value={}))
        value = {"customer": name, "digest": f"{i:064x}"}
        operations.append(
            Operation(action="put", kind="key", name=f"key-{i:05d}", value=value)
        )
    return operations


def make_config(n: int) -> Config:
    """Make a configuration with customers and keys."""
    cfg = Config()
    for operation in make_operations(n):
        cfg.apply(operation)
    return cfg


def measure_change_cpu(n: int) -> float:
    """Return CPU microseconds to check one change at a node that accepts it."""
    replica = ConfigReplica(time.monotonic)
    replica.config = make_config(n)
    change = [Operation(action="put", kind="customer", name="new", value={})]
    return time_cpu(lambda: replica.check(change), 20)


# Scheduling


def make_scheduler(n_engines: int) -> PoolScheduler:
    """Make a scheduler before many engines."""
    scheduler = PoolScheduler("m")
    for i in range(n_engines):
        limit = ConcurrencyLimit(8)
        scheduler.views[f"e{i}"] = BackendView(f"e{i}", "d0", False, limit)
    return scheduler


def measure_request_cpu(n_engines: int) -> float:
    """Return CPU microseconds of the decisions about one request."""
    scheduler = make_scheduler(n_engines)
    count = iter(range(10**9))
    clock = iter(range(10**9))

    def serve() -> None:
        now = next(clock) * 0.0075
        number = next(count)
        job = Job(
            f"r{number}", f"c{number % 500}", "cls", "m", 0, now, now + 1.7, work=100.0
        )
        scheduler.observe_arrival(job, now)
        scheduler.decide(now)
        scheduler.observe_first_token(job, 0.1)
        scheduler.observe_dispatch_end(job, now + 0.005, work=110.0)

    return time_cpu(serve, 1000)


def measure_share_cpu(n_engines: int) -> float:
    """Return CPU microseconds to split all engines' slots among 28 nodes once."""
    demands = {f"n{i}": {0: 3.0 + i, 2: 20.0} for i in range(FULL_SIZE["mesh"])}

    def share() -> None:
        quotas = decide_quotas(n_engines * 8, demands)
        for i in range(n_engines):
            decide_share(f"e{i}", 8, quotas, "n3")

    share()
    return time_cpu(share, 5)


# Usage, quarantine, explain


def make_ledger(n_rows: int) -> UsageLedger:
    """Make a ledger with rows of many customers."""
    ledger = UsageLedger("n0-abcdef", 60.0, time.time)
    rng = random.Random(1)
    for i in range(n_rows):
        counts = UsageRow(
            requests=rng.randrange(1, 5),
            prompt_tokens=rng.randrange(20, 9000),
            output_tokens=rng.randrange(5, 4000),
        )
        ledger.count_request(f"customer-{i:05d}", "class-1", counts)
    return ledger


def measure_usage_part_bytes(n_rows: int) -> float:
    """Return the bytes of a node's part of one window."""
    part = next(iter(make_ledger(n_rows).parts.values()))
    return float(len(encode_part(part)))


def measure_node_memory() -> dict[int, float]:
    """Return a node's resident megabytes after requests of 5,000 customers."""
    settings = {
        "node": {"name": "n", "failure_domain": "d", "address": "127.0.0.1"},
        "platform": {"address": "127.0.0.1"},
    }
    node = Node(Settings.model_validate(settings))
    node.replica.config = make_config(5_000)
    node.replica.config.apply(
        Operation(action="put", kind="class", name="cls", value={"tier": 0})
    )
    route = Route(request_class="cls", pool="m")
    found = {}
    logging.disable(logging.CRITICAL)
    for number in range(100_001):
        if number in (0, 25_000, 50_000, 75_000, 100_000):
            gc.collect()
            found[number] = psutil.Process().memory_info().rss / 1e6
        caller = Caller(f"customer-{number % 5000:05d}", "key")
        exch = admit_request(
            node, caller, "r", route, request_id=f"{number:024x}", body=b"{}"
        )
        exch.record("dispatch", backend="e1", reason="tier", candidates=())
        exch.n_tokens = 100
        exch.states.observe("enqueue")
        exch.states.observe("refuse")
        node.finish_request(exch, "ok")
    logging.disable(logging.NOTSET)
    return found


def make_decision_log(n: int) -> DecisionLog:
    """Make a record of requests with the usual steps."""
    log = DecisionLog(max_requests=n)
    for i in range(n):
        trace = RequestTrace(f"r{i:024d}", f"customer-{i:05d}", "cls", "route", 1.0)
        trace.add_step(0.1, "admission", tier=0, work=100.0, key="key")
        trace.add_step(0.2, "dispatch", backend="e1", reason="tier", candidates=())
        log.observe_request(trace)
    return log


def make_crash_tracker(n: int) -> CrashTracker:
    """Make a tracker full of suspects."""
    tracker = CrashTracker()
    for i in range(n):
        tracker.add_suspect(f"{i:016x}", "engine-1", 0.0)
    return tracker


def measure_metrics_memory(n_customers: int) -> float:
    """Return the bytes of the instruments after requests of many customers."""

    def make() -> Metrics:
        metrics = Metrics()
        for i in range(n_customers):
            metrics.observe_request(
                customer=f"customer-{i}",
                request_class="cls",
                outcome="ok",
                queue_wait=0.1,
                first_token=0.2,
                interval=0.02,
                n_tokens=100,
            )
        return metrics

    return measure_memory(make)


def measure_all() -> list[LinearFit]:
    """Measure every slope.

    Returns
    -------
    list of Slope
        In the order of the page.
    """
    mesh = [7, 14, 28, 56, 112]
    engines = [50, 100, 200, 406]
    customers = [1000, 2000, 4000, 8000, 16_000]
    return [
        fit(
            "heartbeat bytes, by mesh",
            "bytes",
            "mesh",
            mesh,
            lambda n: measure_heartbeat_bytes(n, 17),
        ),
        fit(
            "heartbeat bytes, by failure domains",
            "bytes",
            "domains",
            [2, 4, 8, 17],
            lambda n: measure_heartbeat_bytes(28, n),
        ),
        fit("heartbeat CPU, by mesh", "us", "mesh", mesh, measure_heartbeat_cpu),
        fit(
            "configuration memory, by customers",
            "bytes",
            "customers",
            customers,
            lambda n: measure_memory(lambda: make_config(n)),
        ),
        fit(
            "CPU of one accepted change, by customers",
            "us",
            "customers",
            customers,
            measure_change_cpu,
        ),
        fit(
            "decisions' CPU a request, by engines",
            "us",
            "engines",
            engines,
            measure_request_cpu,
        ),
        fit(
            "slot shares' CPU a round, by engines",
            "us",
            "engines",
            engines,
            measure_share_cpu,
        ),
        fit(
            "engine views' memory, by engines",
            "bytes",
            "engines",
            engines,
            lambda n: measure_memory(lambda: make_scheduler(n)),
        ),
        fit(
            "usage part bytes, by customers seen",
            "bytes",
            "customers",
            [500, 1000, 2000, 4000],
            measure_usage_part_bytes,
        ),
        fit(
            "record's memory, by requests kept",
            "bytes",
            "traces",
            [1000, 2000, 5000],
            lambda n: measure_memory(lambda: make_decision_log(n)),
        ),
        fit(
            "quarantine's memory, by marks",
            "bytes",
            "marks",
            [500, 1000, 2000],
            lambda n: measure_memory(lambda: make_crash_tracker(n)),
        ),
    ]


async def count_store_calls(seconds: float) -> dict[str, float]:
    """Count the store's calls a second of seven idle nodes in four domains.

    Parameters
    ----------
    seconds : float
        How long to count.

    Returns
    -------
    dict of str to float
        Calls a second by kind.
    """
    cluster = Cluster()
    try:
        await cluster.start()
        await asyncio.sleep(8)
        before = (await cluster.read_stats(cluster.platform))["calls"]
        await asyncio.sleep(seconds)
        after = (await cluster.read_stats(cluster.platform))["calls"]
    finally:
        cluster.close()
    return {kind: (after[kind] - before.get(kind, 0)) / seconds for kind in after}


def plot(slope: LinearFit, folder: Path) -> None:
    """Draw a slope.

    Parameters
    ----------
    slope : Slope
        The measurements with their fit.
    folder : Path
        Where the PNG goes.
    """
    figure, axes = pyplot.subplots(figsize=(5, 3.2))
    axes.plot(slope.sizes, slope.values, "o", label="measured")
    ends = np.array([0, max(*slope.sizes, FULL_SIZE[slope.size])])
    axes.plot(ends, slope.base + slope.slope * ends, "-", label="fit")
    axes.plot([FULL_SIZE[slope.size]], [slope.projected], "x", label="full size")
    axes.set_xlabel(slope.size)
    axes.set_ylabel(slope.unit)
    axes.set_title(slope.name, fontsize=9)
    axes.legend(fontsize=8)
    figure.tight_layout()
    name = slope.name.replace(" ", "-").replace(",", "").replace("'", "")
    figure.savefig(folder / f"{name}.png", dpi=80)
    pyplot.close(figure)


@click.command()
@click.option("--store-seconds", default=10.0, show_default=True)
def main(store_seconds: float) -> None:
    """Measure, print the table, write data and plots."""
    node_memory = measure_node_memory()
    slopes = measure_all()
    calls = asyncio.run(count_store_calls(store_seconds))
    FOLDER.mkdir(exist_ok=True)
    for slope in slopes:
        plot(slope, FOLDER)
    rows = [{**vars(slope), "projected": slope.projected} for slope in slopes]
    flat = {n: measure_metrics_memory(n) for n in (200, 2000, 5000)}
    data = {"full": FULL_SIZE, "slopes": rows, "store_calls": calls, "metrics": flat}
    data["node_megabytes"] = node_memory
    (FOLDER / "data.json").write_text(json.dumps(data, indent=1) + "\n")
    click.echo("| what | unit | base | slope | residual | at full size |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for slope in slopes:
        click.echo(
            f"| {slope.name} | {slope.unit} | {slope.base:.4g} | {slope.slope:.4g} "
            f"| {slope.residual:.0%} | {slope.projected:.4g} |"
        )
    click.echo(f"store calls a second, 7 idle nodes: {calls}")
    click.echo(f"node's megabytes by requests: {node_memory}")
    click.echo(f"metrics' memory by customers: {flat}")


if __name__ == "__main__":
    main()
