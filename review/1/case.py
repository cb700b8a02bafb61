"""A node that gets SIGTERM takes a further request on a channel and cuts it later."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from deployment import (
    BOUNDS,
    Deployment,
    Engine,
    EngineRequest,
    Record,
    Reply,
    encode_request,
    make_config,
    make_route,
    read_reply,
    run_case,
)

TIME_LIMIT_MS = 12_000  # quick-ask of the sheet
BOOKING_LIMIT_MS = 3000  # cert-issue of the sheet
BOOKING_WORK = 0.45  # seconds, the longest work of the site file
N_EVENTS = 43
STREAM_PAUSES = (100, 105, 110, 115, 120, 125)  # ms; up to 300 ms are on time
# Streams after which the same channel carries a booking.
BOOKING_PAUSES = (183, 185, 187, 189)  # ms
STOP_AFTER = 1.0  # seconds from the first requests to SIGTERM
UNEXCUSED_AFTER = 3.0  # seconds; requests sent later than this are not excused


def decide_events(req: EngineRequest) -> tuple[int, float]:
    """Return the size of a stream; the client asks for the pauses in its path."""
    return N_EVENTS, int(req.target.rpartition("/")[2]) / 1000


class Client:
    """Client that sends its next request on its channel when the last one has ended."""

    def __init__(
        self, deployment: Deployment, number: int, pause_ms: int, next_path: str
    ) -> None:
        self._deployment = deployment
        self._number = number
        self._paths = (f"/quick-ask/{pause_ms}", next_path)
        self.calls: list[tuple[str, float, Reply | None]] = []

    async def run(self) -> None:
        """Send a stream request and then another request."""
        node = self._deployment.nodes[0]
        reader, writer = await asyncio.open_connection(node.host, node.front)
        for turn, path in enumerate(self._paths):
            request_id = f"e{self._number:x}{turn:x}"
            reply = await self._call(reader, writer, request_id, path)
            if reply is None or not reply.complete:
                break
            if reply.headers.get("connection") == "close":
                break
        writer.close()

    async def _call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        path: str,
    ) -> Reply | None:
        record = self._deployment.record
        limit_ms, headers = BOOKING_LIMIT_MS, {}
        if path.startswith("/quick-ask/"):
            limit_ms = TIME_LIMIT_MS
            headers = {
                "Model": "m",
                "Token_Usage": "1460,172",
                "Prompt_Prefix": f"{request_id}a:350,{request_id}b:1110",
            }
        writer.write(
            encode_request("POST", path, request_id, deadline_ms=limit_ms, **headers)
        )
        sent_at = time.monotonic()
        record.write("sent", id=request_id, path=path)
        reply = None
        try:
            async with asyncio.timeout(limit_ms / 1000):
                reply = await read_reply(reader)
        except TimeoutError:
            record.write("time_limit", id=request_id)
        else:
            record.write(
                "answered" if reply.complete else "closed",
                id=request_id,
                status=reply.status,
                bytes=len(reply.body),
                connection=reply.headers.get("connection", "-"),
            )
        self.calls.append((request_id, sent_at, reply))
        return reply


async def run(record: Record, trouble: bool) -> list[str]:
    """Return the requests that ended without a complete answer."""
    booking_route = make_route(
        "cert-issue", "non_idempotent", "records-app", TimeoutMs=BOOKING_LIMIT_MS
    )
    route = make_route(
        "quick-ask",
        "streaming",
        "tutor-llm",
        TimeoutMs=TIME_LIMIT_MS,
        TtftGoalMs=500,
        Priority=0,
        Sticky=True,
        Resumable=False,
        ItlGoalMs=300,
    )
    service = {
        "Name": "tutor-llm",
        "HealthPath": "/healthz",
        "MaxConns": 360,
        "Backend": {
            "Slots": 64,
            "KvCapacity": 396892,
            "Stride": 4,
            "Models": [{"Name": "m"}],
        },
    }
    services = [
        service,
        {"Name": "records-app", "HealthPath": "/healthz", "MaxConns": 96},
    ]
    deployment = Deployment(record)
    engines = [
        Engine(
            f"i-7f3a91c{number}",
            "tutor-llm",
            f"zone-{'abc'[number]}",
            64,
            record,
            events=decide_events,
        )
        for number in range(2)
    ]
    engines.append(
        Engine(
            "i-02d9e6b4",
            "records-app",
            "zone-a",
            6,
            record,
            work=lambda _: BOOKING_WORK,
        )
    )
    try:
        routes = [route, booking_route]
        await deployment.start(make_config(1, routes, services), engines)
        pairs = [(pause, f"/quick-ask/{pause}") for pause in STREAM_PAUSES]
        pairs += [(pause, "/cert-issue/x") for pause in BOOKING_PAUSES]
        clients = [
            Client(deployment, number, pause, path)
            for number, (pause, path) in enumerate(pairs)
        ]
        runs = [asyncio.create_task(it.run()) for it in clients]
        await asyncio.sleep(STOP_AFTER)
        stopped_at = time.monotonic()
        if trouble:
            record.write("SIGTERM", node=deployment.nodes[0].name)
            deployment.nodes[0].send_signal(signal.SIGTERM)
        await asyncio.sleep(BOUNDS["GraceS"])
        if trouble:
            record.write("SIGKILL", node=deployment.nodes[0].name)
            deployment.nodes[0].send_signal(signal.SIGKILL)
        await asyncio.gather(*runs)
        breaks = []
        for client in clients:
            for request_id, sent_at, reply in client.calls:
                if reply is None or reply.complete:
                    continue
                if not any(request_id in it.ran for it in engines):
                    # It crossed the close and was not passed on.
                    continue
                sent = sent_at - stopped_at
                if sent > UNEXCUSED_AFTER:
                    ended = reply.ended_at - stopped_at
                    breaks.append(
                        f"{request_id} was sent {sent:.1f} s after SIGTERM, was passed"
                        f" on, and its channel ended {ended:.1f} s after SIGTERM with"
                        f" {len(reply.body)} bytes of an unfinished answer"
                    )
        return breaks
    finally:
        await deployment.close()


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(run, Path(__file__).parent, trouble=TROUBLE))
