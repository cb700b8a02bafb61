"""Compare failure detection with and without relayed heartbeats at equal traffic."""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass

import click
from medlargate.fleet import Membership, Peer

N_NODES = 28
WARM_UP = 15  # seconds
SECONDS = 60  # duration of the measurement
BROKEN_LINK_SHARES = (0.0, 0.01, 0.05, 0.10, 0.20, 0.30)
# Peers contacted per second, which give both variants about the same traffic.
RELAY_FANOUT = 4
DIRECT_FANOUT = 7


@dataclass
class Result:
    """Metrics of a run.

    Attributes
    ----------
    wrong_suspicions : float
        Mean fraction of the pairs of observer and live node that were suspected.
    detection_time : float
        Seconds until the last observer suspected a crashed node.
    n_bytes : float
        Compressed bytes that a node sent per second.
    """

    wrong_suspicions: float
    detection_time: float
    n_bytes: float


def run(relay: bool, fanout: int, broken_share: float, seed: int) -> Result:
    """Simulate a fleet of nodes with broken one-way links.

    Parameters
    ----------
    relay : bool
        Whether heartbeats carry the state of third nodes.
    fanout : int
        Number of peers that a node contacts per second.
    broken_share : float
        Fraction of the one-way links that lose every message.
    seed : int
        Seed of the broken links and of the order in which peers are contacted.

    Returns
    -------
    Result
        Metrics of the run.
    """
    rng = random.Random(seed)
    names = [f"n{i:02d}" for i in range(N_NODES)]
    peers = [Peer(name, "d", (name, 0), 0) for name in names]
    broken_links = {
        (a, b) for a in names for b in names if a != b and rng.random() < broken_share
    }
    nodes = {}
    for name in names:
        nodes[name] = Membership(
            name, "d", relay=relay, fanout=fanout, random_state=seed
        )
        nodes[name].observe_peers(peers, 0.0)
        nodes[name].observe_sync()
    n_bytes = n_suspected = n_pairs = 0

    def deliver(sender: str, out, now: float) -> None:
        nonlocal n_bytes
        n_bytes += len(zlib.compress(out.heartbeat.model_dump_json().encode(), 3))
        if (sender, out.peer) in broken_links or out.peer not in nodes:
            return
        answer = nodes[out.peer].observe(out.heartbeat, now + 0.01)
        if answer is not None:
            deliver(out.peer, answer, now + 0.01)

    for second in range(WARM_UP + SECONDS):
        for name in names:
            for out in nodes[name].decide_heartbeats(float(second)):
                deliver(name, out, float(second))
        if second >= WARM_UP:
            for name in names:
                alive = [nodes[name].is_alive(other, second + 0.5) for other in names]
                n_suspected += alive.count(False)
                n_pairs += N_NODES - 1
    crashed = names[0]
    del nodes[crashed]
    end = float(WARM_UP + SECONDS)
    detection = 0.0
    for second in range(30):
        now = end + second
        for name in nodes:
            for out in nodes[name].decide_heartbeats(now):
                deliver(name, out, now)
        if any(node.is_alive(crashed, now + 0.5) for node in nodes.values()):
            detection = second + 1.0
    rate = n_bytes / N_NODES / (WARM_UP + SECONDS)
    return Result(n_suspected / n_pairs, detection, rate)


@click.command()
@click.option("--seeds", default=3, show_default=True)
def main(seeds: int) -> None:
    """Print wrong suspicions, time to detect and bytes."""
    click.echo("| broken links | way | wrong suspicions | detection s | bytes/s |")
    click.echo("| --- | --- | --- | --- | --- |")
    for broken in BROKEN_LINK_SHARES:
        for relay, fanout in ((True, RELAY_FANOUT), (False, DIRECT_FANOUT)):
            results = [run(relay, fanout, broken, seed) for seed in range(seeds)]
            wrong = sum(r.wrong_suspicions for r in results) / seeds
            detection = max(r.detection_time for r in results)
            n_bytes = sum(r.n_bytes for r in results) / seeds
            way = "relay" if relay else "direct"
            click.echo(
                f"| {broken:.0%} | {way}, {fanout} a second | {wrong:.4f} "
                f"| {detection:.0f} | {n_bytes:.0f} |"
            )


if __name__ == "__main__":
    main()
