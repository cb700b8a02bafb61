"""Lookup of the route, the customer and the service of a request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash

from ._model import CustomerSpec, RouteRule, RoutingConfig


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Index of a configuration's routes by host.

    Attributes
    ----------
    routing_config : RoutingConfig
        Configuration that the table indexes.
    routes_by_host : dict of str to tuple of RouteRule
        Routes by lower-case host, longest prefix first.
    priorities : mapping of str to tuple of int
        Priorities of the requests that a service may get, the most urgent first.
    """

    routing_config: RoutingConfig
    routes_by_host: dict[str, tuple[RouteRule, ...]]
    priorities: Mapping[str, tuple[int, ...]] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Find the route with the longest prefix that matches a path.

        Parameters
        ----------
        host : str
            Host name or IPv4 address of the request, with or without a port.
        path : str
            Path of the request without the query.

        Returns
        -------
        RouteRule or None
            Matching route; None if no route matches.
        """
        for rule in self.routes_by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(rule.prefix):
                return rule
        return None

    def find_customer(self, key: str) -> CustomerSpec | None:
        """Find the customer to whom a key belongs.

        Parameters
        ----------
        key : str
            Key that the caller sent.

        Returns
        -------
        CustomerSpec or None
            Customer; None if the configuration does not contain the key.
        """
        return self.routing_config.customers.get(key)


def make_route_table(routing_config: RoutingConfig) -> RouteTable:
    """Build the route table of a configuration.

    Parameters
    ----------
    routing_config : RoutingConfig
        One version of the configuration.

    Returns
    -------
    RouteTable
        Routes by host, longest prefix first.
    """
    by_host: dict[str, list[RouteRule]] = {}
    for rule in routing_config.routes:
        by_host.setdefault(rule.host.lower(), []).append(rule)
    sorted_routes = {
        host: tuple(sorted(rules, key=lambda rule: -len(rule.prefix)))
        for host, rules in by_host.items()
    }
    return RouteTable(routing_config, sorted_routes, _list_priorities(routing_config))


def _list_priorities(routing_config: RoutingConfig) -> dict[str, tuple[int, ...]]:
    # Those of customers replace the priorities of all routes.
    by_customer = {
        it.priority
        for it in routing_config.customers.values()
        if it.priority is not None
    }
    found: dict[str, set[int]] = {}
    for rule in routing_config.routes:
        for share in rule.shares:
            found.setdefault(share.service, set(by_customer)).add(rule.priority)
    return {service: tuple(sorted(rows)) for service, rows in found.items()}


def choose_service(rule: RouteRule, request_id: str) -> str:
    """Choose the service of a request in proportion to the route's weights.

    Parameters
    ----------
    rule : RouteRule
        Route of the request.
    request_id : str
        Identity of the request. Its hash selects the service, so that the request
        goes to the same service on every node with the same configuration.

    Returns
    -------
    str
        Name of the service.
    """
    if len(rule.shares) == 1:
        return rule.shares[0].service
    total_weight = sum(share.weight for share in rule.shares)
    remainder = xxhash.xxh64_intdigest(request_id.encode()) % max(total_weight, 1)
    for share in rule.shares:
        remainder -= share.weight
        if remainder < 0:
            return share.service
    return rule.shares[-1].service
