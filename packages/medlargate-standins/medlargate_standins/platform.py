"""The platform's stand-in: key-value service, VM list, orders, usage reports."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import time
from typing import Any

from medlargate.platform import Change, Compare, Delete, Entry, Put, Vm
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ._memory_store import MemoryStore, UnknownLeaseError

MAX_PAGE_ENTRIES = 500
WATCH_IDLE = 0.5  # seconds between looks at whether an outage began


def _item(entry: Entry) -> dict[str, Any]:
    return {
        "Key": entry.key,
        "Data": base64.b64encode(entry.value).decode(),
        "Revision": entry.mod_revision,
        "CreatedAt": entry.create_revision,
        "LeaseId": 0,
    }


def _event(change: Change) -> dict[str, Any]:
    if change.entry is None:
        return {"Key": change.key, "Revision": change.revision, "Deleted": True}
    return _item(change.entry)


def _operations(body: dict[str, Any]) -> list[Put | Delete]:
    puts = [
        Put(it["Key"], base64.b64decode(it.get("Data", "")), int(it.get("LeaseId", 0)))
        for it in body.get("PutOp", [])
    ]
    return [*puts, *(Delete(key) for key in body.get("Delete", []))]


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
    usage : dict of int to list of dict
        Every set of counts received for each window of the duty call.
    scale_orders : list of dict
        Orders of engines, in the order of their arrival.
    duty_calls : list of (str, int)
        Holder and fencing number of each duty call.
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
        self.usage: dict[int, list[dict[str, int]]] = {}
        self.scale_orders: list[dict[str, Any]] = []
        self.duty_calls: list[tuple[str, int]] = []
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

    async def kv_key(req: Request) -> Response:
        if (refused := guard("key")) is not None:
            return refused
        answer = platform.store.read(req.query_params["Key"])
        if not answer.entries:
            return JSONResponse({"At": answer.revision}, 404)
        return finish({**_item(answer.entries[0]), "At": answer.revision})

    async def kv_range(req: Request) -> Response:
        if (refused := guard("range")) is not None:
            return refused
        prefix, after = req.query_params["Prefix"], req.query_params.get("After", "")
        answer = platform.store.read(prefix, prefix=True, start=after)
        found = [entry for entry in answer.entries if entry.key > after]
        page = [_item(entry) for entry in found[:MAX_PAGE_ENTRIES]]
        more = len(found) > MAX_PAGE_ENTRIES
        return finish({"Entries": page, "HasMore": more, "At": answer.revision})

    async def kv_txn(req: Request) -> Response:
        if (refused := guard("txn")) is not None:
            return refused
        body = await req.json()
        expected = body.get("ExpectedRev", [])
        compares = [Compare(it["Key"], int(it["Revision"])) for it in expected]
        reads = [compare.key for compare in compares]
        try:
            answer = platform.store.write(compares, _operations(body), reads)
        except UnknownLeaseError as exc:
            return JSONResponse({"Error": str(exc)}, 404)
        except ValueError as exc:
            return JSONResponse({"Error": str(exc)}, 400)
        if answer.succeeded:
            return finish({"Revision": answer.revision})
        items = [_item(entry) for entry in answer.entries]
        return JSONResponse({"Entries": items, "At": answer.revision}, 412)

    async def kv_lease(req: Request) -> Response:
        if (refused := guard("lease")) is not None:
            return refused
        ttl = (await req.json())["TtlMs"]
        return finish({"LeaseId": platform.store.grant(ttl / 1000), "TtlMs": ttl})

    async def kv_keep(req: Request) -> Response:
        if (refused := guard("keep")) is not None:
            return refused
        ttl = platform.store.renew(int(req.path_params["lease"]))
        return finish({"TtlMs": int(ttl * 1000)}) if ttl else JSONResponse({}, 404)

    async def kv_lease_end(req: Request) -> Response:
        if (refused := guard("lease_end")) is not None:
            return refused
        platform.store.revoke(int(req.path_params["lease"]))
        return finish({})

    async def kv_watch(req: Request) -> Response:
        if (refused := guard("watch")) is not None:
            return refused
        prefix, after = req.query_params["Prefix"], int(req.query_params["After"])
        until = time.monotonic() + int(req.query_params["WaitMs"]) / 1000
        while not platform.is_down():
            got = platform.store.changes(prefix, after)
            if got.compacted:
                return JSONResponse({"Error": "compacted"}, 410)
            left = until - time.monotonic()
            if got.changes or left <= 0:
                events = [_event(change) for change in got.changes]
                return JSONResponse({"events": events, "At": got.revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(WATCH_IDLE, left)):
                    await platform.store.wait_change()
        return JSONResponse({"Error": "outage"}, 503)

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

    def note_duty(req: Request) -> None:
        holder, fence = req.headers["duty-holder"], int(req.headers["fencing-token"])
        platform.duty_calls.append((holder, fence))

    async def post_usage(req: Request) -> Response:
        note_duty(req)
        body = await req.json()
        platform.usage.setdefault(body["WindowId"], []).append(body["Counts"])
        return JSONResponse({})

    async def post_scale(req: Request) -> Response:
        note_duty(req)
        platform.scale_orders.append(await req.json())
        return JSONResponse({})

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
            Route("/kv-key", kv_key, methods=["GET"]),
            Route("/kv-range", kv_range, methods=["GET"]),
            Route("/kv-watch", kv_watch, methods=["GET"]),
            Route("/kv-txn", kv_txn, methods=["POST"]),
            Route("/kv-lease", kv_lease, methods=["POST"]),
            Route("/kv-keep/{lease}", kv_keep, methods=["POST"]),
            Route("/kv-lease-end/{lease}", kv_lease_end, methods=["DELETE"]),
            Route("/v1/vms", vms, methods=["GET"]),
            Route("/v1/vms", put_vm, methods=["POST"]),
            Route("/v1/vms/{name}", delete_vm, methods=["DELETE"]),
            Route("/v1/orders", post_order, methods=["POST"]),
            Route("/v1/orders", get_orders, methods=["GET"]),
            Route("/v1/usage-reports/{window}", post_report, methods=["POST"]),
            Route("/usage", post_usage, methods=["POST"]),
            Route("/scale", post_scale, methods=["POST"]),
            Route("/standin/fault", fault, methods=["POST"]),
            Route("/standin/stats", stats, methods=["GET"]),
        ]
    )
