"""A node that gets SIGTERM closes channels of requests that wait for an engine."""

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
N_RUNNING, N_WAITING = 8, 6  # the engine has 8 slots
LONG_EVENTS, SHORT_EVENTS, PAUSE = 43, 5, 0.2  # pauses up to 0.3 s are on time


def decide_events(req: EngineRequest) -> tuple[int, float]:
    """Return the size of a stream, which the client asks for in its path."""
    return (LONG_EVENTS if req.target.endswith("long") else SHORT_EVENTS), PAUSE


async def send(deployment: Deployment, request_id: str, path: str) -> tuple:
    """Send a request to the first node and read its answer; return the times too."""
    node, record = deployment.nodes[0], deployment.record
    reader, writer = await asyncio.open_connection(node.host, node.front)
    number = int(request_id[1:], 16)
    writer.write(
        encode_request(
            "POST",
            path,
            request_id,
            deadline_ms=TIME_LIMIT_MS,
            Model="m",
            Token_Usage="1460,172",
            Prompt_Prefix=f"{number:x}a:350,{number:x}b:1110",
        )
    )
    sent_at = time.monotonic()
    record.write("sent", id=request_id, node=node.name, path=path)
    reply = Reply()
    try:
        async with asyncio.timeout(TIME_LIMIT_MS / 1000):
            reply = await read_reply(reader)
    except TimeoutError:
        record.write("time_limit", id=request_id)
        return request_id, sent_at, None
    finally:
        writer.close()
    record.write(
        "answered" if reply.complete else "closed",
        id=request_id,
        status=reply.status,
        bytes=len(reply.body),
    )
    return request_id, sent_at, reply


async def run(record: Record, trouble: bool) -> list[str]:
    """Return the requests that ended without an answer."""
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
            "Slots": N_RUNNING,
            "KvCapacity": 396892,
            "Stride": 4,
            "Models": [{"Name": "m"}],
        },
    }
    deployment = Deployment(record)
    engine = Engine(
        "i-7f3a91c2", "tutor-llm", "zone-a", N_RUNNING, record, events=decide_events
    )
    try:
        await deployment.start(make_config(1, [route], [service]), [engine])
        calls = []
        for number in range(N_RUNNING):
            request_id, path = f"a{number:x}", "/quick-ask/long"
            calls.append(asyncio.create_task(send(deployment, request_id, path)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        waiting = [f"b{number:x}" for number in range(N_WAITING)]
        for request_id in waiting:
            path = "/quick-ask/short"
            calls.append(asyncio.create_task(send(deployment, request_id, path)))
        await asyncio.sleep(0.5)
        stopped_at = time.monotonic()
        if trouble:
            record.write("SIGTERM", node=deployment.nodes[0].name)
            deployment.nodes[0].send_signal(signal.SIGTERM)
        # The platform sends SIGKILL after GraceS.
        await asyncio.sleep(BOUNDS["GraceS"])
        if trouble:
            record.write("SIGKILL", node=deployment.nodes[0].name)
            deployment.nodes[0].send_signal(signal.SIGKILL)
        breaks = []
        for request_id, sent_at, reply in await asyncio.gather(*calls):
            if reply is None or reply.complete or request_id not in waiting:
                # Streams at which the engine was at work in the last sixth of GraceS,
                # and those at their time limit, are excused.
                continue
            is_late = reply.ended_at - sent_at > BOUNDS["LossSlackMs"] / 1000
            if request_id not in engine.arrived and is_late:
                after = reply.ended_at - stopped_at
                breaks.append(
                    f"{request_id} was read and waited; its channel was closed without"
                    f" an answer {after:.1f} s after SIGTERM, and no engine had got it"
                )
        return breaks
    finally:
        await deployment.close()


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(run, Path(__file__).parent, trouble=TROUBLE))
