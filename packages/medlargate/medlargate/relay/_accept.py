"""Acceptance of requests: route, customer and deadline, or a refusal."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..fleet import ClusterState
from ..platform import decode_request
from ..policy import Refusal, Verdict
from ..routing import CustomerSpec, RouteRule, RouteTable, choose_service
from ..transport import IncomingRequest, Responder
from ._exchange import Exchange, RecordWriter

# The store may already have a newer version with an unknown route or key. A request is
# refused only if the configuration was confirmed within this fraction of the time that
# a version has to come into force; regular polls keep it that fresh.
FRESH_FRACTION = 0.65
STALE_CONFIG_RETRY_AFTER = 0.5  # seconds; about two reads of the store
STARTUP_RETRY_AFTER = 1.0  # seconds
DEFAULT_TIME_LEFT = 30.0  # seconds, for requests without a deadline


class Acceptor:
    """Matches requests to a route and a customer of the configuration in force.

    Parameters
    ----------
    cluster_state : ClusterState
        Source of the configuration in force.
    refresh : callable
        Reads the configuration from the store; returns whether the store answered.
    clock : callable
        Returns the node's monotonic time in seconds.
    write_record : callable
        Writes a decision record.
    config_bound : float
        Time within which a new version must come into force, in seconds.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        refresh: Callable[[], Awaitable[bool]],
        clock: Callable[[], float],
        write_record: RecordWriter,
        config_bound: float,
    ) -> None:
        self._max_age = FRESH_FRACTION * config_bound
        self._cluster_state = cluster_state
        self._refresh = refresh
        self._clock = clock
        self._write_record = write_record

    async def accept(self, req: IncomingRequest, responder: Responder) -> Exchange:
        """Determine the route, customer and deadline of a request.

        Parameters
        ----------
        req : IncomingRequest
            Request as the caller sent it.
        responder : Responder
            Sends the answer to the caller.

        Returns
        -------
        Exchange
            Accepted request, without a server.

        Raises
        ------
        Refusal
            If there is no configuration, the request has no id, no route matches, the
            key is unknown, or the route's service does not exist.
        """
        arrived_at = self._clock()
        facts = decode_request(req.headers)
        table = self._cluster_state.route_table
        if table is None:
            raise Refusal(
                503,
                "no_configuration",
                "this node has not received a configuration yet",
                Verdict.NOT_RUN,
                retry_after=STARTUP_RETRY_AFTER,
            )
        if not facts.request_id:
            raise Refusal(
                400, "no_request_id", "the request has no id", Verdict.NOT_RUN
            )
        rule, customer = self._look_up(table, req, facts.key)
        if rule is None or (customer is None and self._needs_key(table, rule)):
            table = await self._ensure_fresh(table)
            rule, customer = self._look_up(table, req, facts.key)
        version = table.routing_config.version
        if rule is None:
            message = f"no route matches in configuration version {version}"
            raise Refusal(404, "no_route", message, Verdict.NOT_RUN)
        if customer is None and self._needs_key(table, rule):
            message = f"the key is not valid in configuration version {version}"
            raise Refusal(401, "unknown_key", message, Verdict.NOT_RUN)
        service = table.routing_config.services.get(
            # A stream that is taken up goes on at the service that began it.
            choose_service(rule, facts.resumed_id or facts.request_id)
        )
        if service is None:
            raise Refusal(
                503,
                "no_service",
                f"the service of route {rule.name} does not exist",
                Verdict.NOT_RUN,
                retry_after=STALE_CONFIG_RETRY_AFTER,
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
            write_record=self._write_record,
            last_event_id=facts.last_event_id,
        )

    def _needs_key(self, table: RouteTable, rule: RouteRule) -> bool:
        return table.routing_config.requires_keys and not rule.public

    def _look_up(
        self, table: RouteTable, req: IncomingRequest, key: str
    ) -> tuple[RouteRule | None, CustomerSpec | None]:
        rule = table.find_route(req.get("host") or "", req.path)
        return rule, table.find_customer(key)

    async def _ensure_fresh(self, table: RouteTable) -> RouteTable:
        """Return a route table that is fresh enough to base a refusal on."""
        if self._clock() - self._cluster_state.config_confirmed_at > self._max_age:
            await self._refresh()
        age = self._clock() - self._cluster_state.config_confirmed_at
        if age > self._max_age:
            raise Refusal(
                503,
                "unsure",
                f"unknown route or key, and the configuration was confirmed {age:.1f} s"
                " ago",
                Verdict.NOT_RUN,
                retry_after=STALE_CONFIG_RETRY_AFTER,
            )
        return self._cluster_state.route_table or table
