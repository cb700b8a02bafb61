"""Operators' configuration: validated models of its entities and its state."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
HIGHEST_TIER = 0
LOWEST_TIER = 4


class _Entity(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Customer(_Entity):
    """An organisation or person that owns API keys."""

    weight: float = Field(1.0, gt=0, le=1000, description="share within a class")
    routes: tuple[str, ...] = Field((), description="routes allowed; empty: all")


class Key(_Entity):
    """An API key of a caller or operator, stored only as a hash."""

    customer: str = Field("", description="owner; empty for operators' keys")
    digest: str = Field(pattern="^[0-9a-f]{64}$", description="SHA-256 of the secret")
    role: Literal["caller", "read", "write"] = "caller"


class RequestClass(_Entity):
    """A service level: priority tier, latency targets and minimum share."""

    tier: int = Field(ge=HIGHEST_TIER, le=LOWEST_TIER, description="0 is the highest")
    first_token: float = Field(1.7, gt=0, le=3600, description="target, seconds")
    token_interval: float = Field(0.026, gt=0, le=60, description="target, seconds")
    min_share: float = Field(
        0.05, ge=0, le=0.5, description="part of the capacity given from slack"
    )


class Route(_Entity):
    """A name that callers request, with its request class and its server pool."""

    kind: Literal["chat", "plain"] = "chat"
    request_class: str = Field(pattern=NAME_PATTERN)
    pool: str = Field(pattern=NAME_PATTERN, description="model or plain service")
    open: bool = Field(False, description="reachable without a key")
    repeatable: bool = Field(True, description="calls are idempotent")
    cheap: bool = Field(True, description="may run on cheap backend servers")


class Backend(_Entity):
    """A backend server: a model engine or a plain service."""

    address: str = Field(pattern=r"^[0-9a-fA-F.:]+$", description="IP number")
    port: int = Field(ge=1, le=65535)
    pools: tuple[str, ...] = Field(min_length=1)
    failure_domain: str = Field(pattern=NAME_PATTERN)
    kind: Literal["engine", "plain"] = "engine"
    cheap: bool = False
    max_concurrency: int = Field(16, ge=1, le=4096)
    draining: bool = False
    checks_fence: bool = Field(True, description="refuses old fencing numbers")

    @property
    def url(self) -> str:
        """Base URL of the server."""
        host = f"[{self.address}]" if ":" in self.address else self.address
        return f"http://{host}:{self.port}"


class QuarantineRelease(_Entity):
    """An operator's permission to run a quarantined request again."""

    at: float = Field(ge=0, description="seconds since the epoch")


KINDS: dict[str, type[_Entity]] = {
    "customer": Customer,
    "key": Key,
    "class": RequestClass,
    "route": Route,
    "backend": Backend,
    "pardon": QuarantineRelease,
}


class Operation(BaseModel):
    """Creation, replacement or deletion of one entity."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    action: Literal["put", "delete"]
    kind: Literal["customer", "key", "class", "route", "backend", "pardon"]
    name: str = Field(pattern=NAME_PATTERN)
    value: dict[str, Any] = Field(default_factory=dict)


class Record(BaseModel):
    """Record of one committed change in the key-value service."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    revision: int = Field(ge=1)
    change_id: str
    author: str = ""
    at: float = 0.0
    operations: tuple[Operation, ...]


class ConfigError(Exception):
    """A change can't be applied to the configuration.

    Parameters
    ----------
    message : str
        Error message with the entity, the parameter, its valid range and the value
        given.
    """


@dataclass
class Config:
    """The configuration at one revision.

    Attributes
    ----------
    revision : int
        Number of the last change applied; 0 for the empty configuration.
    entities : dict of str to dict
        For each kind, the entities by name.
    key_by_digest : dict of str to str
        Names of the API keys by the hash of their secrets.
    """

    revision: int = 0
    entities: dict[str, dict[str, _Entity]] = field(
        default_factory=lambda: {kind: {} for kind in KINDS}
    )
    key_by_digest: dict[str, str] = field(default_factory=dict)

    @property
    def customers(self) -> dict[str, Customer]:
        """Customers by name."""
        return self.entities["customer"]

    @property
    def keys(self) -> dict[str, Key]:
        """API keys by name."""
        return self.entities["key"]

    @property
    def classes(self) -> dict[str, RequestClass]:
        """Request classes by name."""
        return self.entities["class"]

    @property
    def routes(self) -> dict[str, Route]:
        """Routes by name."""
        return self.entities["route"]

    @property
    def backends(self) -> dict[str, Backend]:
        """Backend servers by name."""
        return self.entities["backend"]

    def apply(self, operation: Operation) -> None:
        """Apply one operation.

        Parameters
        ----------
        operation : Operation
            Operation that ``check_operations`` accepted.
        """
        table = self.entities[operation.kind]
        old = table.pop(operation.name, None)
        if isinstance(old, Key):
            self.key_by_digest.pop(old.digest, None)
        if operation.action == "delete":
            return
        entity = KINDS[operation.kind].model_validate(operation.value)
        table[operation.name] = entity
        if isinstance(entity, Key):
            self.key_by_digest[entity.digest] = operation.name

    def snapshot(self) -> list[Operation]:
        """List the operations that rebuild this configuration from an empty one.

        Returns
        -------
        list of Operation
            One ``put`` for each entity.
        """
        return [
            Operation(
                action="put",
                kind=kind,
                name=name,
                value=entity.model_dump(mode="json", exclude_defaults=True),
            )
            for kind, table in self.entities.items()
            for name, entity in table.items()
        ]


