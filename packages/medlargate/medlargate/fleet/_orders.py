"""Orders to the platform: recorded before they leave, finished by a successor."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from pydantic import BaseModel
from returns.result import Failure, Result, Success

from ..charts import load_chart
from ..platform import Compare, Order, PlatformAnswer, Put, Store, StoreError
from ..policy import Verdict
from ._leases import DutyLease

log = logging.getLogger(__name__)

PREFIX = "medlargate/orders/"
CONFLICT = 409

SendOrder = Callable[
    [Order, Callable[[], bool]], Awaitable[Result[PlatformAnswer, StoreError]]
]
ReadOrders = Callable[[str], Awaitable[Result[list[Order], StoreError]]]


class Intent(BaseModel):
    """An order as recorded in the store."""

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
        The duty ``orders/<failure domain>``.
    domain : str
        Failure domain.
    send : callable
        Sends an order under a guard.
    read_done : callable
        Reads the orders that the platform has carried out.
    clock : callable
        Returns seconds.
    """

    store: Store
    lease: DutyLease
    domain: str
    send: SendOrder
    read_completed: ReadOrders
    clock: Callable[[], float]
    _n_orders: int = 0
    _ended_at: dict[str, float] = field(default_factory=dict)

    def _key(self, order_id: str) -> str:
        return f"{PREFIX}{self.domain}/{order_id}"

    async def place(self, action: str, subject: str) -> Result[str, StoreError]:
        """Record and send one order.

        Parameters
        ----------
        action : str
            ``"start"``, ``"stop"``, ``"load_model"`` or ``"change_role"``.
        subject : str
            Backend server or kind of server.

        Returns
        -------
        Result of str or StoreError
            The order's id. An error ``MAY_HAVE_RUN`` leaves the intent open.
        """
        if not self.lease.is_holder():
            return Failure(StoreError(Verdict.NOT_RUN, "the duty is not held"))
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
        self._ended_at[order.order_id] = float("inf")
        try:
            return await self._record_and_send(intent)
        finally:
            self._ended_at[order.order_id] = self.clock()

    async def _record_and_send(self, intent: Intent) -> Result[str, StoreError]:
        compare = Compare(self._key(intent.order.order_id), 0)
        recorded = await self._write(intent, [compare])
        if isinstance(recorded, Failure):
            return recorded
        return await self._send(intent)

    async def _write(
        self, intent: Intent, compares: list[Compare]
    ) -> Result[bool, StoreError]:
        """Write an intent while this node's lease key stands unchanged."""
        guard = Compare(self.lease.key, self.lease.fence)
        put = Put(self._key(intent.order.order_id), intent.model_dump_json().encode())
        answer = await self.store.write([guard, *compares], [put])
        if isinstance(answer, Failure):
            return answer
        if not answer.unwrap().succeeded:
            return Failure(StoreError(Verdict.NOT_RUN, "the duty was lost"))
        return Success(True)

    async def _send(self, intent: Intent) -> Result[str, StoreError]:
        sent = await self.send(intent.order, self.lease.is_holder)
        if isinstance(sent, Failure):
            return sent
        if sent.unwrap().status == CONFLICT:
            return Failure(StoreError(Verdict.NOT_RUN, "the fencing number is old"))
        await self._close(intent, "confirm")
        return Success(intent.order.order_id)

    async def _close(self, intent: Intent, event: str) -> None:
        state = load_chart("order").decide(intent.state, event)
        await self._write(intent.model_copy(update={"state": state}), [])

    async def recover(self) -> Result[int, StoreError]:
        """Finish or cancel what was recorded but not confirmed.

        Returns
        -------
        Result of int or StoreError
            Number of intents closed.

        Notes
        -----
        The lease's wait is over, so what a predecessor wrote has arrived or never
        will: an intent that the platform has not carried out is cancelled, never
        sent again, and the scaling decision is taken anew.
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
        done = await self.read_completed(self.domain)
        if isinstance(done, Failure):
            return done
        carried_out = {order.order_id for order in done.unwrap()}
        for intent in open_intents:
            is_done = intent.order.order_id in carried_out
            await self._close(intent, "confirm" if is_done else "cancel")
            self._ended_at.pop(intent.order.order_id, None)
        return Success(len(open_intents))

    def _is_settled(self, intent: Intent) -> bool:
        """Tell whether an intent's order can't be on its way any more.

        An order of this node's own counts from the end of its attempt, not from its
        record: a pause may lie between the two.
        """
        if intent.order.fence != self.lease.fence:
            return True
        ended_at = self._ended_at.get(intent.order.order_id, float("inf"))
        return self.clock() - ended_at > 2 * self.lease.order_timeout
