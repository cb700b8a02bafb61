"""HTTP endpoints for other nodes of the fleet."""

from __future__ import annotations

import time
import zlib
from collections.abc import Awaitable, Callable

import orjson
from pydantic import ValidationError
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ._fleet_sync import CopiesBody, MarksBody, PullResponseBody
from ._node import Node

Endpoint = Callable[[Request], Awaitable[Response]]


def _make_json_response(raw: bytes, status: int = 200) -> Response:
    return Response(raw, status, media_type="application/json")


def make_fleet_routes(node: Node) -> list[Route]:
    """Make the routes for requests from other nodes.

    Parameters
    ----------
    node : Node
        This node.

    Returns
    -------
    list of starlette Route
        Routes that refuse requests without the fleet's shared secret.
    """

    def require_fleet_secret(endpoint: Endpoint) -> Endpoint:
        async def checked(req: Request) -> Response:
            if not node.is_fleet_request(req.headers):
                return _make_json_response(
                    b'{"error": "the fleet\'s secret is required"}', 403
                )
            try:
                return await endpoint(req)
            except (ValidationError, ValueError, zlib.error) as exc:
                return _make_json_response(orjson.dumps({"error": str(exc)[:500]}), 400)

        return checked

    async def config(req: Request) -> Response:
        pull_response = node.fleet.agent.make_pull_response(
            int(req.query_params["after"])
        )
        body = PullResponseBody(
            records=list(pull_response.records),
            snapshot=list(pull_response.snapshot),
            snapshot_revision=pull_response.snapshot_revision,
        )
        return _make_json_response(body.model_dump_json().encode())

    async def marks(req: Request) -> Response:
        body = MarksBody.model_validate_json(await req.body())
        for fingerprint in body.fingerprints:
            node.crashes.add_suspect(fingerprint, body.backend, time.monotonic())
        return _make_json_response(b"{}")

    async def copies(req: Request) -> Response:
        raw = zlib.decompress(await req.body())
        response = node.fleet.store_copies(CopiesBody.model_validate_json(raw))
        return _make_json_response(response.model_dump_json().encode())

    return [
        Route("/fleet/config", require_fleet_secret(config)),
        Route("/fleet/marks", require_fleet_secret(marks), methods=["POST"]),
        Route("/fleet/copies", require_fleet_secret(copies), methods=["POST"]),
    ]
