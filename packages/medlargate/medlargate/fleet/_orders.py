"""Orders to the platform: recorded as intents before they are sent.

A node that takes over the duty closes the intents that its predecessor left open.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from pydantic import BaseModel
from returns.result import Failure, Result, Success

from ..charts import load_chart
from ..platform import Compare, Order, PlatformCallError, PlatformResponse, Put, Store
from ..policy import Verdict
from ._leases import DutyLease

log = logging.getLogger(__name__)

PREFIX = "medlargate/orders/"
CONFLICT = 409

SendOrder = Callable[
    [Order, Callable[[], bool]], Awaitable[Result[PlatformResponse, PlatformCallError]]
]
ReadOrders = Callable[[str], Awaitable[Result[list[Order], PlatformCallError]]]


class Intent(BaseModel):
    """Record of an order in the key-value store, written before the order is sent."""

    order: Order
    state: str = load_chart("order").initial
    at: float = 0.0


@dataclass
class OrderDispatcher:
    """Sends orders for one failure domain while its duty is held.

    Parameters
    ----------
    store : Store
        The key-value service.
    lease : DutyLease
        Lease of the duty ``orders/<failure domain>``.
    domain : str
        Name of the failure domain.
    send : callable
        Sends an order; calls the given guard right before the write and sends
        nothing if the guard returns False.
    read_completed : callable
        Reads the orders that the platform has carried out in a failure domain.
    clock : callable
        Returns the time in seconds.
    """

    store: Store
    lease: DutyLease
    domain: str
    send: SendOrder
    read_completed: ReadOrders
    clock: Callable[[], float]
    _n_orders: int = 0
    _attempt_ended_at: dict[str, float] = field(default_factory=dict)

    def _make_key(self, order_id: str) -> str:
        return f"{PREFIX}{self.domain}/{order_id}"

    async def place(self, action: str, subject: str) -> Result[str, PlatformCallError]:
        """Record and send one order.

        Parameters
        ----------
        action : str
            ``"start"``, ``"stop"``, ``"load_model"`` or ``"change_role"``.
        subject : str
            Name of the backend server, or kind of server to start.

        Returns
        -------
        Result of str or PlatformCallError
            Id of the order. An error ``MAY_HAVE_RUN`` leaves the intent open.
        """
        if not self.lease.is_holder():
            return Failure(
                PlatformCallError(Verdict.NOT_RUN, "this node does not hold the duty")
            )
        self._n_orders += 1
        fence = self.lease.fence
        order = Order(
            order_id=f"{self.domain}-{fence}-{self._n_orders}",
            failure_domain=self.domain,
            action=action,
            subject=subject,
            fence=fence,
            issuer=self.lease.owner,
        )
        intent = Intent(order=order, at=self.clock())
        self._attempt_ended_at[order.order_id] = float("inf")
        try:
            return await self._record_and_send(intent)
        finally:
            self._attempt_ended_at[order.order_id] = self.clock()

    async def _record_and_send(self, intent: Intent) -> Result[str, PlatformCallError]:
        compare = Compare(self._make_key(intent.order.order_id), 0)
        recorded = await self._write(intent, [compare])
        if isinstance(recorded, Failure):
            return recorded
        return await self._send(intent)

    async def _write(
        self, intent: Intent, compares: list[Compare]
    ) -> Result[bool, PlatformCallError]:
        """Write an intent, on condition that this node's lease key is unchanged."""
        guard = Compare(self.lease.key, self.lease.fence)
        put = Put(
            self._make_key(intent.order.order_id), intent.model_dump_json().encode()
        )
        answer = await self.store.write([guard, *compares], [put])
        if isinstance(answer, Failure):
            return answer
        if not answer.unwrap().succeeded:
            return Failure(
                PlatformCallError(Verdict.NOT_RUN, "this node no longer holds the duty")
            )
        return Success(True)

    async def _send(self, intent: Intent) -> Result[str, PlatformCallError]:
        sent = await self.send(intent.order, self.lease.is_holder)
        if isinstance(sent, Failure):
            return sent
        if sent.unwrap().status == CONFLICT:
            return Failure(
                PlatformCallError(Verdict.NOT_RUN, "the fencing token is outdated")
            )
        await self._close(intent, "confirm")
        return Success(intent.order.order_id)

    async def _close(self, intent: Intent, event: str) -> None:
        state = load_chart("order").get_next_state(intent.state, event)
        await self._write(intent.model_copy(update={"state": state}), [])

    async def recover(self) -> Result[int, PlatformCallError]:
        """Confirm or cancel the intents that are still open.

        Returns
        -------
        Result of int or PlatformCallError
            Number of intents closed.

        Notes
        -----
        This node holds the duty, so the wait after the takeover is over and every
        order of a predecessor has arrived or never will. An order that the platform
        has not carried out by then is cancelled and never sent again; the scaling
        decision behind it is made anew.
        """
        if not self.lease.is_holder():
            return Success(0)
        answer = await self.store.read(f"{PREFIX}{self.domain}/", prefix=True)
        if isinstance(answer, Failure):
            return answer
        intents = [Intent.model_validate_json(e.value) for e in answer.unwrap().entries]
        chart = load_chart("order")
        open_intents = [
            intent
            for intent in intents
            if chart.attributes[intent.state]["open"] and self._is_settled(intent)
        ]
        if not open_intents:
            return Success(0)
        completed = await self.read_completed(self.domain)
        if isinstance(completed, Failure):
            return completed
        carried_out = {order.order_id for order in completed.unwrap()}
        for intent in open_intents:
            is_carried_out = intent.order.order_id in carried_out
            await self._close(intent, "confirm" if is_carried_out else "cancel")
            self._attempt_ended_at.pop(intent.order.order_id, None)
        return Success(len(open_intents))

    def _is_settled(self, intent: Intent) -> bool:
        """Return whether an intent's order can no longer be in flight.

        For an order that this node sent itself, the time is counted from the end of
        the attempt and not from the record, because the process may have been paused
        between the two.
        """
        if intent.order.fence != self.lease.fence:
            return True
        ended_at = self._attempt_ended_at.get(intent.order.order_id, float("inf"))
        return self.clock() - ended_at > 2 * self.lease.order_timeout
