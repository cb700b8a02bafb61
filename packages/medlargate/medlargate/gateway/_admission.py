"""Access control for routes, and admission of requests."""

from __future__ import annotations

import time

import xxhash
from starlette.requests import Request

from ..fleet import Route
from ..policy import Job, Refusal, Verdict, compute_work, make_fingerprint
from ..telemetry import RequestTrace
from ._caller import ANONYMOUS_CUSTOMER, Caller, authenticate
from ._exchange import Exchange
from ._node import Node

KEYS_UNVERIFIED_RETRY_AFTER = 2.0  # seconds


def authenticate_if_present(node: Node, req: Request) -> Caller | None:
    """Authenticate the caller if the request has an Authorization header.

    Parameters
    ----------
    node : Node
        This node.
    req : Request
        HTTP request of the caller.

    Returns
    -------
    Caller or None
        Authenticated caller; None without an Authorization header, which only
        open routes accept.

    Raises
    ------
    Refusal
        Status 401 for an invalid credential.
    """
    if "authorization" not in req.headers:
        return None
    return authenticate(node.replica.config, req.headers)


def check_access(
    node: Node, caller: Caller | None, route_name: str, route: Route | None
) -> Caller:
    """Check that a caller may use a route.

    Parameters
    ----------
    node : Node
        This node.
    caller : Caller or None
        Result of ``authenticate_if_present``.
    route_name : str
        Name of the route, as given by the caller.
    route : Route or None
        Configuration of the route; None if the route does not exist.

    Returns
    -------
    Caller
        The given caller, or an anonymous caller on an open route.

    Raises
    ------
    Refusal
        Status 401 without a valid key, 403 for a route that the customer may not
        use, 404 for an unknown route, or 503 while this node can't verify that
        keys are still in force.
    """
    if route is not None and route.open:
        return caller or Caller(ANONYMOUS_CUSTOMER, "")
    if caller is None:
        raise Refusal(
            401, "invalid_key", "a valid bearer key is required", Verdict.NOT_RUN
        )
    if not node.trusts_keys():
        raise Refusal(
            503,
            "keys_unverified",
            "not run: this node can't learn whether the key was withdrawn",
            Verdict.NOT_RUN,
            retry_after=KEYS_UNVERIFIED_RETRY_AFTER,
        )
    if route is None:
        raise Refusal(
            404, "unknown_route", f"{route_name!r} does not exist", Verdict.NOT_RUN
        )
    allowed = node.replica.config.customers[caller.customer].routes
    if allowed and route_name not in allowed:
        raise Refusal(
            403, "forbidden_route", f"{route_name!r} is not allowed", Verdict.NOT_RUN
        )
    return caller


def admit_request(
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
    """Admit a request: create its state and register it with the node.

    Parameters
    ----------
    node : Node
        This node.
    caller : Caller
        Caller who passed ``check_access``.
    route_name : str
        Name of the route, as given by the caller.
    route : Route
        Configuration of the route.
    request_id : str
        Unique id of the request.
    body : bytes
        Bytes from which the fingerprint of the request is computed.
    prompt_tokens : int, default=0
        Estimated length of the prompt in tokens.
    prefix : str, default=""
        Beginning of the prompt, whose hash is used for prefix-aware routing.
    repeatable : bool, default=True
        Whether the request is idempotent and may be sent more than once.

    Returns
    -------
    Exchange
        State of the request, counted as active by the node.
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
        Caller of the request.
    route_name : str
        Name of the route, as given by the caller.
    route : Route
        Configuration of the route.
    prompt_tokens : int
        Estimated length of the prompt in tokens.

    Returns
    -------
    float
        Work in output-token equivalents; 1 for a call of a plain service.
    """
    if route.kind == "plain":
        return 1.0
    output = node.estimator.predict(caller.customer, route_name)
    return compute_work(prompt_tokens, 0, output)