def _check_references(cfg: Config) -> None:
    for name, key in cfg.keys.items():
        if key.role == "caller" and key.customer not in cfg.customers:
            raise ConfigError(f"key {name!r}: customer {key.customer!r} does not exist")
    for name, route in cfg.routes.items():
        if route.request_class not in cfg.classes:
            raise ConfigError(
                f"route {name!r}: request_class {route.request_class!r} does not exist"
            )


def _describe_referrer(cfg: Config, operation: Operation) -> str | None:
    """Describe an entity that still refers to a deleted one; None if there is none."""
    if operation.kind == "customer":
        referrers = [n for n, key in cfg.keys.items() if key.customer == operation.name]
        return f"key {referrers[0]!r}" if referrers else None
    if operation.kind == "class":
        referrers = [
            n for n, r in cfg.routes.items() if r.request_class == operation.name
        ]
        return f"route {referrers[0]!r}" if referrers else None
    return None


def _check_new_references(cfg: Config, operation: Operation) -> None:
    entity = cfg.entities[operation.kind].get(operation.name)
    reduced = Config(entities={**cfg.entities, "key": {}, "route": {}})
    if isinstance(entity, Key | Route):
        reduced.entities[operation.kind] = {operation.name: entity}
    _check_references(reduced)


def check_operations(cfg: Config, operations: Iterable[Operation]) -> None:
    """Check a change against a configuration before it is committed.

    Parameters
    ----------
    cfg : Config
        Configuration that the change would be applied to; it is not modified.
    operations : iterable of Operation
        Operations of the change.

    Raises
    ------
    ConfigError
        The change can't be applied; the message names the reason.
    """
    candidate = Config(
        revision=cfg.revision,
        entities={kind: dict(table) for kind, table in cfg.entities.items()},
        key_by_digest=dict(cfg.key_by_digest),
    )
    for operation in operations:
        _check_operation(candidate, operation)


def _check_operation(candidate: Config, operation: Operation) -> None:
    label = f"{operation.kind} {operation.name!r}"
    if operation.action == "delete":
        if operation.name not in candidate.entities[operation.kind]:
            raise ConfigError(f"{label} does not exist")
        candidate.apply(operation)
        referrer = _describe_referrer(candidate, operation)
        if referrer is not None:
            raise ConfigError(f"{label} is still used by {referrer}")
        return
    try:
        candidate.apply(operation)
    except ValueError as exc:
        raise ConfigError(f"{label}: {describe_validation(exc)}") from exc
    _check_new_references(candidate, operation)


def describe_validation(exc: ValueError) -> str:
    """Format a validation error as one line.

    Parameters
    ----------
    exc : ValueError
        Usually a ``pydantic.ValidationError``.

    Returns
    -------
    str
        Each invalid parameter with the reason and the value given.
    """
    errors = getattr(exc, "errors", None)
    if errors is None:
        return str(exc)
    parts = []
    for error in errors():
        name = ".".join(str(step) for step in error["loc"])
        parts.append(f"{name}: {error['msg']}, got {error['input']!r}")
    return "; ".join(parts)


class SeedFile(BaseModel):
    """Operators' configuration in a YAML file, to initialise the store or to check."""

    model_config = ConfigDict(extra="forbid")
    customers: dict[str, Customer] = {}
    keys: dict[str, Key] = {}
    classes: dict[str, RequestClass] = {}
    routes: dict[str, Route] = {}
    backends: dict[str, Backend] = {}

    def make_operations(self) -> list[Operation]:
        """Convert the file into operations, in an order that satisfies references.

        Returns
        -------
        list of Operation
            One ``put`` for each entity.
        """
        tables: Mapping[str, Mapping[str, _Entity]] = {
            "customer": self.customers,
            "class": self.classes,
            "key": self.keys,
            "route": self.routes,
            "backend": self.backends,
        }
        return [
            Operation(
                action="put",
                kind=kind,
                name=name,
                value=entity.model_dump(mode="json", exclude_defaults=True),
            )
            for kind, table in tables.items()
            for name, entity in table.items()
        ]
