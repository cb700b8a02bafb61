"""Decoding of the operator's configuration and of server registrations."""

from __future__ import annotations

import logging
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
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
from ._names import SERVERS_PREFIX

log = logging.getLogger(__name__)

MAX_ERROR_CHARACTERS = 300
_REQUEST_TYPES = {
    "idempotent": RequestType.IDEMPOTENT,
    "non_idempotent": RequestType.ONCE,
    "streaming": RequestType.STREAM,
}


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Share(_WireModel):
    Service: str
    Weight: int = Field(1, ge=0)


class _Route(_WireModel):
    Name: str
    Host: str
    Prefix: str
    Type: str = Field(pattern="^(idempotent|non_idempotent|streaming)$")
    TimeoutMs: float = Field(gt=0)
    TtftGoalMs: float = Field(0.0, ge=0)
    MaxAttempts: int = Field(1, ge=1)
    Priority: int = DEFAULT_PRIORITY
    Service: str | None = None
    Split: list[_Share] | None = None
    Public: bool = False
    Resumable: bool = False
    ItlGoalMs: float = Field(0.0, ge=0)


class _Engine(_WireModel):
    Slots: int = Field(ge=1)
    KvCapacity: int = Field(ge=1)
    Stride: int = Field(1, ge=1)
    KvTokenBytes: float = Field(0.0, ge=0)
    LinkMbps: float = Field(0.0, ge=0)


class _Scaling(_WireModel):
    Min: int = Field(0, ge=0)
    Max: int = Field(ge=0)
    BootS: float = Field(0.0, ge=0)
    SpotPrice: float = Field(0.0, ge=0)
    ZonePrices: dict[str, float] = {}


class _Service(_WireModel):
    Name: str
    MaxConns: int = Field(64, ge=1)
    ColdStartS: float = Field(0.0, ge=0)
    ColdPerS: float = Field(0.0, ge=0)
    Backend: _Engine | None = None
    Scaling: _Scaling | None = None
    HealthPath: str = "/healthz"


class _Limits(_WireModel):
    MaxHeaderBytes: int = Field(16_384, ge=256)
    MaxBodyBytes: int = Field(4_194_304, ge=0)
    HeaderTimeoutMs: float = Field(3_000, gt=0)
    IdleTimeoutMs: float = Field(15_000, gt=0)


class _Tenant(_WireModel):
    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None


class _Config(_WireModel):
    Version: int
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = _Limits()
    Tenants: list[_Tenant] | None = None


class _Server(_WireModel):
    Service: str
    Address: str = Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")
    Zone: str
    Version: str = ""  # of the server's software, not of the model's weights
    Slots: int = Field(1, ge=1)
    State: str = Field(pattern="^(ready|draining)$")
    Spot: bool = False
    leaves_ms: float | None = None
    ColdLeftMs: float = Field(0.0, ge=0)
    born: int = 0


def _parse_model(data: bytes, model: type[BaseModel]) -> Result[Any, str]:
    try:
        return Success(model.model_validate(orjson.loads(data)))
    except orjson.JSONDecodeError as exc:
        return Failure(f"invalid JSON: {exc}"[:MAX_ERROR_CHARACTERS])
    except ValidationError as exc:
        first_error = exc.errors()[0]
        field = ".".join(str(step) for step in first_error["loc"]) or "(document)"
        message = f"{field}: {first_error['msg']}, got {first_error['input']!r}"
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
