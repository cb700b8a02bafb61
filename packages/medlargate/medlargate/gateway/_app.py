"""HTTP application of a node: requests of callers, health checks and metrics."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Awaitable, Callable

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute
from starlette.routing import Router
from starlette.types import Receive, Scope, Send

from ..operators import make_operator_routes
from ..policy import Refusal, Verdict
from ._admission import admit_request, authenticate_if_present, check_access
from ._caller import (
    authenticate_operator,
    compute_digest,
)
from ._chat import Sink, call_chat, stream_chat
from ._error_responses import (
    REQUEST_HEADER,
    RUN_HEADER,
    make_error_body,
    make_refusal_response,
)
from ._event_stream_response import EventStreamResponse
from ._exchange import Exchange
from ._fleet_api import make_fleet_routes
from ._node import Node
from ._plain import SAFE_METHODS, call_plain, make_plain_call, make_plain_response
from ._requests import check_headers, estimate_prompt, parse_chat, read_body

log = logging.getLogger(__name__)

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]

Handler = Callable[[Node, Request, str], Awaitable[Response]]


async def serve_chat(node: Node, req: Request, request_id: str) -> Response:
    """Serve ``POST /v1/chat/completions``.

    Parameters
    ----------
    node : Node
        This node.
    req : Request
        HTTP request of the caller.
    request_id : str
        Unique id of the request.

    Returns
    -------
    Response
        Complete or streamed chat response.
    """
    caller = authenticate_if_present(node, req)
    body = await read_body(req, node.settings.limits)
    chat, document = parse_chat(body)
    route = node.replica.config.routes.get(chat.model)
    if route is not None and route.kind != "chat":
        route = None
    caller = check_access(node, caller, chat.model, route)
    assert route is not None
    prompt_tokens, prefix = estimate_prompt(chat)
    exch = admit_request(
        node,
        caller,
        chat.model,
        route,
        request_id=request_id,
        body=body,
        prompt_tokens=prompt_tokens,
        prefix=prefix,
    )
    if chat.stream:
        options = chat.stream_options
        with_usage = bool(options and options.include_usage)
        return _make_stream_response(node, exch, document, with_usage)
    return await run_until_disconnect(
        node, exch, req, _respond_full_chat(node, exch, document)
    )


async def _respond_full_chat(node: Node, exch: Exchange, document: dict) -> Response:
    raw = await call_chat(node, exch, document)
    headers = {RUN_HEADER: str(Verdict.RAN), REQUEST_HEADER: exch.request_id}
    return Response(raw, 200, headers, media_type="application/json")


def _make_stream_response(
    node: Node, exch: Exchange, document: dict, with_usage: bool
) -> Response:
    async def write_events(sink: Sink) -> None:
        await stream_chat(node, exch, document, sink, with_usage=with_usage)

    def on_end(cause: BaseException | None) -> bytes:
        if cause is None:
            node.finish_request(exch, "ok")
            return b""
        if isinstance(cause, Refusal):
            node.finish_request(exch, cause.code)
            return _make_error_event(cause)
        if isinstance(cause, Exception):
            log.error(
                "response stream failed with an unhandled exception", exc_info=cause
            )
            node.finish_request(exch, "internal_error")
            refusal = exch.make_failure(500, "internal_error", "the router failed")
            return _make_error_event(refusal)
        node.finish_request(exch, "caller_gone")
        return b""

    headers = {REQUEST_HEADER: exch.request_id, "Cache-Control": "no-cache"}
    return EventStreamResponse(
        write_events, request_id=exch.request_id, headers=headers, on_end=on_end
    )


def _make_error_event(refusal: Refusal) -> bytes:
    return b"data: " + JSONResponse(make_error_body(refusal)).body + b"\n\n"


async def run_until_disconnect(
    node: Node, exch: Exchange, req: Request, pending_response: Awaitable[Response]
) -> Response:
    """Run a request to its end, or cancel it when the caller disconnects.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        State of the request.
    req : Request
        HTTP request, whose channel reports the disconnect of the caller.
    pending_response : awaitable of Response
        Processing of the request.

    Returns
    -------
    Response
        Response to the caller.

    Raises
    ------
    Refusal
        The request was refused or failed, or the caller disconnected.
    """
    task = asyncio.ensure_future(pending_response)
    watcher = asyncio.ensure_future(_cancel_on_disconnect(req, task, exch))
    try:
        resp = await task
        node.finish_request(exch, "ok")
        return resp
    except Refusal as exc:
        node.finish_request(exch, exc.code)
        raise
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        node.finish_request(exch, "caller_gone")
        raise exch.make_failure(499, "caller_gone", "the caller went away") from None
    finally:
        watcher.cancel()


async def _cancel_on_disconnect(req: Request, task, exch: Exchange) -> None:
    while (await req.receive())["type"] != "http.disconnect":
        pass
    # A non-idempotent call that was sent is left to finish, because closing its
    # connection would save no work on the backend server.
    if exch.job.repeatable or exch.verdict is Verdict.NOT_RUN:
        task.cancel()


async def serve_plain(node: Node, req: Request, request_id: str) -> Response:
    """Serve ``/routes/{name}/...``: calls of plain services.

    Parameters
    ----------
    node : Node
        This node.
    req : Request
        HTTP request of the caller.
    request_id : str
        Unique id of the request.

    Returns
    -------
    Response
        Response of the plain service.
    """
    caller = authenticate_if_present(node, req)
    name = req.path_params["name"]
    route = node.replica.config.routes.get(name)
    if route is not None and route.kind != "plain":
        route = None
    caller = check_access(node, caller, name, route)
    assert route is not None
    body = await read_body(req, node.settings.limits)
    path = req.path_params["path"]
    call = make_plain_call(req, path, body)
    exch = admit_request(
        node,
        caller,
        name,
        route,
        request_id=request_id,
        body=f"{req.method} {path}?{call.query}\n".encode() + body,
        repeatable=route.repeatable or req.method in SAFE_METHODS,
    )

    async def run() -> Response:
        return make_plain_response(exch, await call_plain(node, exch, call))

    return await run_until_disconnect(node, exch, req, run())


async def serve_models(node: Node, req: Request, request_id: str) -> Response:
    """Serve ``GET /v1/models``: the chat routes that the caller may use.

    Parameters
    ----------
    node : Node
        This node.
    req : Request
        HTTP request of the caller.
    request_id : str
        Unused; every handler gets the id of its request.

    Returns
    -------
    Response
        List of models in the format of the OpenAI API.
    """
    caller = authenticate_if_present(node, req)
    if caller is None:
        raise Refusal(
            401, "invalid_key", "a valid bearer key is required", Verdict.NOT_RUN
        )
    allowed = node.replica.config.customers[caller.customer].routes
    rows = [
        {"id": name, "object": "model", "created": 0, "owned_by": "medlargate"}
        for name, route in node.replica.config.routes.items()
        if route.kind == "chat" and (not allowed or name in allowed)
    ]
    return JSONResponse({"object": "list", "data": rows})


class Endpoint:
    """ASGI application that runs a handler and turns refusals into responses.

    Each request gets a new random id.

    Parameters
    ----------
    node : Node
        This node.
    handler : callable
        Coroutine function that gets the node, the HTTP request and the request id.

    Notes
    -----
    Starlette wraps plain endpoint functions, and its application class wraps every
    response, in layers that each relayed chunk passes through. An ASGI application
    mounted directly on a bare router avoids these layers.
    """

    def __init__(self, node: Node, handler: Handler) -> None:
        self._node = node
        self._handler = handler

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request.

        Parameters
        ----------
        scope : dict
            ASGI connection scope.
        receive, send : callable
            ASGI channels.
        """
        req = Request(scope, receive, send)
        resp = await self._respond(req, secrets.token_hex(12))
        if not self._node.ready:
            resp.headers["Connection"] = "close"
        await resp(scope, receive, send)

    async def _respond(self, req: Request, request_id: str) -> Response:
        try:
            check_headers(req, self._node.settings.limits)
            return await self._handler(self._node, req, request_id)
        except Refusal as exc:
            resp = make_refusal_response(exc, request_id)
            # The unread rest of the request body can't be skipped safely, so the
            # connection can't be reused.
            if exc.status in (408, 413, 431):
                resp.headers["Connection"] = "close"
            return resp
        except Exception:
            log.exception(
                "request failed with an unhandled exception",
                extra={"request": request_id},
            )
            refusal = Refusal(
                500, "internal_error", "the router failed", Verdict.MAY_HAVE_RUN
            )
            return make_refusal_response(refusal, request_id)


def make_app(node: Node) -> Router:
    """Create the HTTP application of a node.

    Parameters
    ----------
    node : Node
        This node.

    Returns
    -------
    Router
        ASGI application with all routes of the node.
    """

    async def healthz(_: Request) -> Response:
        return JSONResponse({"state": node.states.state})

    async def readyz(_: Request) -> Response:
        status = 200 if node.ready else 503
        return JSONResponse({"ready": node.ready}, status)

    async def metrics(_: Request) -> Response:
        return Response(node.metrics.snapshot(), media_type="text/plain")

    return Router(
        routes=[
            HttpRoute("/healthz", healthz),
            HttpRoute("/readyz", readyz),
            HttpRoute("/metrics", metrics),
            HttpRoute(
                "/v1/chat/completions",
                Endpoint(node, serve_chat),
                methods=["POST"],
            ),
            HttpRoute("/v1/models", Endpoint(node, serve_models)),
            HttpRoute(
                "/routes/{name}/{path:path}",
                Endpoint(node, serve_plain),
                methods=METHODS,
            ),
            *make_fleet_routes(node),
            *make_operator_routes(
                node, authenticate_operator, make_refusal_response, compute_digest
            ),
        ],
    )
