"""Decoding of the operator's configuration and of server registrations."""

from __future__ import annotations

import logging
import re
import reprlib
from typing import Annotated, Any

import orjson
from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)
from returns.result import Failure, Result, Success

from ..routing import (
    DEFAULT_PRIORITY,
    CustomerSpec,
    EngineSpec,
    IngressLimits,
    Registration,
    RequestType,
    RouteRule,
    RoutingConfig,
    ScalingSpec,
    ServiceShare,
    ServiceSpec,
)
from ._bounds import MAX_DURATION, MAX_NUMBER, MAX_SLOTS, MAX_TEXT, parse_address
from ._names import SERVERS_PREFIX

log = logging.getLogger(__name__)

MAX_ERROR_CHARACTERS = 300
_REQUEST_TYPES = {
    "idempotent": RequestType.IDEMPOTENT,
    "non_idempotent": RequestType.ONCE,
    "streaming": RequestType.STREAM,
}
# Names are sent in headers, which allow no control characters and no outer whitespace.
_NAME = re.compile(r"[^\s\x00-\x1f\x7f]+( +[^\s\x00-\x1f\x7f]+)*")
_SERVER_ID = re.compile(r"[!-.0-~]+")  # visible ASCII characters without the slash
_MAX_MS = MAX_DURATION * 1000


def _require_number(value: Any) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("must be a number")
    return value


def _check_name(text: str) -> str:
    if text and not _NAME.fullmatch(text):
        raise ValueError("must have no control characters and no outer whitespace")
    return text


def _check_address(text: str) -> str:
    if parse_address(text) is None:
        raise ValueError("must be the IPv4 address of a machine and a port")
    return text


# Entries of servers may come from another writer, the configuration may not.
_Name = Annotated[str, Field(max_length=MAX_TEXT), AfterValidator(_check_name)]
_Address = Annotated[str, AfterValidator(_check_address)]
_Whole = Annotated[int, BeforeValidator(_require_number)]
_Number = Annotated[float, BeforeValidator(_require_number)]
_Count = Annotated[int, Field(ge=0, le=MAX_NUMBER)]
_Amount = Annotated[float, Field(ge=0, le=MAX_NUMBER)]


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)


class _Share(_WireModel):
    Service: str
    Weight: _Count = 1


class _Route(_WireModel):
    Name: str
    Host: str
    Prefix: str
    Type: str = Field(pattern="^(idempotent|non_idempotent|streaming)$")
    TimeoutMs: _Amount = Field(gt=0)
    TtftGoalMs: _Amount = 0.0
    MaxAttempts: _Count = Field(1, ge=1)
    Priority: int = Field(DEFAULT_PRIORITY, ge=-MAX_NUMBER, le=MAX_NUMBER)
    Service: str | None = None
    Split: list[_Share] | None = None
    Public: bool = False
    Resumable: bool = False
    ItlGoalMs: _Amount = 0.0


class _Engine(_WireModel):
    Slots: _Count = Field(ge=1)
    KvCapacity: _Count = Field(ge=1)
    Stride: _Count = Field(1, ge=1)
    KvTokenBytes: _Amount = 0.0
    LinkMbps: _Amount = 0.0


class _Scaling(_WireModel):
    Min: _Count = 0
    Max: _Count
    BootS: _Amount = 0.0
    SpotPrice: _Amount = 0.0
    ZonePrices: dict[str, float] = {}


class _Service(_WireModel):
    Name: str
    MaxConns: _Count = Field(64, ge=1)
    ColdStartS: _Amount = 0.0
    ColdPerS: _Amount = 0.0
    Backend: _Engine | None = None
    Scaling: _Scaling | None = None
    HealthPath: str = "/healthz"


class _Limits(_WireModel):
    MaxHeaderBytes: _Count = Field(16_384, ge=256)
    MaxBodyBytes: _Count = 4_194_304
    HeaderTimeoutMs: _Amount = Field(3_000, gt=0)
    IdleTimeoutMs: _Amount = Field(15_000, gt=0)


class _Tenant(_WireModel):
    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = Field(None, ge=-MAX_NUMBER, le=MAX_NUMBER)


class _Config(_WireModel):
    Version: int = Field(ge=-MAX_NUMBER, le=MAX_NUMBER)
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = _Limits()
    Tenants: list[_Tenant] | None = None


class _Server(_WireModel):
    Service: _Name = Field(min_length=1)
    Address: _Address
    Zone: _Name = Field(min_length=1)
    Version: _Name = ""  # of the server's software, not of the model's weights
    Slots: _Whole = Field(1, ge=1, le=MAX_SLOTS)
    State: str = Field(pattern="^(ready|draining)$")
    Spot: bool = Field(False, strict=True)
    leaves_ms: _Number | None = Field(None, ge=-_MAX_MS, le=_MAX_MS)
    ColdLeftMs: _Number = Field(0.0, ge=0, le=_MAX_MS)
    born: _Whole = Field(0, ge=0, le=MAX_NUMBER)


