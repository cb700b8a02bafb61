"""Authentication of callers; credentials are never forwarded to backend servers."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from starlette.datastructures import Headers

from ..fleet import Config, Key
from ..policy import Refusal, Verdict

ANONYMOUS_CUSTOMER = "anonymous"
CREDENTIAL_HEADERS = frozenset(
    {"authorization", "cookie", "proxy-authorization", "x-api-key", "api-key"}
)


@dataclass(frozen=True, slots=True)
class Caller:
    """Identity and role of the sender of a request.

    Attributes
    ----------
    customer : str
        Name of the customer; empty for operators.
    key : str
        Name of the API key; empty for an anonymous caller of an open route.
    weight : float
        Weight of the customer in fair scheduling.
    role : str
        ``"caller"`` for customers, ``"read"`` or ``"write"`` for operators.
    """

    customer: str
    key: str
    weight: float = 1.0
    role: str = "caller"


def compute_digest(secret: str) -> str:
    """Compute the digest under which an API key's secret is stored.

    Parameters
    ----------
    secret : str
        Secret as sent by the caller.

    Returns
    -------
    str
        SHA-256 digest in hexadecimal.
    """
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


def find_key(cfg: Config, headers: Headers) -> tuple[str, Key] | None:
    """Find the API key that a request presents as bearer token.

    Parameters
    ----------
    cfg : Config
        Configuration in force.
    headers : Headers
        Headers of the request.

    Returns
    -------
    tuple of (str, Key) or None
        Name and configuration of the key; None without a valid bearer key.
    """
    scheme, _, secret = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not secret:
        return None
    digest = compute_digest(secret.strip())
    name = cfg.key_by_digest.get(digest)
    if name is None:
        return None
    key = cfg.keys[name]
    return (name, key) if hmac.compare_digest(key.digest, digest) else None


def authenticate(cfg: Config, headers: Headers) -> Caller:
    """Authenticate the caller of a request.

    Parameters
    ----------
    cfg : Config
        Configuration in force.
    headers : Headers
        Headers of the request.

    Returns
    -------
    Caller
        Caller with the customer that owns the key.

    Raises
    ------
    Refusal
        Status 401 without a valid customer key.
    """
    found = find_key(cfg, headers)
    if found is None or found[1].role != "caller":
        raise Refusal(
            401, "invalid_key", "a valid bearer key is required", Verdict.NOT_RUN
        )
    name, key = found
    customer = cfg.customers[key.customer]
    return Caller(key.customer, name, customer.weight)


def authenticate_operator(cfg: Config, headers: Headers) -> Caller:
    """Authenticate the operator who sends a request.

    Parameters
    ----------
    cfg : Config
        Configuration in force.
    headers : Headers
        Headers of the request.

    Returns
    -------
    Caller
        Operator with role ``"read"`` or ``"write"``.

    Raises
    ------
    Refusal
        Status 401 without a valid operator key.
    """
    found = find_key(cfg, headers)
    if found is None or found[1].role == "caller":
        raise Refusal(
            401, "invalid_key", "an operator's bearer key is required", Verdict.NOT_RUN
        )
    return Caller("", found[0], role=found[1].role)


def is_withdrawn(cfg: Config, caller: Caller) -> bool:
    """Check whether a caller's key has been withdrawn.

    Parameters
    ----------
    cfg : Config
        Configuration in force.
    caller : Caller
        Caller of a request.

    Returns
    -------
    bool
        Whether the key is missing from the configuration; always False for an
        anonymous caller.
    """
    return bool(caller.key) and caller.key not in cfg.keys
