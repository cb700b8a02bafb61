"""Calls of plain services."""

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
from ._answers import REQUEST_HEADER, RUN_HEADER
from ._attempts import acquire, decide_next
from ._backend_client import BackendFault, open_call
from ._caller import CREDENTIAL_HEADERS
from ._exchange import Exchange

if TYPE_CHECKING:
    from ._node import Node

IDEMPOTENCY_HEADER = "idempotency-key"
REPLAY_HEADER = "Idempotent-Replayed"
CLAIM_RETRY_AFTER = 2.0  # seconds
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
CALL_TIMEOUT = 60.0  # seconds
MAX_ANSWER_BYTES = 16_777_216
HOP_HEADERS = frozenset(
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
    """A call of a plain service.

    Attributes
    ----------
    method, path, query : str
        The call below its route.
    headers : dict of str to str
        Without credentials and hop-by-hop headers.
    body : bytes
        The whole body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A plain service's whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Without hop-by-hop headers.
    body : bytes
        The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def make_plain_call(req: Request, path: str, body: bytes) -> PlainCall:
    """Take over a caller's request without what must not be passed on.

    Parameters
    ----------
    req : Request
        The caller's request.
    path : str
        Path below the route.
    body : bytes
        The whole body.

    Returns
    -------
    PlainCall
        What the backend server gets.
    """
    dropped = HOP_HEADERS | CREDENTIAL_HEADERS
    named = req.headers.get("connection", "").lower().split(",")
    dropped |= {name.strip() for name in named}
    headers = {k: v for k, v in req.headers.items() if k not in dropped}
    return PlainCall(req.method, path, req.url.query, headers, body)


async def call_plain(node: Node, exch: Exchange, call: PlainCall) -> PlainAnswer:
    """Execute a call on a backend server.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        The request.
    call : PlainCall
        What to call.

    Returns
    -------
    PlainAnswer
        The service's whole answer.

    Raises
    ------
    Refusal
        The request ends without an answer; its verdict says whether it ran.
    """
    claimed: Claimed | None = None
    while True:
        assignment = await acquire(node, exch)
        fault: BackendFault | None = None
        try:
            if claimed is None and needs_claim(exch, call):
                got = await _claim(node, exch, call)
                if isinstance(got, PlainAnswer):
                    return got
                claimed = got
            answer = await _attempt(node, exch, call, assignment.backend)
            if claimed is not None:
                kept = make_stored_response(answer.status, answer.headers, answer.body)
                await node.claims.store_response(claimed, kept)
            return answer
        except BackendFault as exc:
            fault = exc
            await node.observe_fault(exch, assignment.backend, exc)
        finally:
            node.release(exch, done=fault is None)
        try:
            decide_next(node, exch, fault)
        except Refusal as exc:
            if claimed is not None and exc.verdict is Verdict.NOT_RUN:
                await node.claims.release(claimed)
            raise


def needs_claim(exch: Exchange, call: PlainCall) -> bool:
    """Tell whether a call has to be claimed before it is sent.

    Parameters
    ----------
    exch : Exchange
        The request.
    call : PlainCall
        What to call.

    Returns
    -------
    bool
        True for non-idempotent calls with an Idempotency-Key.
    """
    return not exch.job.repeatable and IDEMPOTENCY_HEADER in call.headers


async def _claim(node: Node, exch: Exchange, call: PlainCall) -> Claimed | PlainAnswer:
    """Claim a call, or answer it from an earlier one."""
    name = call.headers[IDEMPOTENCY_HEADER]
    key = make_claim_key(exch.caller.customer, exch.route_name, name)
    digest = exch.job.fingerprint
    got = await node.claims.claim(key, digest)
    if isinstance(got, Failure):
        refusal = exch.make_failure(
            503, "store_unavailable", "not run: the call could not be claimed"
        )
        refusal.retry_after = CLAIM_RETRY_AFTER
        raise refusal
    result = got.unwrap()
    exch.record("claim", taken=isinstance(result, AlreadyClaimed))
    if isinstance(result, Claimed):
        return result
    return _replay(exch, result, digest)


def _replay(exch: Exchange, taken: AlreadyClaimed, digest: str) -> PlainAnswer:
    if taken.claim.body_digest != digest:
        raise exch.make_failure(
            422, "idempotency_mismatch", "not run: the key belongs to another call"
        )
    answer = taken.claim.answer
    if answer is None or (not answer.body and not answer.headers):
        exch.states.observe("refuse")
        raise Refusal(
            409,
            "already_claimed",
            "an earlier call with this Idempotency-Key was sent; it is not repeated",
            taken.verdict,
        )
    headers = {**answer.headers, REPLAY_HEADER: "true"}
    return PlainAnswer(answer.status, headers, base64.b64decode(answer.body))


async def _attempt(
    node: Node, exch: Exchange, call: PlainCall, backend: str
) -> PlainAnswer:
    query = f"?{call.query}" if call.query else ""
    url = f"{node.backend_url(backend)}/{call.path}{query}"
    sent_at = time.monotonic()
    exch.states.observe("write")
    headers = {**call.headers, "X-Request-Id": exch.request_id}
    async with open_call(
        node.session,
        call.method,
        url,
        headers=headers,
        body=call.body,
        head_timeout=CALL_TIMEOUT,
    ) as resp:
        echoed = resp.headers.get("X-Request-Id", exch.request_id)
        if echoed != exch.request_id:
            message = "the answer belongs to another request"
            raise BackendFault("invalid", message, Verdict.MAY_HAVE_RUN)
        with node.watchdog.watch(exch, resp, CALL_TIMEOUT):
            body = await resp.content.read(MAX_ANSWER_BYTES)
            while more := await resp.content.read(MAX_ANSWER_BYTES):
                body += more
        headers = {
            k: v for k, v in resp.headers.items() if k.lower() not in HOP_HEADERS
        }
        answer = PlainAnswer(resp.status, headers, body)
    node.observe_first_token(exch, time.monotonic() - sent_at)
    exch.observe_progress(time.monotonic())
    exch.states.observe("finish")
    return answer


def make_plain_response(exch: Exchange, answer: PlainAnswer) -> Response:
    """Make the caller's response from a service's answer.

    Parameters
    ----------
    exch : Exchange
        The request.
    answer : PlainAnswer
        What the service answered.

    Returns
    -------
    Response
        The same status, headers and body, with the verdict.
    """
    resp = Response(answer.body, answer.status)
    for name, value in answer.headers.items():
        resp.headers[name] = value
    resp.headers[RUN_HEADER] = str(Verdict.RAN)
    resp.headers[REQUEST_HEADER] = exch.request_id
    return resp
