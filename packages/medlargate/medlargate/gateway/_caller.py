"""Who calls: credentials checked for each request, never passed on."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from starlette.datastructures import Headers

from ..fleet import Config, Key
from ..policy import Refusal

OPEN_CUSTOMER = "anonymous"
CREDENTIAL_HEADERS = frozenset(
    {"authorization", "cookie", "proxy-authorization", "x-api-key", "api-key"}
)


@dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller.

    Attributes
    ----------
    customer, key : str
        Names; ``key`` is empty on open routes.
    weight : float
        The customer's share.
    role : str
        ``"caller"``, ``"read"`` or ``"write"``.
    """

    customer: str
    key: str
    weight: float = 1.0
    role: str = "caller"


def compute_digest(secret: str) -> str:
    """Hash a key's secret.

    Parameters
    ----------
    secret : str
        As the caller sends it.

    Returns
    -------
    str
        Hexadecimal SHA-256.
    """
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


def find_key(cfg: Config, headers: Headers) -> tuple[str, Key] | None:
    """Find the key that a request presents.

    Parameters
    ----------
    cfg : Config
        The configuration in force.
    headers : Headers
        The request's headers.

    Returns
    -------
    tuple of (str, Key) or None
        None when there is no valid bearer key.
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
    """Find the caller of a request.

    Parameters
    ----------
    cfg : Config
        The configuration in force.
    headers : Headers
        The request's headers.

    Returns
    -------
    Caller
        The key's customer.

    Raises
    ------
    Refusal
        401 without a valid key.
    """
    found = find_key(cfg, headers)
    if found is None or found[1].role != "caller":
        raise Refusal(401, "invalid_key", "a valid bearer key is required")
    name, key = found
    customer = cfg.customers[key.customer]
    return Caller(key.customer, name, customer.weight)


def authenticate_operator(cfg: Config, headers: Headers) -> Caller:
    """Find the operator of a request.

    Parameters
    ----------
    cfg : Config
        The configuration in force.
    headers : Headers
        The request's headers.

    Returns
    -------
    Caller
        With role ``"read"`` or ``"write"``.

    Raises
    ------
    Refusal
        401 without a valid operator's key.
    """
    found = find_key(cfg, headers)
    if found is None or found[1].role == "caller":
        raise Refusal(401, "invalid_key", "an operator's bearer key is required")
    return Caller("", found[0], role=found[1].role)


def is_withdrawn(cfg: Config, caller: Caller) -> bool:
    """Tell whether a caller's key is not in force any more.

    Parameters
    ----------
    cfg : Config
        The configuration in force.
    caller : Caller
        From ``authenticate``.

    Returns
    -------
    bool
        False for callers of open routes.
    """
    return bool(caller.key) and caller.key not in cfg.keys
