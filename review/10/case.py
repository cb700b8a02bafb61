"""Case 10: all nodes are killed while servers fail a part of their requests."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from kit2 import http1  # noqa: E402
from kit2.fleet import BOUNDS, Fleet, Record, run_case  # noqa: E402

N_NODES, N_SERVERS = 3, 4
RATE = 30.0  # requests per second of the whole fleet
LENGTH = 30.0  # seconds of traffic
WORK = 0.06  # seconds of a request
FAIL_SHARE = 0.45  # of the requests of all servers
FAIL_TIMES = ((12.0, 16.0), (17.0, 21.0))  # seconds of traffic
KILL_AT = 16.0  # seconds of traffic
RESTART_DELAY = 0.3  # seconds
WINDOW, RATIO = BOUNDS["RetryWindowS"], BOUNDS["RetryRatio"]
SLACK = BOUNDS["RetrySlack"]
HOST = "records.example"
CONFIG = {
    "Version": 3,
    "Routes": [
        {
            "Name": "cert-lookup",
            "Host": HOST,
            "Prefix": "/lookup/",
            "Type": "idempotent",
            "TimeoutMs": 1500,
            "TtftGoalMs": 300,
            "MaxAttempts": 4,
            "Priority": 2,
            "Service": "records-app",
            "Public": True,
        }
    ],
    "Services": [{"Name": "records-app", "MaxConns": 96, "HealthPath": "/healthz"}],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [],
}


class Traffic:
    """Times at which requests were sent, and arrivals beyond the first of each."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.began_at = time.monotonic()
        self.sent: list[float] = []
        self.repeats: list[float] = []
        self._seen: set[str] = set()

    def now(self) -> float:
        """Return the seconds of traffic."""
        return time.monotonic() - self.began_at

    def observe_arrival(self, request_id: str) -> None:
        """Record that a request has reached a server."""
        if request_id in self._seen:
            self.repeats.append(self.now())
        self._seen.add(request_id)

    async def handle(
        self,
        req: http1.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request or a liveness check as a server."""
        req.body = await http1.read_body(reader, req)
        request_id = req.headers.get("attempt-id", "")
        headers, status = {}, 200
        if request_id:
            self.observe_arrival(request_id)
            await asyncio.sleep(WORK)
            headers = {"Attempt-Id": request_id, "Response-Seal": "seal"}
            if any(begin < self.now() < end for begin, end in FAIL_TIMES):
                status = 500 if random.random() < FAIL_SHARE else 200
            self.record(f"server answers {request_id} with {status}")
        writer.write(http1.make_response(status, headers, b"valid\n"))
        await writer.drain()
        return True

    def judge(self) -> int:
        """Compare the repeats of each window with what the rule allows."""
        worst = (float("-inf"), 0.0, 0, 0.0)
        for begin in self.repeats:
            n_repeats = sum(begin <= it < begin + WINDOW for it in self.repeats)
            n_sent = max(
                sum(begin - back <= it < begin - back + WINDOW for it in self.sent)
                for back in (0.0, WINDOW / 2, WINDOW)
            )
            allowed = RATIO * n_sent + SLACK
            worst = max(worst, (n_repeats - allowed, begin, n_repeats, allowed))
        excess, begin, n_repeats, allowed = worst
        self.record(
            f"judged: {n_repeats} repeats in the {WINDOW} s from {begin:.1f} s, "
            f"{allowed:.1f} allowed"
        )
        return int(excess > 0)


async def main(record: Record, with_trouble: bool) -> int:
    """Count the repeats that reach the service in any window."""
    fleet = Fleet(N_NODES, record=record)
    traffic = Traffic(record)
    background: list[asyncio.Task[None]] = []
    try:
        fleet.write_config(CONFIG)
        for number in range(N_SERVERS):
            host = f"{fleet.prefix}.{number + 100}"
            await http1.serve(traffic.handle, host, fleet.port)
            row = {"Service": "records-app", "Address": f"{host}:{fleet.port}"}
            row |= {"Zone": f"zone-{'abc'[number % 3]}", "Version": "v1", "Slots": 6}
            row |= {"State": "ready", "ColdLeftMs": 0, "Sequence": 1}
            fleet.register(f"i-{number}", {**row, "born": int(time.time() * 1000)})
        if not await fleet.start():
            record("the nodes did not become ready")
            return 2
        traffic.began_at = time.monotonic()
        if with_trouble:
            background.append(asyncio.create_task(_kill(fleet, record)))
        tasks = []
        for number in range(int(RATE * LENGTH)):
            traffic.sent.append(traffic.now())
            tasks.append(asyncio.create_task(_send(fleet, number, record)))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)
        return traffic.judge()
    finally:
        for task in background:
            task.cancel()
        fleet.close()


async def _send(fleet: Fleet, number: int, record: Record) -> None:
    node = fleet.nodes[number % N_NODES]
    headers = {"Host": HOST, "Attempt-Id": f"a{number:05d}", "Deadline-Ms": "3000"}
    answer = await http1.call(
        node.front, "GET", f"/lookup/{number}", headers, timeout=3.0
    )
    status = answer.status if answer is not None else "no answer"
    record(f"request a{number:05d} at {node.name}: {status}")


async def _kill(fleet: Fleet, record: Record) -> None:
    await asyncio.sleep(KILL_AT)
    record("all nodes are killed")
    for node in fleet.nodes:
        node.send_signal(signal.SIGKILL)
    await asyncio.sleep(RESTART_DELAY)
    for node in fleet.nodes:
        assert node.process is not None
        node.process.wait()
        node.start()
    for node in fleet.nodes:
        await node.wait_ready()
    record("all nodes are ready again")


if __name__ == "__main__":
    run_case(main, FOLDER)
