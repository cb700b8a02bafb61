"""Who may reach which route, and the state of an admitted request."""

from __future__ import annotations

import time

import xxhash
from starlette.requests import Request

from ..fleet import Route
from ..policy import Job, Refusal, compute_work, make_fingerprint
from ..telemetry import RequestTrace
from ._caller import OPEN_CUSTOMER, Caller, authenticate
from ._exchange import Exchange
from ._node import Node

TRUST_RETRY_AFTER = 2.0  # seconds


def identify(node: Node, req: Request) -> Caller | None:
    """Find the caller when a credential is present.

    Parameters
    ----------
    node : Node
        This node.
    req : Request
        The request.

    Returns
    -------
    Caller or None
        None without a credential, which only open routes allow.

    Raises
    ------
    Refusal
        401 for a credential that is not valid.
    """
    if "authorization" not in req.headers:
        return None
    return authenticate(node.replica.config, req.headers)


def check_access(
    node: Node, caller: Caller | None, route_name: str, route: Route | None
) -> Caller:
    """Check that a caller may reach a route.

    Parameters
    ----------
    node : Node
        This node.
    caller : Caller or None
        From ``identify``.
    route_name : str
        What the caller named.
    route : Route or None
        Its configuration.

    Returns
    -------
    Caller
        The caller, or the anonymous one on an open route.

    Raises
    ------
    Refusal
        401, 403, 404, or 503 while keys can't be trusted.
    """
    if route is not None and route.open:
        return caller or Caller(OPEN_CUSTOMER, "")
    if caller is None:
        raise Refusal(401, "invalid_key", "a valid bearer key is required")
    if not node.trusts_keys():
        raise Refusal(
            503,
            "keys_unverified",
            "not run: this node can't learn whether the key was withdrawn",
            retry_after=TRUST_RETRY_AFTER,
        )
    if route is None:
        raise Refusal(404, "unknown_route", f"{route_name!r} does not exist")
    allowed = node.replica.config.customers[caller.customer].routes
    if allowed and route_name not in allowed:
        raise Refusal(403, "forbidden_route", f"{route_name!r} is not allowed")
    return caller


def make_exchange(
    node: Node,
    caller: Caller,
    route_name: str,
    route: Route,
    *,
    request_id: str,
    body: bytes,
    prompt_tokens: int = 0,
    prefix: str = "",
    repeatable: bool = True,
) -> Exchange:
    """Make the state of an admitted request.

    Parameters
    ----------
    node : Node
        This node.
    caller : Caller
        Who asks.
    route_name : str
        What the caller named.
    route : Route
        Its configuration.
    request_id : str
        Identifies the request.
    body : bytes
        For the fingerprint.
    prompt_tokens : int, default=0
        Estimated length of the prompt.
    prefix : str, default=""
        Beginning of the prompt.
    repeatable : bool, default=True
        The call is idempotent.

    Returns
    -------
    Exchange
        Registered with the node.
    """
    now = time.monotonic()
    request_class = node.replica.config.classes[route.request_class]
    fingerprint = make_fingerprint(caller.customer, route_name, body)
    job = Job(
        request_id=request_id,
        customer=caller.customer,
        class_name=route.request_class,
        pool=route.pool,
        tier=request_class.tier,
        arrived_at=now,
        deadline=now + request_class.first_token,
        weight=caller.weight,
        token_interval=request_class.token_interval,
        work=estimate_work(node, caller, route_name, route, prompt_tokens),
        min_share=request_class.min_share,
        repeatable=repeatable,
        cheap_allowed=route.cheap and repeatable,
        prefix_hash=xxhash.xxh64_intdigest(prefix.encode()) if prefix else 0,
        prompt_tokens=prompt_tokens,
        fingerprint=fingerprint,
    )
    trace = RequestTrace(
        request_id, caller.customer, route.request_class, route_name, time.time()
    )
    exch = Exchange(
        request_id, caller, route_name, route, request_class, job, trace, now
    )
    exch.record("admission", tier=job.tier, work=round(job.work, 1), key=caller.key)
    node.decisions.observe_request(trace)
    node.n_active += 1
    return exch


def estimate_work(
    node: Node, caller: Caller, route_name: str, route: Route, prompt_tokens: int
) -> float:
    """Estimate the work that a request will cause.

    Parameters
    ----------
    node : Node
        This node.
    caller : Caller
        Who asks.
    route_name : str
        On which route.
    route : Route
        Its configuration.
    prompt_tokens : int
        Length of the prompt.

    Returns
    -------
    float
        Output-token equivalents; 1 for a call of a plain service.
    """
    if route.kind == "plain":
        return 1.0
    output = node.estimator.predict(caller.customer, route_name)
    return compute_work(prompt_tokens, 0, output)
