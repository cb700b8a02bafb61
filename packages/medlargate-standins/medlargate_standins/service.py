"""Simulated plain HTTP service that counts its executions."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH"]


@dataclass
class Service:
    """State of one simulated plain service.

    Attributes
    ----------
    delay : float
        Seconds before a response, unless the request sets its own ``delay``.
    executions : Counter
        Number of executions by the ``call`` field of the request's body or query.
    credentials : list of str
        ``Authorization`` headers received; the router should forward none.
    """

    delay: float = 0.005
    executions: Counter = field(default_factory=Counter)
    credentials: list[str] = field(default_factory=list)


def make_service_app(service: Service) -> Starlette:
    """Create the HTTP application of a simulated plain service.

    Parameters
    ----------
    service : Service
        State that the application serves and changes.

    Returns
    -------
    Starlette
        ASGI application.
    """

    async def execute(req: Request) -> Response:
        if "authorization" in req.headers:
            service.credentials.append(req.headers["authorization"])
        raw = await req.body()
        body = await req.json() if raw else dict(req.query_params)
        call = str(body.get("call", ""))
        service.executions[call] += 1
        await asyncio.sleep(float(body.get("delay", service.delay)))
        response = {
            "path": req.path_params["path"],
            "method": req.method,
            "call": call,
            "execution": service.executions[call],
        }
        return JSONResponse(response, int(body.get("status", 200)))

    async def stats(_: Request) -> Response:
        return JSONResponse(
            {
                "executions": dict(service.executions),
                "credentials": service.credentials,
            }
        )

    return Starlette(
        routes=[
            Route("/standin/stats", stats),
            Route("/{path:path}", execute, methods=METHODS),
        ]
    )
