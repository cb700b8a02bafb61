"""Calls of plain (non-chat) services, with claims for idempotency keys."""

from __future__ import annotations

import base64
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure
from starlette.requests import Request
from starlette.responses import Response

from ..fleet import AlreadyClaimed, Claimed, make_claim_key, make_stored_response
from ..policy import Refusal, Verdict
from ._attempts import acquire, prepare_retry
from ._backend_client import BackendFault, open_response
from ._caller import CREDENTIAL_HEADERS
from ._error_responses import REQUEST_HEADER, RUN_HEADER
from ._exchange import Exchange

if TYPE_CHECKING:
    from ._node import Node

IDEMPOTENCY_HEADER = "idempotency-key"
REPLAY_HEADER = "Idempotent-Replayed"
CLAIM_RETRY_AFTER = 2.0  # seconds
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
CALL_TIMEOUT = 60.0  # seconds
READ_CHUNK_BYTES = 16_777_216
NON_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "date",
        "server",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A request to a plain service.

    Attributes
    ----------
    method, path, query : str
        HTTP method, path relative to the route, and query string.
    headers : dict of str to str
        Request headers without credentials and headers that are not forwarded.
    body : bytes
        Complete request body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A complete response from a plain service.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Response headers without headers that are not forwarded.
    body : bytes
        Complete response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def make_plain_call(req: Request, path: str, body: bytes) -> PlainCall:
    """Build the request to a plain service from a caller's request.

    Credentials, the headers that ``Connection`` names and all of
    ``NON_FORWARDED_HEADERS`` are removed.

    Parameters
    ----------
    req : Request
        Request of the caller.
    path : str
        Path relative to the route.
    body : bytes
        Complete request body.

    Returns
    -------
    PlainCall
        Request to forward to a backend server.
    """
    removed = NON_FORWARDED_HEADERS | CREDENTIAL_HEADERS
    connection_headers = req.headers.get("connection", "").lower().split(",")
    removed |= {name.strip() for name in connection_headers}
    headers = {k: v for k, v in req.headers.items() if k not in removed}
    return PlainCall(req.method, path, req.url.query, headers, body)


async def call_plain(node: Node, exch: Exchange, call: PlainCall) -> ServiceResponse:
    """Send a call to a backend server, with retries.

    A call that needs a claim is claimed once, before its first attempt. The claim
    is released when the call fails and is known not to have run.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        Caller's request that the call belongs to.
    call : PlainCall
        Call to send.

    Returns
    -------
    ServiceResponse
        Response of the service, or the stored response of an earlier call with the
        same Idempotency-Key.

    Raises
    ------
    Refusal
        If no response was obtained. The refusal's verdict tells whether the call
        ran.
    """
    claimed: Claimed | None = None
    while True:
        try:
            assignment = await acquire(node, exch)
        except Refusal as exc:
            await _release_claim(node, claimed, exc)
            raise
        fault: BackendFault | None = None
        try:
            if claimed is None and needs_claim(exch, call):
                claim = await _claim(node, exch, call)
                if isinstance(claim, ServiceResponse):
                    return claim
                claimed = claim
            response = await _attempt(node, exch, call, assignment.backend)
            if claimed is not None:
                stored = make_stored_response(
                    response.status, response.headers, response.body
                )
                await node.claims.store_response(claimed, stored)
            return response
        except BackendFault as exc:
            fault = exc
            await node.handle_fault(exch, assignment.backend, exc)
        finally:
            node.release(exch, completed=fault is None)
        try:
            prepare_retry(node, exch, fault)
        except Refusal as exc:
            await _release_claim(node, claimed, exc)
            raise


async def _release_claim(node: Node, claimed: Claimed | None, exc: Refusal) -> None:
    """Release the claim of a call that is refused and has not run."""
    if claimed is not None and exc.verdict is Verdict.NOT_RUN:
        await node.claims.release(claimed)


