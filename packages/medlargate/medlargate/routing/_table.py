"""Finding the route and the customer of a request."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from ._model import CustomerSpec, Declaration, RouteRule


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one declaration, ordered for look-up.

    Attributes
    ----------
    declaration : Declaration
        What it was made from.
    by_host : dict of str to tuple of RouteRule
        Routes of each host, longest prefix first.
    """

    declaration: Declaration
    routes_by_host: dict[str, tuple[RouteRule, ...]]

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Find the route with the longest prefix that begins a path.

        Parameters
        ----------
        host : str
            The request's host, with or without a port.
        path : str
            The request's path without its query.

        Returns
        -------
        RouteRule or None
            None when no route matches.
        """
        for rule in self.routes_by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(rule.prefix):
                return rule
        return None

    def find_customer(self, key: str) -> CustomerSpec | None:
        """Find the customer who holds a key.

        Parameters
        ----------
        key : str
            As the caller sent it.

        Returns
        -------
        CustomerSpec or None
            None for a key that is not in force.
        """
        return self.declaration.customers.get(key)


def make_route_table(declaration: Declaration) -> RouteTable:
    """Order a declaration's routes for look-up.

    Parameters
    ----------
    declaration : Declaration
        One version of the configuration.

    Returns
    -------
    RouteTable
        The table.
    """
    by_host: dict[str, list[RouteRule]] = {}
    for rule in declaration.routes:
        by_host.setdefault(rule.host.lower(), []).append(rule)
    ordered = {
        host: tuple(sorted(rules, key=lambda rule: -len(rule.prefix)))
        for host, rules in by_host.items()
    }
    return RouteTable(declaration, ordered)


def choose_service(rule: RouteRule, request_id: str) -> str:
    """Choose the service of a request by the route's weights.

    Parameters
    ----------
    rule : RouteRule
        The route.
    request_id : str
        Decides, so that the same request goes the same way on every node.

    Returns
    -------
    str
        Name of the service.
    """
    if len(rule.shares) == 1:
        return rule.shares[0].service
    total = sum(share.weight for share in rule.shares)
    point = xxhash.xxh64_intdigest(request_id.encode()) % max(total, 1)
    for share in rule.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return rule.shares[-1].service
