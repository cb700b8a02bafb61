"""Simulated platform over HTTP.

The simulation serves the key-value store and the VM list. It takes orders at
``/v1/orders`` and ``/scale`` and usage at ``/v1/usage-reports/`` and ``/usage``. It can
simulate outages and lost responses of the store.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import time
from collections.abc import Callable
from typing import Any

from medlargate.platform import Change, Compare, Delete, Entry, Put, Vm
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ._memory_store import MemoryStore, UnknownLeaseError

MAX_PAGE_ENTRIES = 500
OUTAGE_CHECK_INTERVAL = 0.5  # seconds between outage checks of a pending watch

EntryView = Callable[[Entry], Entry]


def _encode_entry(entry: Entry) -> dict[str, Any]:
    return {
        "Key": entry.key,
        "Data": base64.b64encode(entry.value).decode(),
        "Revision": entry.mod_revision,
        "CreatedAt": entry.create_revision,
        "LeaseId": 0,
    }


def _encode_change(change: Change, view: EntryView) -> dict[str, Any]:
    if change.entry is None:
        return {"Key": change.key, "Revision": change.revision, "Deleted": True}
    return _encode_entry(view(change.entry))


def _parse_operations(body: dict[str, Any]) -> list[Put | Delete]:
    puts = [
        Put(it["Key"], base64.b64decode(it.get("Data", "")), int(it.get("LeaseId", 0)))
        for it in body.get("PutOp", [])
    ]
    return [*puts, *(Delete(key) for key in body.get("Delete", []))]


class Platform:
    """State of the simulated platform.

    Attributes
    ----------
    store : MemoryStore
        Content of the key-value store.
    vms : dict of str to Vm
        Registered VMs by name.
    orders, rejected : list of dict
        Orders sent to ``/v1/orders``: the executed ones, and those rejected for an
        outdated fencing token.
    reports : dict of str to list of bytes
        All bodies received at ``/v1/usage-reports/``, repeated ones included, by usage
        window.
    fences : dict of str to int
        Highest fencing token accepted so far at ``/v1/orders``, by failure domain.
    check_fences : bool
        Whether ``/v1/orders`` rejects orders with an outdated fencing token.
    usage : dict of int to list of dict
        All usage counts received from duty holders at ``/usage``, by usage window id.
    scale_orders : list of dict
        Engine scaling orders received at ``/scale``, in order of arrival.
    duty_calls : list of (str, int)
        Holder and fencing token of each call to ``/usage`` and ``/scale``.
    n_calls : dict of str to int
        Number of calls of each key-value store operation, failed calls included.
    down_until : float
        End of the key-value store's outage, in seconds on the monotonic clock.
    failed_share : float
        Share of the calls of the key-value store that fail, in turn, beside the others.
    watches_are_quiet : bool
        Whether watches answer without the changes that happened.
    lose_answers_until : float
        End of the period in which the key-value store executes calls but answers 502
        instead of 200, except for watches, in seconds on the monotonic clock.
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
        self.failed_share = 0.0
        self._owed_failures = 0.0
        self.watches_are_quiet = False
        self.lose_answers_until = 0.0

    def is_down(self) -> bool:
        """Return whether the key-value store is in an outage."""
        return time.monotonic() < self.down_until

    def observe_call(self, name: str) -> bool:
        """Count a call of the key-value store; return whether it is to fail."""
        self.n_calls[name] = self.n_calls.get(name, 0) + 1
        self._owed_failures += self.failed_share
        if self._owed_failures >= 1:
            self._owed_failures -= 1
            return True
        return self.is_down()

    def execute_order(self, order: dict[str, Any]) -> int:
        """Execute an order of ``/v1/orders`` once and return the HTTP status.

        A repeated order id is accepted without a second execution. An order with an
        outdated fencing token is rejected with 409 if ``check_fences`` is set.
        """
        domain = order["failure_domain"]
        if self.check_fences and order["fence"] < self.fences.get(domain, 0):
            self.rejected.append(order)
            return 409
        self.fences[domain] = max(self.fences.get(domain, 0), order["fence"])
        if all(done["order_id"] != order["order_id"] for done in self.orders):
            self.orders.append(order)
        return 200

    def receive_report(self, window: str, body: bytes) -> int:
        """Store a report of ``/v1/usage-reports/`` and return the HTTP status.

        The status is 409 if the body differs from the window's first report.
        """
        bodies = self.reports.setdefault(window, [])
        bodies.append(body)
        return 200 if body == bodies[0] else 409


