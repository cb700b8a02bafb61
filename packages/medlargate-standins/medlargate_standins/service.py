"""A plain service's stand-in, which counts what it executes."""

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
    """State of one plain service.

    Attributes
    ----------
    delay : float
        Seconds per call.
    executions : Counter
        Times each call was executed, by the ``call`` field of its body or query.
    credentials : list of str
        Credentials that reached the service; there should be none.
    """

    delay: float = 0.005
    executions: Counter = field(default_factory=Counter)
    credentials: list[str] = field(default_factory=list)


def make_service_app(service: Service) -> Starlette:
    """Make the stand-in's HTTP application.

    Parameters
    ----------
    service : Service
        Its state.

    Returns
    -------
    Starlette
        The application.
    """

    async def execute(req: Request) -> Response:
        if "authorization" in req.headers:
            service.credentials.append(req.headers["authorization"])
        raw = await req.body()
        body = await req.json() if raw else dict(req.query_params)
        call = str(body.get("call", ""))
        service.executions[call] += 1
        await asyncio.sleep(float(body.get("delay", service.delay)))
        answer = {
            "path": req.path_params["path"],
            "method": req.method,
            "call": call,
            "execution": service.executions[call],
        }
        return JSONResponse(answer, int(body.get("status", 200)))

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
