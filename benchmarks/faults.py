"""Inject faults into seven real nodes in four failure domains under load."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import click
from medlargate_standins.cluster import CALLER_SECRET, Cluster, Process, ask_operator

RATE = 200.0  # requests per second
LEASE_TIMEOUT = 6.0  # seconds without renewal until a duty passes to another node


@dataclass
class LoadGenerator:
    """Open-loop load at a fixed rate, with the outcomes of its requests.

    Attributes
    ----------
    cluster : Cluster
        Cluster under test.
    session : aiohttp.ClientSession
        Session for all requests.
    outcomes : list of (float, str)
        End time, in seconds on the monotonic clock, and outcome of each request.
    refused_not_run : set of str
        Ids of the bookings that were rejected with the statement that they did not run.
    sent : set of str
        Ids of all bookings.
    alive : list of Process
        Nodes that receive requests.
    """

    cluster: Cluster
    session: aiohttp.ClientSession
    outcomes: list[tuple[float, str]] = field(default_factory=list)
    refused_not_run: set[str] = field(default_factory=set)
    sent: set[str] = field(default_factory=set)
    alive: list[Process] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self) -> None:
        """Send requests until cancelled."""
        for number in range(10**9):
            task = asyncio.create_task(self._send_request(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / RATE)

    async def finish(self) -> None:
        """Wait for the requests in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_request(self, number: int) -> None:
        node = random.choice(self.alive)
        try:
            outcome = await (
                self._chat(node, number) if number % 2 else self._book(node, number)
            )
        except (aiohttp.ClientError, TimeoutError):
            outcome = "broken"
        self.outcomes.append((time.monotonic(), outcome))

    async def _chat(self, node: Process, number: int) -> str:
        body = {
            "model": "chat",
            "messages": [{"role": "user", "content": f"q{number}"}],
            "max_tokens": 8,
        }
        url = node.url + "/v1/chat/completions"
        async with self.session.post(url, json=body) as resp:
            answer = await resp.json()
            return "ok" if resp.status == 200 else answer["error"]["code"]

    async def _book(self, node: Process, number: int) -> str:
        call = f"b{number}"
        self.sent.add(call)
        headers = {"Idempotency-Key": call}
        url = node.url + "/routes/bookings/x"
        async with self.session.post(
            url, data=json.dumps({"call": call}), headers=headers
        ) as resp:
            answer = await resp.json()
            if resp.status == 200:
                return "ok"
            if answer["error"]["run"] == "not_run":
                self.refused_not_run.add(call)
            return answer["error"]["code"]

    def goodput(self, start: float, end: float) -> float:
        """Return the successful responses per second in an interval."""
        good = sum(
            start <= at < end and outcome == "ok" for at, outcome in self.outcomes
        )
        return good / (end - start)

    def count(self, start: float, end: float) -> dict[str, int]:
        """Return the number of requests by outcome in an interval."""
        return dict(
            Counter(outcome for at, outcome in self.outcomes if start <= at < end)
        )


async def _measure_phase(
    load: LoadGenerator, name: str, seconds: float, before: float
) -> float:
    started_at = time.monotonic()
    await asyncio.sleep(seconds)
    goodput = load.goodput(started_at, time.monotonic())
    ratio = f", {goodput / before:.2f} of before" if before else ""
    counts = load.count(started_at, time.monotonic())
    click.echo(f"{name}: {goodput:.0f} good answers/s{ratio}; {counts}")
    return goodput


async def _find_duty_holder(load: LoadGenerator, duty: str) -> Process | None:
    answer = await ask_operator(load.session, load.alive[0], "show leases")
    for row in answer.get("rows", []):
        if row["name"] == duty and row["held"]:
            return next(n for n in load.cluster.nodes if n.name == row["node"])
    return None


async def run(outage: float) -> None:
    """Inject all faults in turn and print the results.

    Parameters
    ----------
    outage : float
        Seconds for which the key-value store is unavailable.
    """
    cluster = Cluster(node_options={"fleet": {"lease_timeout": LEASE_TIMEOUT}})
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    headers = {"Authorization": f"Bearer {CALLER_SECRET}"}
    timeout = aiohttp.ClientTimeout(total=20)
    try:
        await cluster.start()
        async with aiohttp.ClientSession(
            headers=headers, connector=connector, timeout=timeout
        ) as session:
            load = LoadGenerator(cluster, session, alive=list(cluster.nodes))
            runner = asyncio.create_task(load.run())
            await asyncio.sleep(8)
            before = await _measure_phase(load, "before", 6, 0)
            await _stop_duty_holder(load, before)
            await _kill_two_nodes(load, before)
            await cluster.set_fault(cluster.platform, down=outage)
            await _measure_phase(load, f"platform away {outage:.0f} s", outage, before)
            await _measure_phase(load, "platform back", 8, before)
            runner.cancel()
            await load.finish()
            await asyncio.sleep(20)
            await _print_violations(load)
    finally:
        cluster.close()


async def _stop_duty_holder(load: LoadGenerator, before: float) -> None:
    holder = await _find_duty_holder(load, "usage")
    if holder is None:
        click.echo("nobody holds the duty usage")
        return
    holder.send_signal(signal.SIGSTOP)
    load.alive.remove(holder)
    await _measure_phase(
        load, f"holder {holder.name} stopped", 2 * LEASE_TIMEOUT, before
    )
    holder.send_signal(signal.SIGCONT)
    load.alive.append(holder)
    await _measure_phase(load, "holder continued", 6, before)


async def _kill_two_nodes(load: LoadGenerator, before: float) -> None:
    for node in load.cluster.nodes[1:3]:
        node.popen.kill()
        if node in load.alive:
            load.alive.remove(node)
    await _measure_phase(load, "two nodes killed", 8, before)


async def _print_violations(load: LoadGenerator) -> None:
    executions: Counter[str] = Counter()
    for service in load.cluster.services:
        executions.update((await load.cluster.read_stats(service))["executions"])
    stats = await load.cluster.read_stats(load.cluster.platform)
    run_twice = [call for call, n in executions.items() if n > 1]
    falsely_refused = [call for call in load.refused_not_run if executions[call]]
    n_distinct = {w: len(set(bodies)) for w, bodies in stats["reports"].items()}
    conflicting = [window for window, n in n_distinct.items() if n > 1]
    fences: dict[str, int] = {}
    n_stale = 0
    for order in stats["orders"]:
        domain = order["failure_domain"]
        n_stale += order["fence"] < fences.get(domain, 0)
        fences[domain] = max(fences.get(domain, 0), order["fence"])
    click.echo(f"bookings sent {len(load.sent)}, doubled {len(run_twice)}")
    click.echo(
        f"refused as not run {len(load.refused_not_run)}, "
        f"of them run {len(falsely_refused)}"
    )
    click.echo(
        f"windows reported {len(n_distinct)}, with two figures {len(conflicting)}"
    )
    # The platform rejects orders with an outdated fencing token while ``check_fences``
    # is set, as it is here, and lists executed orders only. ``n_stale`` is then 0.
    click.echo(f"orders {len(stats['orders'])}, by an earlier holder {n_stale}")


@click.command()
@click.option("--outage", default=60.0, show_default=True, help="seconds")
def main(outage: float) -> None:
    """Suspend a duty holder, kill nodes and make the key-value store unavailable."""
    asyncio.run(run(outage))


if __name__ == "__main__":
    main()