def _parse_model(data: bytes, model: type[BaseModel]) -> Result[Any, str]:
    try:
        return Success(model.model_validate(orjson.loads(data)))
    except orjson.JSONDecodeError as exc:
        return Failure(f"invalid JSON: {exc}"[:MAX_ERROR_CHARACTERS])
    except ValidationError as exc:
        first_error = exc.errors()[0]
        field = ".".join(str(step) for step in first_error["loc"]) or "(document)"
        # Unlike repr(), reprlib.repr() stops at a depth and a length.
        message = f"{field}: {first_error['msg']}, got "
        message += reprlib.repr(first_error["input"])
        return Failure(message[:MAX_ERROR_CHARACTERS])


def decode_routing_config(data: bytes) -> Result[RoutingConfig, str]:
    """Decode one version of the operator's configuration.

    Parameters
    ----------
    data : bytes
        Configuration as JSON.

    Returns
    -------
    Result of RoutingConfig or str
        Configuration, or a message that names the first invalid field and its value.
    """
    return _parse_model(data, _Config).map(_make_routing_config)


def _make_routing_config(cfg: _Config) -> RoutingConfig:
    limits = cfg.Limits
    return RoutingConfig(
        version=cfg.Version,
        routes=tuple(_make_route_rule(route) for route in cfg.Routes),
        services={svc.Name: _make_service_spec(svc) for svc in cfg.Services},
        limits=IngressLimits(
            max_header_bytes=limits.MaxHeaderBytes,
            max_body_bytes=limits.MaxBodyBytes,
            header_timeout=limits.HeaderTimeoutMs / 1000,
            idle_timeout=limits.IdleTimeoutMs / 1000,
        ),
        customers={
            key: CustomerSpec(tenant.Name, tenant.Priority)
            for tenant in cfg.Tenants or ()
            for key in tenant.ApiKeys
        },
        requires_keys=cfg.Tenants is not None,
    )


def _make_route_rule(route: _Route) -> RouteRule:
    if route.Split:
        shares = tuple(ServiceShare(it.Service, it.Weight) for it in route.Split)
    else:
        shares = (ServiceShare(route.Service or ""),)
    return RouteRule(
        name=route.Name,
        host=route.Host,
        prefix=route.Prefix,
        request_type=_REQUEST_TYPES[route.Type],
        shares=shares,
        timeout=route.TimeoutMs / 1000,
        target=route.TtftGoalMs / 1000,
        max_attempts=route.MaxAttempts,
        priority=route.Priority,
        public=route.Public,
        resumable=route.Resumable and route.Type == "streaming",
        max_pause=route.ItlGoalMs / 1000,
    )


def _make_service_spec(svc: _Service) -> ServiceSpec:
    engine = scaling = None
    if svc.Backend is not None:
        engine = EngineSpec(
            n_slots=svc.Backend.Slots,
            n_cache_tokens=svc.Backend.KvCapacity,
            n_tokens_per_event=svc.Backend.Stride,
            transfer_time_per_token=_compute_transfer_time(svc.Backend),
        )
    if svc.Scaling is not None:
        scaling = ScalingSpec(
            min_per_zone=svc.Scaling.Min,
            max_per_zone=svc.Scaling.Max,
            boot_time=svc.Scaling.BootS,
            spot_price=svc.Scaling.SpotPrice,
            zone_prices=dict(svc.Scaling.ZonePrices),
        )
    return ServiceSpec(
        name=svc.Name,
        max_conns=svc.MaxConns,
        engine=engine,
        scaling=scaling,
        health_path=svc.HealthPath,
        cold_start_time=svc.ColdStartS,
        cold_rate=svc.ColdPerS,
    )


def _compute_transfer_time(engine: _Engine) -> float:
    if not engine.LinkMbps:
        return 0.0
    return engine.KvTokenBytes * 8 / (engine.LinkMbps * 1e6)


def decode_registration(
    key: str, data: bytes, revision: int
) -> Result[Registration, str]:
    """Decode a backend server's registration.

    Parameters
    ----------
    key : str
        Key of the registration in the store.
    data : bytes
        Registration as JSON. Other writers can change the entry, so any bytes are
        accepted as input.
    revision : int
        Revision of the entry in the store.

    Returns
    -------
    Result of Registration or str
        Registration, or a message that names the first invalid field and its value.
    """
    server_id = key.removeprefix(SERVERS_PREFIX)
    if not _SERVER_ID.fullmatch(server_id):
        return Failure(f"{key!r} is no key of a server"[:MAX_ERROR_CHARACTERS])

    def make_registration(server: _Server) -> Registration:
        host, _, port = server.Address.rpartition(":")
        leaves_ms = server.leaves_ms
        return Registration(
            server_id=server_id,
            service=server.Service,
            address=server.Address,
            host=host,
            port=int(port),
            zone=server.Zone,
            n_slots=server.Slots,
            draining=server.State == "draining",
            leaves_in=leaves_ms / 1000 if leaves_ms is not None else None,
            spot=server.Spot,
            cold_for=server.ColdLeftMs / 1000,
            revision=revision,
            born=server.born,
            software_version=server.Version,
        )

    return _parse_model(data, _Server).map(make_registration)
