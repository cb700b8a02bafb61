"""Routing data model, and lookup of the route, customer and service of a request."""

from ._model import (
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
from ._table import RouteTable, choose_service, make_route_table

__all__ = [
    "DEFAULT_PRIORITY",
    "CustomerSpec",
    "EngineSpec",
    "IngressLimits",
    "Registration",
    "RequestType",
    "RouteRule",
    "RouteTable",
    "RoutingConfig",
    "ScalingSpec",
    "ServiceShare",
    "ServiceSpec",
    "choose_service",
    "make_route_table",
]
