"""Routing data model, and lookup of the route, customer and service of a request."""

from ._model import (
    DEFAULT_PRIORITY,
    CustomerSpec,
    Declaration,
    EngineSpec,
    IngressLimits,
    Registration,
    Repeat,
    RouteRule,
    ScalingSpec,
    ServiceShare,
    ServiceSpec,
)
from ._table import RouteTable, choose_service, make_route_table

__all__ = [
    "DEFAULT_PRIORITY",
    "CustomerSpec",
    "Declaration",
    "EngineSpec",
    "IngressLimits",
    "Registration",
    "Repeat",
    "RouteRule",
    "RouteTable",
    "ScalingSpec",
    "ServiceShare",
    "ServiceSpec",
    "choose_service",
    "make_route_table",
]