def make_platform_app(
    platform: Platform, view: EntryView = lambda entry: entry
) -> Starlette:
    """Create the HTTP application of a simulated platform.

    Parameters
    ----------
    platform : Platform
        State that the application serves and changes.
    view : callable
        Returns an entry as the callers of this application see it, for instance with
        the address of a proxy.

    Returns
    -------
    Starlette
        ASGI application.
    """

    def check_outage(name: str) -> Response | None:
        """Count a store call; return an error response if it is to fail."""
        if platform.observe_call(name):
            return JSONResponse({"error": "outage"}, 503)
        return None

    def respond_or_fail(body: dict[str, Any]) -> Response:
        """Return a response with status 200, or 502 while responses are being lost."""
        if time.monotonic() < platform.lose_answers_until:
            return JSONResponse({"error": "answer lost"}, 502)
        return JSONResponse(body)

    async def kv_key(req: Request) -> Response:
        if (error := check_outage("key")) is not None:
            return error
        result = platform.store.read(req.query_params["Key"])
        if not result.entries:
            return JSONResponse({"At": result.revision}, 404)
        return respond_or_fail(
            {**_encode_entry(view(result.entries[0])), "At": result.revision}
        )

    async def kv_range(req: Request) -> Response:
        if (error := check_outage("range")) is not None:
            return error
        prefix, after = req.query_params["Prefix"], req.query_params.get("After", "")
        result = platform.store.read(prefix, prefix=True, start=after)
        found = [entry for entry in result.entries if entry.key > after]
        page = [_encode_entry(view(entry)) for entry in found[:MAX_PAGE_ENTRIES]]
        has_more = len(found) > MAX_PAGE_ENTRIES
        return respond_or_fail(
            {"Entries": page, "HasMore": has_more, "At": result.revision}
        )

    async def kv_txn(req: Request) -> Response:
        if (error := check_outage("txn")) is not None:
            return error
        body = await req.json()
        expected = body.get("ExpectedRev", [])
        compares = [Compare(it["Key"], int(it["Revision"])) for it in expected]
        reads = [compare.key for compare in compares]
        try:
            result = platform.store.write(compares, _parse_operations(body), reads)
        except UnknownLeaseError as exc:
            return JSONResponse({"Error": str(exc)}, 404)
        except ValueError as exc:
            return JSONResponse({"Error": str(exc)}, 400)
        if result.succeeded:
            return respond_or_fail({"Revision": result.revision})
        items = [_encode_entry(view(entry)) for entry in result.entries]
        return JSONResponse({"Entries": items, "At": result.revision}, 412)

    async def kv_lease(req: Request) -> Response:
        if (error := check_outage("lease")) is not None:
            return error
        ttl = (await req.json())["TtlMs"]
        return respond_or_fail(
            {"LeaseId": platform.store.grant(ttl / 1000), "TtlMs": ttl}
        )

    async def kv_keep(req: Request) -> Response:
        if (error := check_outage("keep")) is not None:
            return error
        ttl = platform.store.renew(int(req.path_params["lease"]))
        return (
            respond_or_fail({"TtlMs": int(ttl * 1000)})
            if ttl
            else JSONResponse({}, 404)
        )

    async def kv_lease_end(req: Request) -> Response:
        if (error := check_outage("lease_end")) is not None:
            return error
        platform.store.revoke(int(req.path_params["lease"]))
        return respond_or_fail({})

    async def kv_watch(req: Request) -> Response:
        if (error := check_outage("watch")) is not None:
            return error
        prefix, after = req.query_params["Prefix"], int(req.query_params["After"])
        deadline = time.monotonic() + int(req.query_params["WaitMs"]) / 1000
        while not platform.is_down():
            watch_result = platform.store.changes(prefix, after)
            if watch_result.compacted:
                return JSONResponse({"Error": "compacted"}, 410)
            remaining = deadline - time.monotonic()
            found = () if platform.watches_are_quiet else watch_result.changes
            if found or remaining <= 0:
                events = [_encode_change(change, view) for change in found]
                return JSONResponse({"events": events, "At": watch_result.revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(OUTAGE_CHECK_INTERVAL, remaining)):
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
        return JSONResponse({}, platform.execute_order(await req.json()))

    async def get_orders(req: Request) -> Response:
        domain = req.query_params.get("failure_domain")
        found = [o for o in platform.orders if domain in (None, o["failure_domain"])]
        return JSONResponse({"orders": found})

    async def post_report(req: Request) -> Response:
        body = await req.body()
        return JSONResponse(
            {}, platform.receive_report(req.path_params["window"], body)
        )

    def record_duty_call(req: Request) -> None:
        holder, fence = req.headers["duty-holder"], int(req.headers["fencing-token"])
        platform.duty_calls.append((holder, fence))

    async def post_usage(req: Request) -> Response:
        record_duty_call(req)
        body = await req.json()
        platform.usage.setdefault(body["WindowId"], []).append(body["Counts"])
        return JSONResponse({})

    async def post_scale(req: Request) -> Response:
        record_duty_call(req)
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

    def add_store_era(app: ASGIApp) -> ASGIApp:
        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            async def send_with_era(message: Message) -> None:
                if message["type"] == "http.response.start":
                    era = str(platform.store.era).encode()
                    message["headers"] = [*message["headers"], (b"store-era", era)]
                await send(message)

            await app(scope, receive, send_with_era)

        return serve

    return Starlette(
        middleware=[Middleware(add_store_era)],
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
        ],
    )
