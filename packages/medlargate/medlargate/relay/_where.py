"""Answers where a request would go now, for operators, without sending it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast
from urllib.parse import parse_qs

from ..fleet import ClusterState
from ..platform import decode_request, make_question_headers
from ..policy import Refusal, predict_first_token, predict_pause
from ..routing import choose_service
from ..transport import IncomingRequest, Responder
from ._accept import DEFAULT_TIME_LEFT
from ._crash_guard import CrashGuard
from ._exchange import Exchange
from ._reach import ReachMonitor
from ._request_queue import Candidate, PlacementOutlook, RequestQueue

REQUEST_ID = "where"  # identity of the request that is not sent
NO_EXCHANGE = 0  # no request has this number
MAX_AHEAD = 10  # waiting requests that are listed
MAX_BYTES = 4_194_304


class QuestionError(Exception):
    """A question names something that does not exist, or is invalid.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    code : str
        Kind of the error.
    message : str
        Description with the refused value.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


class PlacementGuide:
    """Answers where a request would go now and why.

    Parameters
    ----------
    cluster_state : ClusterState
        Source of the configuration in force.
    queue : RequestQueue
        Places requests.
    crash_guard : CrashGuard
        Prompt parts that are blocked.
    reach : ReachMonitor
        Services of which this node reaches no server.
    clock : callable
        Returns the node's monotonic time in seconds.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        queue: RequestQueue,
        crash_guard: CrashGuard,
        reach: ReachMonitor,
        clock: Callable[[], float],
    ) -> None:
        self._cluster_state = cluster_state
        self._queue = queue
        self._crash_guard = crash_guard
        self._reach = reach
        self._clock = clock

    def answer(self, target: str) -> dict[str, Any]:
        """Answer a question.

        Parameters
        ----------
        target : str
            Request target with the query ``route``, ``customer``, ``tokens``,
            ``prefix``, ``session`` and ``bytes``.

        Returns
        -------
        dict
            Decision with its reason, and the candidates.

        Raises
        ------
        QuestionError
            If the route or the customer is unknown or a value is invalid.
        """
        rows = parse_qs(target.partition("?")[2])
        query = {name: values[0] for name, values in rows.items()}
        exch = self._make_exchange(query)
        outlook = self._queue.explain(exch)
        spillover = self._queue.spillover
        service = exch.service.name
        plan = spillover.get_plan(service)
        return {
            "route": exch.rule.name,
            "customer": exch.customer.name if exch.customer else None,
            "service": service,
            "priority": exch.priority,
            "config_version": exch.config_version,
            "spill": {
                "applies": spillover.applies_to(service),
                "destination": spillover.choose_destination(exch),
                "share": round(plan.total_share, 3),
                "reason": plan.reason,
            },
            **self._describe_decision(exch, outlook),
            "candidates": [
                self._describe(exch, it, outlook) for it in outlook.candidates
            ]
            + self._list_leaving(exch),
        }

    def _make_exchange(self, query: dict[str, str]) -> Exchange:
        table = self._cluster_state.route_table
        if table is None:
            raise QuestionError(
                503, "no_configuration", "the node has no configuration"
            )
        config = table.routing_config
        name = query.get("route", "")
        rule = next((it for it in config.routes if it.name == name), None)
        if rule is None:
            names = ", ".join(sorted(it.name for it in config.routes))
            message = f"unknown route {name!r}; known routes: {names}"
            raise QuestionError(404, "unknown_route", message)
        customer = query.get("customer", "")
        found = next(
            ((key, it) for key, it in config.customers.items() if it.name == customer),
            None,
        )
        if found is None and (customer or (config.requires_keys and not rule.public)):
            message = f"unknown customer {customer!r}"
            raise QuestionError(404, "unknown_customer", message)
        try:
            headers = make_question_headers(
                REQUEST_ID,
                tokens=query.get("tokens", ""),
                prefix=query.get("prefix", ""),
                session=query.get("session", ""),
            )
            n_bytes = int(query.get("bytes", "0"))
        except ValueError as exc:
            raise QuestionError(400, "invalid", str(exc)) from exc
        if not 0 <= n_bytes <= MAX_BYTES:
            message = f"bytes must be between 0 and {MAX_BYTES}, not {n_bytes}"
            raise QuestionError(400, "invalid", message)
        service = config.services.get(choose_service(rule, REQUEST_ID))
        if service is None:
            message = f"the service of route {name} does not exist"
            raise QuestionError(404, "no_service", message)
        now = self._clock()
        return Exchange(
            req=IncomingRequest("POST", rule.prefix, headers, bytes(n_bytes), now),
            responder=cast(Responder, None),
            facts=decode_request(headers),
            rule=rule,
            service=service,
            customer=found[1] if found else None,
            config_version=config.version,
            arrived_at=now,
            deadline=now + min(DEFAULT_TIME_LEFT, rule.timeout),
            write_record=_write_nothing,
            exchange_id=NO_EXCHANGE,
        )

    def _describe_decision(
        self, exch: Exchange, outlook: PlacementOutlook
    ) -> dict[str, Any]:
        parts = self._crash_guard.parts
        if parts.find_blocked(exch.part_ids, now=self._clock()):
            reason = "a prompt part has crashed several servers"
            return {"decision": "refused", "reason": reason}
        if self._reach.is_unreachable(exch.service.name):
            reason = "this node reaches no server and lets another node serve it"
            return {"decision": "forwarded", "reason": reason}
        assignment = outlook.assignment
        if assignment is not None:
            return {
                "decision": "sent",
                "server": assignment.placement.name,
                "reason": "lowest cost of the candidates",
                "first_event": round(assignment.placement.predicted, 3),
                "cost": round(assignment.placement.cost, 3),
                "fetch_from": assignment.fetch_from,
            }
        refusal = outlook.refusal
        if refusal is not None:
            return {"decision": "refused", **_describe_refusal(refusal)}
        if not outlook.candidates:
            return {"decision": "waits", "reason": "no usable server", "wait": None}
        return {
            "decision": "waits",
            "reason": "the best server has no capacity",
            "wait": round(outlook.predicted_answer, 3),
            "n_ahead": len(outlook.ahead),
            "ahead": [
                {
                    "customer": it.customer.name if it.customer else None,
                    "route": it.rule.name,
                    "priority": it.priority,
                    "waited": round(self._clock() - it.arrived_at, 3),
                }
                for it in outlook.ahead[:MAX_AHEAD]
            ],
        }

    def _describe(
        self, exch: Exchange, row: Candidate, outlook: PlacementOutlook
    ) -> dict[str, Any]:
        state = row.state
        engine = exch.service.engine
        pause = None
        if engine is not None and exch.rule.streams:
            pause = predict_pause(
                state, outlook.times, n_tokens_per_event=engine.n_tokens_per_event
            )
        return {
            "server": state.name,
            "domain": state.domain,
            "n_running": state.n_running,
            "n_slots": state.n_slots,
            "slowness": round(state.slowness * state.machine_slowness, 2),
            "backlog": round(state.backlog, 3),
            "n_cached": max(0, exch.n_tokens - state.n_uncached),
            "first_event": round(predict_first_token(state, outlook.times), 3),
            "pause": round(pause, 3) if pause is not None else None,
            "excluded": row.excluded,
        }

    def _list_leaving(self, exch: Exchange) -> list[dict[str, Any]]:
        """Return the servers of the service that get no request at all."""
        usable = {
            it.server_id
            for it in self._queue.list_usable_servers(exch.service.name)
            if exch.can_run_at(it)
        }
        return [
            {"server": it.server_id, "domain": it.zone, "excluded": "is leaving"}
            for it in self._cluster_state.servers.values()
            if it.service == exch.service.name and it.server_id not in usable
        ]


def _describe_refusal(refusal: Refusal) -> dict[str, Any]:
    return {
        "reason": refusal.message,
        "status": refusal.status,
        "code": refusal.code,
        "retry_after": refusal.retry_after,
    }


def _write_nothing(kind: str, **facts: Any) -> None:
    del kind, facts
