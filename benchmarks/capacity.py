"""Measure resource use against fleet size and write a table, data and plots.

The results are those of docs/CAPACITY.md. Except for the count of store calls, the node
code under test runs in this process against synthetic peers, engines and customers.
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
REPEATS = 3  # measurements at each size, of which the least counts
# Sizes of a full deployment, to which the fitted lines are extrapolated.
FULL_SIZE = {
    "mesh": 28,  # nodes of a failure domain
    "domains": 17,  # failure domains
    "engines": 406,  # engines of a failure domain
    "customers": 39_000,  # customers of the deployment
    "requests": 132,  # requests per second and node; no fit uses them
    "traces": 20_000,  # requests in a node's decision log
    "nodes": 470,  # nodes of the deployment; no fit uses them
    "marks": 10_000,  # suspect requests in a node's crash tracker
}


@dataclass(frozen=True)
class LinearFit:
    """Linear fit of a measured quantity against a size.

    Attributes
    ----------
    name, unit : str
        Measured quantity and its unit.
    size : str
        Key of ``FULL_SIZE`` for the size that was varied.
    sizes, values : tuple of float
        Sizes and the values measured at them.
    slope, base : float
        Slope and intercept of the line.
    residual : float
        Largest relative residual of the fit.
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
        """Value of the fitted line at full size."""
        return self.base + self.slope * FULL_SIZE[self.size]


def fit(
    name: str, unit: str, size: str, sizes: list[int], measure: Callable[[int], float]
) -> LinearFit:
    """Measure at several sizes and fit a line.

    Parameters
    ----------
    name, unit, size : str
        Labels of the measurement, as in ``LinearFit``.
    sizes : list of int
        Sizes at which to measure.
    measure : callable
        Function from a size to the measured value. The least of ``REPEATS`` values
        counts.

    Returns
    -------
    LinearFit
        Fit with its measurements.
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
        Function to time.
    n : int
        Number of calls.

    Returns
    -------
    float
        CPU microseconds per call.
    """
    started_at = time.process_time()
    for _ in range(n):
        action()
    return (time.process_time() - started_at) / n * 1e6


def measure_memory(make: Callable[[], object]) -> float:
    """Return the bytes of memory that an object holds.

    Parameters
    ----------
    make : callable
        Function that creates the object.

    Returns
    -------
    float
        Allocated bytes.
    """
    gc.collect()
    tracemalloc.start()
    obj = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del obj
    return float(size)


# Membership


def make_load() -> dict:
    """Return the load part of a full-size heartbeat: 8 models and 5 tiers."""
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
    """Create a membership that has recent state of every peer and domain."""
    membership = Membership("n0", "d0", "n0-x", make_load=make_load)
    peers = [Peer(f"n{i}", "d0", (f"10.0.0.{i}", 1), 1) for i in range(1, n_mesh)]
    for domain in range(1, n_domains):
        peers += [Peer(f"p{domain}-{i}", f"d{domain}", ("", 1), 1) for i in range(2)]
    membership.observe_peers(peers, 0.0)
    membership.observe_confirmation(0.0, 12_000)
    membership.observe_sync()
    for peer in peers:
        membership._observe_revision(peer.name, 0.0, 12_000)
    for domain in range(1, n_domains):
        membership._observe_domain(f"d{domain}", 0.0, 12_000)
    return membership


def measure_heartbeat_bytes(n_mesh: int, n_domains: int) -> float:
    """Return the size in bytes of one compressed heartbeat with its digest."""
    facts = make_membership(n_mesh, n_domains).make_status(1.0)
    heartbeat = Heartbeat(number=1, is_answer=False, facts=facts)
    text = heartbeat.model_dump_json(exclude_defaults=True).encode()
    return float(len(zlib.compress(text, COMPRESSION_LEVEL)) + DIGEST_BYTES)


def measure_heartbeat_cpu(n_mesh: int) -> float:
    """Return the CPU microseconds to make, encode, decode and process a heartbeat."""
    membership = make_membership(n_mesh, 17)

    def exchange() -> None:
        out = membership.make_heartbeats(["n1"], 1.0)[0]
        text = out.heartbeat.model_dump_json(exclude_defaults=True).encode()
        raw = zlib.decompress(zlib.compress(text, COMPRESSION_LEVEL))
        answer = Heartbeat.model_validate_json(raw)
        facts = answer.facts.model_copy(update={"node": "n1"})
        membership.observe(
            answer.model_copy(update={"is_answer": True, "facts": facts}), 1.0
        )

    return time_cpu(exchange, 200)


# Configuration


def make_operations(n: int) -> list[Operation]:
    """Return the operations that create ``n`` customers with one key each."""
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
    """Create a configuration with ``n`` customers and their keys."""
    cfg = Config()
    for operation in make_operations(n):
        cfg.apply(operation)
    return cfg


def measure_change_cpu(n: int) -> float:
    """Return the CPU microseconds of ``ConfigReplica.check`` for one new customer."""
    replica = ConfigReplica(time.monotonic)
    replica.config = make_config(n)
    change = [Operation(action="put", kind="customer", name="new", value={})]
    return time_cpu(lambda: replica.check(change), 20)


# Scheduling


