"""One holder for each duty: leases in the store, with fencing numbers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
from returns.result import Failure, Success

from ..charts import Subject, load_chart
from ..platform import Compare, Entry, Put, Store, StoreResult

log = logging.getLogger(__name__)

PREFIX = "medlargate/duty/"
HOLD_FRACTION = 0.6
MAX_SKEW = 0.5  # seconds
FIRST_MARKER = "/held"  # its key lasts, and tells that the duty was held before


def make_duty_key(duty: str) -> str:
    """Name the key of a duty.

    Parameters
    ----------
    duty : str
        For instance ``"orders/fd-a"``.

    Returns
    -------
    str
        Key.
    """
    return PREFIX + duty


@dataclass
class DutyLease:
    """One node's part in a duty that at most one node may carry out.

    Parameters
    ----------
    store : Store
        The key-value service.
    duty : str
        Which duty.
    owner : str
        The node with its incarnation.
    clock : callable
        Returns seconds on a clock that counts suspended time.
    lease_timeout : float, default=6.0
        Seconds until the store gives the duty to another node.
    order_timeout : float, default=2.0
        Seconds within which an order that was written has arrived or never will.
    checks_fence : bool, default=True
        The receivers refuse old fencing numbers; otherwise the wait is longer.

    Notes
    -----
    The holder stops at ``HOLD_FRACTION`` of the lease after it *sent* the last
    successful renewal, on its own clock; the store ends the lease no earlier than
    the whole of it after. What the holder wrote last has arrived, or never will,
    ``order_timeout`` later, which a successor waits out.
    """

    store: Store
    duty: str
    owner: str
    clock: Callable[[], float]
    lease_timeout: float = 6.0
    order_timeout: float = 2.0
    checks_fence: bool = True
    states: Subject = field(default_factory=lambda: Subject(load_chart("lease")))
    fence: int = 0
    _knows_predecessor: bool = False
    _lease: int = 0
    _valid_until: float = float("-inf")
    _wait_until: float = float("inf")

    @property
    def key(self) -> str:
        """The duty's key."""
        return make_duty_key(self.duty)

    def successor_wait(self) -> float:
        """Return how long a new holder waits for its predecessor's last order.

        Returns
        -------
        float
            Seconds.
        """
        # A duty may have been released, not only expired: nothing can be taken off.
        wait = self.order_timeout + MAX_SKEW
        return wait if self.checks_fence else wait + self.order_timeout

    def is_holder(self) -> bool:
        """Tell whether this node holds the duty at this moment.

        Returns
        -------
        bool
            To be asked right before a write, with no ``await`` in between.
        """
        now = self.clock()
        if now >= self._valid_until:
            return False
        if self.states.state == "waiting" and now >= self._wait_until:
            self.states.observe("waited")
        del self.states.history[:-8]
        return bool(self.states.attributes["may_order"])

    async def step(self) -> None:
        """Renew the lease, or try to get it."""
        if self.states.state == "follower":
            await self._acquire()
        else:
            await self._renew()
        self.is_holder()

    async def _renew(self) -> None:
        sent_at = self.clock()
        answer = await self.store.renew(self._lease)
        match answer:
            case Success(ttl) if ttl > 0:
                hold = HOLD_FRACTION * self.lease_timeout
                self._valid_until = max(self._valid_until, sent_at + hold)
            case Success(_):
                self._lose("the store ended the lease")
            case _:
                # Without an answer nothing is known: the holder runs out by itself.
                if self.clock() >= sent_at + self.lease_timeout:
                    self._lose("no answer to renewals")
        if self.clock() >= self._valid_until and self.states.state != "follower":
            self._lose("the lease ran out")

    def _lose(self, reason: str) -> None:
        log.warning("duty lost", extra={"duty": self.duty, "reason": reason})
        self._valid_until = float("-inf")
        self.states.observe("lost")

    @property
    def can_resume(self) -> bool:
        """Whether a lease that ran out here may still stand in the store."""
        return self.states.state == "follower" and self._lease != 0

    async def _resume(self, entry: Entry) -> None:
        """Take a lease up again that nobody else held since, without a wait."""
        sent_at = self.clock()
        renewed = await self.store.renew(self._lease)
        if isinstance(renewed, Failure) or renewed.unwrap() <= 0:
            return
        self._valid_until = sent_at + HOLD_FRACTION * self.lease_timeout
        if self.clock() >= self._valid_until:
            return
        self.states.observe("resumed" if self._has_waited() else "granted")
        log.info(
            "duty resumed", extra={"duty": self.duty, "revision": entry.mod_revision}
        )

    def _has_waited(self) -> bool:
        return self.clock() >= self._wait_until

    async def _acquire(self) -> None:
        held = await self.store.read(self.key)
        if isinstance(held, Failure):
            return
        for entry in held.unwrap().entries:
            if entry.mod_revision == self.fence and self._lease:
                await self._resume(entry)
            return
        sent_at = self.clock()
        granted = await self.store.grant(self.lease_timeout)
        if isinstance(granted, Failure):
            return
        lease = granted.unwrap()
        value = orjson.dumps({"owner": self.owner, "lease": lease})
        put = Put(self.key, value, lease)
        first_ever = await self._take_first(put)
        if first_ever is None:
            answer = await self.store.write([Compare(self.key, 0)], [put])
        else:
            answer = first_ever
        fence = await self._find_fence(answer, value)
        if fence is None:
            await self.store.revoke(lease)
            return
        now = self.clock()
        self.fence = fence
        self._lease = lease
        self._valid_until = sent_at + HOLD_FRACTION * self.lease_timeout
        wait = 0.0 if first_ever is not None else self.successor_wait()
        self._wait_until = now + wait
        self.states.observe("granted")
        log.info("duty taken", extra={"duty": self.duty, "fence": fence})

    async def _take_first(self, put: Put) -> StoreResult | None:
        """Take a duty that nobody ever held, so that there is no order to wait out.

        Returns
        -------
        StoreResult or None
            None when somebody held it, or that is not known.
        """
        if self._knows_predecessor:
            return None
        marker = self.key + FIRST_MARKER
        puts = [put, Put(marker, self.owner.encode())]
        answer = await self.store.write(
            [Compare(self.key, 0), Compare(marker, 0)], puts
        )
        self._knows_predecessor = True
        if isinstance(answer, Success) and answer.unwrap().succeeded:
            return answer
        return None

    async def _find_fence(self, answer, value: bytes) -> int | None:
        """Return the revision of the key that this node wrote, if it did."""
        if isinstance(answer, Success) and answer.unwrap().succeeded:
            return answer.unwrap().revision
        if isinstance(answer, Success):
            return None
        read = await self.store.read(self.key)
        if isinstance(read, Failure):
            return None
        for entry in read.unwrap().entries:
            if entry.value == value:
                return entry.mod_revision
        return None

    async def release(self) -> None:
        """Give the duty up; no order may be under way."""
        if self.states.state == "follower":
            return
        self._valid_until = float("-inf")
        self.states.observe("released")
        lease, self._lease = self._lease, 0
        await self.store.revoke(lease)