def needs_claim(exch: Exchange, call: PlainCall) -> bool:
    """Tell whether a call has to be claimed before it is sent.

    Parameters
    ----------
    exch : Exchange
        Caller's request that the call belongs to.
    call : PlainCall
        Call to check.

    Returns
    -------
    bool
        True for non-idempotent calls with an Idempotency-Key.
    """
    return not exch.job.repeatable and IDEMPOTENCY_HEADER in call.headers


async def _claim(
    node: Node, exch: Exchange, call: PlainCall
) -> Claimed | ServiceResponse:
    """Claim a call, or return the stored response of an earlier identical call."""
    idempotency_key = call.headers[IDEMPOTENCY_HEADER]
    key = make_claim_key(exch.caller.customer, exch.route_name, idempotency_key)
    digest = exch.job.fingerprint
    claim = await node.claims.claim(key, digest)
    if isinstance(claim, Failure):
        refusal = exch.make_failure(
            503, "store_unavailable", "not run: the call could not be claimed"
        )
        refusal.retry_after = CLAIM_RETRY_AFTER
        raise refusal
    result = claim.unwrap()
    exch.record("claim", taken=isinstance(result, AlreadyClaimed))
    if isinstance(result, Claimed):
        return result
    return _replay(exch, result, digest)


def _replay(exch: Exchange, earlier: AlreadyClaimed, digest: str) -> ServiceResponse:
    if earlier.claim.body_digest != digest:
        raise exch.make_failure(
            422, "idempotency_mismatch", "not run: the key belongs to another call"
        )
    stored = earlier.claim.answer
    if stored is None or (not stored.body and not stored.headers):
        exch.states.observe("refuse")
        raise Refusal(
            409,
            "already_claimed",
            "an earlier call with this Idempotency-Key was sent; it is not repeated",
            earlier.verdict,
        )
    headers = {**stored.headers, REPLAY_HEADER: "true"}
    return ServiceResponse(stored.status, headers, base64.b64decode(stored.body))


async def _attempt(
    node: Node, exch: Exchange, call: PlainCall, backend: str
) -> ServiceResponse:
    query = f"?{call.query}" if call.query else ""
    url = f"{node.backend_url(backend)}/{call.path}{query}"
    sent_at = time.monotonic()
    exch.states.observe("write")
    headers = {**call.headers, "X-Request-Id": exch.request_id}
    async with open_response(
        node.session,
        call.method,
        url,
        headers=headers,
        body=call.body,
        header_timeout=CALL_TIMEOUT,
    ) as resp:
        echoed = resp.headers.get("X-Request-Id", exch.request_id)
        if echoed != exch.request_id:
            message = "the answer belongs to another request"
            raise BackendFault("invalid", message, Verdict.MAY_HAVE_RUN)
        with node.watchdog.watch(exch, resp, CALL_TIMEOUT):
            body = await resp.content.read(READ_CHUNK_BYTES)
            while more := await resp.content.read(READ_CHUNK_BYTES):
                body += more
        headers = {
            k: v
            for k, v in resp.headers.items()
            if k.lower() not in NON_FORWARDED_HEADERS
        }
        response = ServiceResponse(resp.status, headers, body)
    node.observe_first_token(exch, time.monotonic() - sent_at)
    exch.record_output_time(time.monotonic())
    exch.states.observe("finish")
    return response


def make_plain_response(exch: Exchange, service_resp: ServiceResponse) -> Response:
    """Build the response to the caller from a service's response.

    Parameters
    ----------
    exch : Exchange
        Caller's request.
    service_resp : ServiceResponse
        Response of the service.

    Returns
    -------
    Response
        The service's status, headers and body, with verdict and request identifier
        as additional headers.
    """
    resp = Response(service_resp.body, service_resp.status)
    for name, value in service_resp.headers.items():
        resp.headers[name] = value
    resp.headers[RUN_HEADER] = str(Verdict.RAN)
    resp.headers[REQUEST_HEADER] = exch.request_id
    return resp