def make_scheduler(n_engines: int) -> PoolScheduler:
    """Create a scheduler with ``n_engines`` engines of 8 slots each."""
    scheduler = PoolScheduler("m")
    for i in range(n_engines):
        limit = ConcurrencyLimit(8)
        scheduler.views[f"e{i}"] = BackendView(f"e{i}", "d0", False, limit)
    return scheduler


def measure_request_cpu(n_engines: int) -> float:
    """Return the CPU microseconds that a scheduler spends on one request.

    The scheduler has no other request in its queue.
    """
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
    """Return the CPU microseconds to split the slots of all engines among 28 nodes."""
    demands = {f"n{i}": {0: 3.0 + i, 2: 20.0} for i in range(FULL_SIZE["mesh"])}

    def share() -> None:
        quotas = decide_quotas(n_engines * 8, demands)
        for i in range(n_engines):
            decide_share(f"e{i}", 8, quotas, "n3")

    share()
    return time_cpu(share, 5)


# Usage, quarantine, decision records


def make_ledger(n_rows: int) -> UsageLedger:
    """Create a usage ledger with rows of ``n_rows`` customers."""
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
    """Return the size in bytes of a node's usage part of one window."""
    part = next(iter(make_ledger(n_rows).parts.values()))
    return float(len(encode_part(part)))


def measure_node_memory() -> dict[int, float]:
    """Return the resident megabytes of this process by the number of requests.

    A node in this process admits the requests and finishes them. The requests come
    from 5,000 customers. They are not received over HTTP, scheduled or sent.
    """
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
    megabytes = {}
    logging.disable(logging.CRITICAL)
    for number in range(100_001):
        if number in (0, 25_000, 50_000, 75_000, 100_000):
            gc.collect()
            megabytes[number] = psutil.Process().memory_info().rss / 1e6
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
    return megabytes


def make_decision_log(n: int) -> DecisionLog:
    """Create a decision log of ``n`` requests with the usual steps."""
    log = DecisionLog(max_requests=n)
    for i in range(n):
        trace = RequestTrace(f"r{i:024d}", f"customer-{i:05d}", "cls", "route", 1.0)
        trace.add_step(0.1, "admission", tier=0, work=100.0, key="key")
        trace.add_step(0.2, "dispatch", backend="e1", reason="tier", candidates=())
        log.observe_request(trace)
    return log


def make_crash_tracker(n: int) -> CrashTracker:
    """Create a crash tracker with ``n`` suspect requests."""
    tracker = CrashTracker()
    for i in range(n):
        tracker.add_suspect(f"{i:016x}", "engine-1", 0.0)
    return tracker


def measure_metrics_memory(n_customers: int) -> float:
    """Return the bytes of the metrics after one request of each customer."""

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
    """Measure and fit every quantity.

    Returns
    -------
    list of LinearFit
        Fits in the order of the table in docs/CAPACITY.md.
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
    """Count the store calls per second of seven idle nodes in four domains.

    Parameters
    ----------
    seconds : float
        Duration of the count.

    Returns
    -------
    dict of str to float
        Calls per second by kind of call.
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


def plot(line: LinearFit, folder: Path) -> None:
    """Plot the measurements and the fitted line.

    Parameters
    ----------
    line : LinearFit
        Measurements with their fit.
    folder : Path
        Folder for the PNG file.
    """
    figure, axes = pyplot.subplots(figsize=(5, 3.2))
    axes.plot(line.sizes, line.values, "o", label="measured")
    ends = np.array([0, max(*line.sizes, FULL_SIZE[line.size])])
    axes.plot(ends, line.base + line.slope * ends, "-", label="fit")
    axes.plot([FULL_SIZE[line.size]], [line.projected], "x", label="full size")
    axes.set_xlabel(line.size)
    axes.set_ylabel(line.unit)
    axes.set_title(line.name, fontsize=9)
    axes.legend(fontsize=8)
    figure.tight_layout()
    name = line.name.replace(" ", "-").replace(",", "").replace("'", "")
    figure.savefig(folder / f"{name}.png", dpi=80)
    pyplot.close(figure)


@click.command()
@click.option("--store-seconds", default=10.0, show_default=True)
def main(store_seconds: float) -> None:
    """Measure, print the table, write data and plots."""
    node_memory = measure_node_memory()
    fits = measure_all()
    calls = asyncio.run(count_store_calls(store_seconds))
    FOLDER.mkdir(exist_ok=True)
    for line in fits:
        plot(line, FOLDER)
    rows = [{**vars(line), "projected": line.projected} for line in fits]
    flat = {n: measure_metrics_memory(n) for n in (200, 2000, 5000)}
    data = {"full": FULL_SIZE, "slopes": rows, "store_calls": calls, "metrics": flat}
    data["node_megabytes"] = node_memory
    (FOLDER / "data.json").write_text(json.dumps(data, indent=1) + "\n")
    click.echo("| what | unit | base | slope | residual | at full size |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for line in fits:
        click.echo(
            f"| {line.name} | {line.unit} | {line.base:.4g} | {line.slope:.4g} "
            f"| {line.residual:.0%} | {line.projected:.4g} |"
        )
    click.echo(f"store calls a second, 7 idle nodes: {calls}")
    click.echo(f"node's megabytes by requests: {node_memory}")
    click.echo(f"metrics' memory by customers: {flat}")


if __name__ == "__main__":
    main()
