"""The platform's stand-in: key-value service, VM list, orders, usage reports."""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import AsyncIterator
from typing import Any

import orjson
from medlargate.platform import Compare, Delete, Entry, Put, StoreAnswer, Vm
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ._memory_store import MemoryStore

WATCH_IDLE = 0.5  # seconds between looks at whether an outage began


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _kv(entry: Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(entry.key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.mod_revision),
        "create_revision": str(entry.create_revision),
    }


def _header(answer: StoreAnswer) -> dict[str, str]:
    return {"revision": str(answer.revision)}


class Platform:
    """State of the platform's stand-in.

    Attributes
    ----------
    store : MemoryStore
        The key-value service's state.
    vms : dict of str to Vm
        The list of VMs.
    orders, rejected : list of dict
        Orders carried out, and those refused for an old fencing number.
    reports : dict of str to list of bytes
        Every body received for each usage window.
    down_until, lose_answers_until : float
        Faults of the key-value service, seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self.store = MemoryStore(time.monotonic)
        self.vms: dict[str, Vm] = {}
        self.orders: list[dict[str, Any]] = []
        self.rejected: list[dict[str, Any]] = []
        self.reports: dict[str, list[bytes]] = {}
        self.fences: dict[str, int] = {}
        self.check_fences = True
        self.n_calls: dict[str, int] = {}
        self.down_until = 0.0
        self.lose_answers_until = 0.0

    def is_down(self) -> bool:
        """Tell whether the key-value service is in an outage."""
        return time.monotonic() < self.down_until

    def take_order(self, order: dict[str, Any]) -> int:
        """Carry out an order, or refuse an old fencing number with 409."""
        domain = order["failure_domain"]
        if self.check_fences and order["fence"] < self.fences.get(domain, 0):
            self.rejected.append(order)
            return 409
        self.fences[domain] = max(self.fences.get(domain, 0), order["fence"])
        if all(done["order_id"] != order["order_id"] for done in self.orders):
            self.orders.append(order)
        return 200

    def take_report(self, window: str, body: bytes) -> int:
        """Take a usage report; 409 when it differs from an earlier one."""
        bodies = self.reports.setdefault(window, [])
        bodies.append(body)
        return 200 if body == bodies[0] else 409


def make_platform_app(platform: Platform) -> Starlette:
    """Make the stand-in's HTTP application.

    Parameters
    ----------
    platform : Platform
        Its state.

    Returns
    -------
    Starlette
        The application.
    """

    def guard(name: str) -> Response | None:
        platform.n_calls[name] = platform.n_calls.get(name, 0) + 1
        if platform.is_down():
            return JSONResponse({"error": "outage"}, 503)
        return None

    def finish(body: dict[str, Any]) -> Response:
        if time.monotonic() < platform.lose_answers_until:
            return JSONResponse({"error": "answer lost"}, 502)
        return JSONResponse(body)

    async def kv_range(req: Request) -> Response:
        if (refused := guard("range")) is not None:
            return refused
        body = await req.json()
        key, end = _decode(body["key"]), body.get("range_end")
        if end is None:
            answer = platform.store.read(key)
        else:
            prefix = _decode(end)
            prefix = prefix[:-1] + chr(ord(prefix[-1]) - 1)
            limit = int(body.get("limit", 0))
            answer = platform.store.read(prefix, prefix=True, start=key, limit=limit)
        kvs = [_kv(entry) for entry in answer.entries]
        return finish({"header": _header(answer), "kvs": kvs})

    async def kv_txn(req: Request) -> Response:
        if (refused := guard("txn")) is not None:
            return refused
        body = await req.json()
        compares = [
            Compare(_decode(item["key"]), int(item.get("mod_revision", 0)))
            for item in body.get("compare", [])
        ]
        operations = [_operation(item) for item in body.get("success", [])]
        reads = [
            _decode(item["request_range"]["key"]) for item in body.get("failure", [])
        ]
        try:
            answer = platform.store.write(compares, operations, reads)
        except ValueError as exc:
            return JSONResponse({"error": str(exc)}, 400)
        responses = [
            {"response_range": {"kvs": [_kv(entry)]}} for entry in answer.entries
        ]
        return finish(
            {
                "header": _header(answer),
                "succeeded": answer.succeeded,
                "responses": responses,
            }
        )

    async def lease(req: Request) -> Response:
        action = req.path_params["action"]
        if (refused := guard(action)) is not None:
            return refused
        body = await req.json()
        if action == "grant":
            number = platform.store.grant(int(body["TTL"]))
            return finish({"ID": str(number), "TTL": body["TTL"]})
        if action == "keepalive":
            ttl = platform.store.renew(int(body["ID"]))
            return finish({"result": {"ID": body["ID"], "TTL": str(ttl)}})
        platform.store.revoke(int(body["ID"]))
        return finish({})

    async def watch(req: Request) -> Response:
        if (refused := guard("watch")) is not None:
            return refused
        request = (await req.json())["create_request"]
        prefix = _decode(request["key"])
        after = int(request["start_revision"]) - 1
        return StreamingResponse(_watch_lines(platform, prefix, after))

    async def vms(_: Request) -> Response:
        rows = [vm.model_dump(mode="json") for vm in platform.vms.values()]
        return JSONResponse({"vms": rows})

    async def put_vm(req: Request) -> Response:
        vm = Vm.model_validate(await req.json())
        platform.vms[vm.name] = vm
        return JSONResponse({})

    async def delete_vm(req: Request) -> Response:
        platform.vms.pop(req.path_params["name"], None)
        return JSONResponse({})

    async def post_order(req: Request) -> Response:
        return JSONResponse({}, platform.take_order(await req.json()))

    async def get_orders(req: Request) -> Response:
        domain = req.query_params.get("failure_domain")
        found = [o for o in platform.orders if domain in (None, o["failure_domain"])]
        return JSONResponse({"orders": found})

    async def post_report(req: Request) -> Response:
        body = await req.body()
        return JSONResponse({}, platform.take_report(req.path_params["window"], body))

    async def fault(req: Request) -> Response:
        body = await req.json()
        now = time.monotonic()
        platform.down_until = now + body.get("down", 0)
        platform.lose_answers_until = now + body.get("lose_answers", 0)
        platform.check_fences = body.get("check_fences", platform.check_fences)
        return JSONResponse({})

    async def stats(_: Request) -> Response:
        return JSONResponse(
            {
                "calls": platform.n_calls,
                "orders": platform.orders,
                "rejected": platform.rejected,
                "reports": {
                    window: [body.decode() for body in bodies]
                    for window, bodies in platform.reports.items()
                },
            }
        )

    return Starlette(
        routes=[
            Route("/v3/kv/range", kv_range, methods=["POST"]),
            Route("/v3/kv/txn", kv_txn, methods=["POST"]),
            Route("/v3/lease/{action}", lease, methods=["POST"]),
            Route("/v3/watch", watch, methods=["POST"]),
            Route("/v1/vms", vms, methods=["GET"]),
            Route("/v1/vms", put_vm, methods=["POST"]),
            Route("/v1/vms/{name}", delete_vm, methods=["DELETE"]),
            Route("/v1/orders", post_order, methods=["POST"]),
            Route("/v1/orders", get_orders, methods=["GET"]),
            Route("/v1/usage-reports/{window}", post_report, methods=["POST"]),
            Route("/standin/fault", fault, methods=["POST"]),
            Route("/standin/stats", stats, methods=["GET"]),
        ]
    )


async def _watch_lines(
    platform: Platform, prefix: str, after: int
) -> AsyncIterator[bytes]:
    yield _watch_line(StoreAnswer(True, after))
    while not platform.is_down():
        found = platform.store.changes(prefix, after)
        after = max(after, platform.store.revision)
        if found:
            yield _watch_line(StoreAnswer(True, after, tuple(found)))
        try:
            async with asyncio.timeout(WATCH_IDLE):
                await platform.store.wait_change()
        except TimeoutError:
            continue


def _watch_line(answer: StoreAnswer) -> bytes:
    events = [{"type": "PUT", "kv": _kv(entry)} for entry in answer.entries]
    body = {"result": {"header": _header(answer), "events": events}}
    return orjson.dumps(body) + b"\n"


def _operation(item: dict[str, Any]) -> Put | Delete:
    if "request_delete_range" in item:
        return Delete(_decode(item["request_delete_range"]["key"]))
    put = item["request_put"]
    value = base64.b64decode(put.get("value", ""))
    return Put(_decode(put["key"]), value, int(put.get("lease", 0)))
