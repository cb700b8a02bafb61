"""From a caller's request to a route, a customer and a deadline, or a refusal."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..fleet import ClusterState
from ..platform import decode_request
from ..policy import Refusal
from ..routing import CustomerSpec, RouteRule, RouteTable, choose_service
from ..transport import IncomingRequest, Responder
from ._exchange import Exchange, Record

# A refusal of a route or key that the store may know already needs word fresher than
# this part of the time that a version has to come into force; polls keep it so.
FRESH_FRACTION = 0.65
UNSURE_RETRY_AFTER = 0.5  # seconds; about two reads of the store
STARTING_RETRY_AFTER = 1.0  # seconds
DEFAULT_TIME_LEFT = 30.0  # seconds, for callers that name no deadline


class Acceptor:
    """Decides what a request is, from the configuration in force.

    Parameters
    ----------
    beliefs : Beliefs
        The configuration.
    refresh : callable
        Reads the configuration anew; returns whether the store answered.
    clock : callable
        Returns seconds.
    record_line : callable
        Writes a line on a decision.
    config_bound : float
        Seconds within which a version has to be in force.
    """

    def __init__(
        self,
        beliefs: ClusterState,
        refresh: Callable[[], Awaitable[bool]],
        clock: Callable[[], float],
        record_line: Record,
        config_bound: float,
    ) -> None:
        self._max_age = FRESH_FRACTION * config_bound
        self._beliefs = beliefs
        self._refresh = refresh
        self._clock = clock
        self._record_line = record_line

    async def accept(self, req: IncomingRequest, responder: Responder) -> Exchange:
        """Find a request's route, customer and deadline.

        Parameters
        ----------
        req : IncomingRequest
            The request.
        responder : Responder
            The way back.

        Returns
        -------
        Exchange
            Ready to wait for a server.

        Raises
        ------
        Refusal
            No configuration, no such route, unknown key, no id, no service.
        """
        arrived_at = self._clock()
        facts = decode_request(req.headers)
        table = self._beliefs.route_table
        if table is None:
            raise Refusal(
                503,
                "no_configuration",
                "this node knows no configuration yet",
                retry_after=STARTING_RETRY_AFTER,
            )
        if not facts.request_id:
            raise Refusal(400, "no_request_id", "the request has no id")
        rule, customer = self._look_up(table, req, facts.key)
        if rule is None or (customer is None and self._needs_key(table, rule)):
            table = await self._make_sure(table)
            rule, customer = self._look_up(table, req, facts.key)
        version = table.declaration.version
        if rule is None:
            message = f"no route in version {version} matches"
            raise Refusal(404, "no_route", message)
        if customer is None and self._needs_key(table, rule):
            message = f"the key is not in force in version {version}"
            raise Refusal(401, "unknown_key", message)
        service = table.declaration.services.get(choose_service(rule, facts.request_id))
        if service is None:
            raise Refusal(
                503,
                "no_service",
                f"route {rule.name} names no known service",
                retry_after=UNSURE_RETRY_AFTER,
            )
        time_left = facts.time_left if facts.time_left else DEFAULT_TIME_LEFT
        return Exchange(
            req=req,
            responder=responder,
            facts=facts,
            rule=rule,
            service=service,
            customer=customer,
            config_version=version,
            arrived_at=arrived_at,
            deadline=arrived_at + min(time_left, rule.timeout),
            record_line=self._record_line,
            last_event_id=facts.last_event_id,
        )

    def _needs_key(self, table: RouteTable, rule: RouteRule) -> bool:
        return table.declaration.checks_keys and not rule.public

    def _look_up(
        self, table: RouteTable, req: IncomingRequest, key: str
    ) -> tuple[RouteRule | None, CustomerSpec | None]:
        rule = table.find_route(req.get("host") or "", req.path)
        return rule, table.find_customer(key)

    async def _make_sure(self, table: RouteTable) -> RouteTable:
        """Return a table fresh enough to refuse by."""
        if self._clock() - self._beliefs.config_confirmed_at > self._max_age:
            await self._refresh()
        age = self._clock() - self._beliefs.config_confirmed_at
        if age > self._max_age:
            raise Refusal(
                503,
                "unsure",
                f"route or key unknown, and the configuration is {age:.1f} s old",
                retry_after=UNSURE_RETRY_AFTER,
            )
        return self._beliefs.route_table or table
