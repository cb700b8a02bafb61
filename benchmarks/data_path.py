"""Measure CPU per request and per relayed token, and the added first-token time.

Each run sends the same load through a router and directly to the engine stand-in.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from dataclasses import dataclass, field

import aiohttp
import click
import psutil
from medlargate_standins.cluster import CALLER_SECRET, Cluster, Process

N_STREAMS = 64  # concurrent streams through the router
WARM_UP = 20  # requests before each measurement


@dataclass
class Measurement:
    """Measurement of a process under one load.

    Attributes
    ----------
    cpu : float
        CPU seconds of the measured process.
    n_requests, n_tokens : int
        Number of requests and of tokens received.
    first_tokens : list of float
        Time to first token of each request, in seconds.
    elapsed : float
        Duration of the load in seconds.
    """

    cpu: float = 0.0
    n_requests: int = 0
    n_tokens: int = 0
    first_tokens: list[float] = field(default_factory=list)
    elapsed: float = 0.0


async def _send_stream(
    session: aiohttp.ClientSession,
    url: str,
    model: str,
    n_tokens: int,
    out: Measurement,
) -> None:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"bench {out.n_requests}"}],
        "max_tokens": n_tokens,
        "stream": True,
    }
    started_at = time.perf_counter()
    first = None
    async with session.post(url + "/v1/chat/completions", json=body) as resp:
        resp.raise_for_status()
        async for chunk in resp.content.iter_any():
            if first is None and b'"content":"' in chunk:
                first = time.perf_counter() - started_at
            out.n_tokens += chunk.count(b'"content":"')
    out.n_requests += 1
    if first is not None:
        out.first_tokens.append(first)


async def measure(
    target: Process, model: str, *, n_requests: int, n_tokens: int, n_streams: int
) -> Measurement:
    """Send streaming requests to a process and measure its CPU time.

    Parameters
    ----------
    target : Process
        Router or engine under measurement.
    model : str
        Model name in the requests.
    n_requests, n_tokens, n_streams : int
        Number of requests, tokens per request, and concurrent streams.

    Returns
    -------
    Measurement
        Measurement, with the CPU time of the target alone.
    """
    out = Measurement()
    headers = {"Authorization": f"Bearer {CALLER_SECRET}"}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(headers=headers, connector=connector) as session:
        for _ in range(WARM_UP):
            await _send_stream(session, target.url, model, 2, Measurement())
        remaining = iter(range(n_requests))
        process = psutil.Process(target.popen.pid)
        before, started_at = process.cpu_times(), time.perf_counter()

        async def send_requests() -> None:
            for _ in remaining:
                await _send_stream(session, target.url, model, n_tokens, out)

        await asyncio.gather(*(send_requests() for _ in range(n_streams)))
        after = process.cpu_times()
    out.elapsed = time.perf_counter() - started_at
    out.cpu = after.user + after.system - before.user - before.system
    return out


def split_cost(short: Measurement, long: Measurement) -> tuple[float, float]:
    """Split CPU time into a cost per request and a cost per token.

    Parameters
    ----------
    short, long : Measurement
        Measurements with few and with many tokens per request.

    Returns
    -------
    tuple of (float, float)
        CPU seconds per request and per token.
    """
    cpu_short = short.cpu / short.n_requests
    cpu_long = long.cpu / long.n_requests
    tokens_short = short.n_tokens / short.n_requests
    tokens_long = long.n_tokens / long.n_requests
    per_token = (cpu_long - cpu_short) / (tokens_long - tokens_short)
    return cpu_short - per_token * tokens_short, per_token


async def run(n_streams: int, interval: float) -> None:
    """Run all loads and print the results.

    Parameters
    ----------
    n_streams : int
        Number of concurrent streams through the router.
    interval : float
        Seconds between two tokens of the engine stand-in.
    """
    cluster = Cluster(
        n_nodes=1,
        n_engines=4,
        n_services=1,
        engine_options=[
            "--token-interval",
            str(interval),
            "--max-concurrency",
            str(n_streams),
        ],
    )
    try:
        await cluster.start()
        rows = {}
        for name, target, model in (
            ("router", cluster.nodes[0], "chat"),
            ("engine", cluster.engines[0], "chat"),
        ):
            n_concurrent = n_streams if name == "router" else n_streams // 4
            short = await measure(
                target,
                model,
                n_requests=8 * n_concurrent,
                n_tokens=2,
                n_streams=n_concurrent,
            )
            long = await measure(
                target,
                model,
                n_requests=2 * n_concurrent,
                n_tokens=200,
                n_streams=n_concurrent,
            )
            rows[name] = (short, long, *split_cost(short, long))
        _print_results(rows)
    finally:
        cluster.close()


def _print_results(rows: dict) -> None:
    for name, (short, long, per_request, per_token) in rows.items():
        first = statistics.median(long.first_tokens) * 1e3
        click.echo(
            f"{name}: {per_request * 1e3:.2f} ms CPU a request, "
            f"{per_token * 1e6:.1f} us CPU a token, first token {first:.1f} ms, "
            f"{long.n_tokens / long.elapsed:.0f} tokens/s, "
            f"{short.n_requests / short.elapsed:.0f} short requests/s"
        )
    router, engine = rows["router"], rows["engine"]
    firsts = [statistics.median(row[1].first_tokens) for row in (router, engine)]
    click.echo(
        f"router to engine: {router[2] / engine[2]:.2f} a request, "
        f"{router[3] / engine[3]:.2f} a token, first token "
        f"{firsts[0] / firsts[1]:.2f}"
    )


@click.command()
@click.option("--streams", default=N_STREAMS, show_default=True)
@click.option("--interval", default=0.026, show_default=True, help="between tokens, s")
def main(streams: int, interval: float) -> None:
    """Measure the data path."""
    asyncio.run(run(streams, interval))


if __name__ == "__main__":
    main()
