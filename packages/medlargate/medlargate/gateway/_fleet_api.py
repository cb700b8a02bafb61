"""HTTP endpoints that the nodes have for each other."""

from __future__ import annotations

import time
import zlib
from collections.abc import Awaitable, Callable

import orjson
from pydantic import ValidationError
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ._fleet_side import CopiesBody, MarksBody, PulledBody
from ._node import Node

Endpoint = Callable[[Request], Awaitable[Response]]


def _json(raw: bytes, status: int = 200) -> Response:
    return Response(raw, status, media_type="application/json")


def make_fleet_routes(node: Node) -> list[Route]:
    """Make the endpoints for other nodes.

    Parameters
    ----------
    node : Node
        This node.

    Returns
    -------
    list of starlette Route
        Each refuses requests without the fleet's secret.
    """

    def guarded(endpoint: Endpoint) -> Endpoint:
        async def checked(req: Request) -> Response:
            if not node.is_fleet_request(req.headers):
                return _json(b'{"error": "the fleet\'s secret is required"}', 403)
            try:
                return await endpoint(req)
            except (ValidationError, ValueError, zlib.error) as exc:
                return _json(orjson.dumps({"error": str(exc)[:500]}), 400)

        return checked

    async def config(req: Request) -> Response:
        pulled = node.fleet.agent.make_pull_response(int(req.query_params["after"]))
        body = PulledBody(
            records=list(pulled.records),
            snapshot=list(pulled.snapshot),
            snapshot_revision=pulled.snapshot_revision,
        )
        return _json(body.model_dump_json().encode())

    async def marks(req: Request) -> Response:
        body = MarksBody.model_validate_json(await req.body())
        for fingerprint in body.fingerprints:
            node.crashes.add_suspect(fingerprint, body.backend, time.monotonic())
        return _json(b"{}")

    async def copies(req: Request) -> Response:
        raw = zlib.decompress(await req.body())
        answer = node.fleet.observe_copies(CopiesBody.model_validate_json(raw))
        return _json(answer.model_dump_json().encode())

    return [
        Route("/fleet/config", guarded(config)),
        Route("/fleet/marks", guarded(marks), methods=["POST"]),
        Route("/fleet/copies", guarded(copies), methods=["POST"]),
    ]
