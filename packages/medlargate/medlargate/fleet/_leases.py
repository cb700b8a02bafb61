"""Leader election for each duty: leases in the key-value store with fencing tokens.

A duty is one task or a group of tasks that at most one node carries out at a time, for
instance sending the usage reports. An order is any request that the holder sends to the
platform under the lease, including a usage report. The fencing token is the revision of
the key that the holder wrote.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
from returns.result import Failure, Success

from ..charts import StateMachine, load_chart
from ..platform import Compare, Entry, Put, Store, StoreResult

log = logging.getLogger(__name__)

PREFIX = "medlargate/duty/"
# Fraction of the lease, counted from when its grant or its last successful renewal was
# sent, for which the holder acts.
HOLD_FRACTION = 0.6
# Added to a new holder's wait. Only durations are compared, no times of day, so this
# allows for clocks that run at different rates.
MAX_SKEW = 0.5  # seconds
# Suffix of the key that marks a duty as held at least once. The key is written without
# a lease, so it does not expire with the lease of any holder.
HELD_BEFORE_SUFFIX = "/held"


def make_duty_key(duty: str) -> str:
    """Return the store key of a duty.

    Parameters
    ----------
    duty : str
        Name of the duty, for instance ``"orders/fd-a"``.

    Returns
    -------
    str
        Key in the key-value service.
    """
    return PREFIX + duty


@dataclass
class DutyLease:
    """One node's view of the lease of a duty that at most one node may carry out.

    Parameters
    ----------
    store : Store
        The key-value service.
    duty : str
        Name of the duty.
    owner : str
        Name of this node with its incarnation.
    clock : callable
        Returns the time in seconds on a monotonic clock that also advances while the
        machine is suspended.
    lease_timeout : float, default=6.0
        Duration of the lease in seconds; the store lets another node acquire the
        duty when it was not renewed for so long.
    order_timeout : float, default=2.0
        Seconds after which an order that was sent has either arrived or never will.
    checks_fence : bool, default=True
        Whether the receivers refuse orders with an outdated fencing token. If not,
        a new holder waits longer, by another ``order_timeout``.
    may_be_first : callable
        Returns whether the absence of the duty's marker in the store proves that no
        node has held the duty. This is not the case after a restore of the store from
        an older copy.

    Notes
    -----
    By its own clock the holder stops acting ``HOLD_FRACTION`` of ``lease_timeout``
    after it *sent* the last successful renewal. The store expires the lease no
    earlier than the full ``lease_timeout`` after that moment. The last order of a
    holder arrives within ``order_timeout`` or never. A successor therefore waits for
    ``order_timeout`` plus ``MAX_SKEW`` before it sends orders of its own, or for twice
    ``order_timeout`` plus ``MAX_SKEW`` if the receivers do not check the fencing token.
    The first holder of a duty that no node held before does not wait.
    """

    store: Store
    duty: str
    owner: str
    clock: Callable[[], float]
    lease_timeout: float = 6.0
    order_timeout: float = 2.0
    checks_fence: bool = True
    may_be_first: Callable[[], bool] = lambda: True
    states: StateMachine = field(
        default_factory=lambda: StateMachine(load_chart("lease"))
    )
    fence: int = 0
    _tried_first_acquisition: bool = False
    _lease: int = 0
    _valid_until: float = float("-inf")
    _wait_until: float = float("inf")

    @property
    def key(self) -> str:
        """Store key of the duty."""
        return make_duty_key(self.duty)

    def successor_wait(self) -> float:
        """Return how long a new holder waits before it sends orders.

        Returns
        -------
        float
            Seconds, after which the predecessor's last order has arrived or been
            lost.
        """
        # The time since the predecessor stopped is unknown and can't be subtracted: the
        # duty may have been released just now instead of expired, and release() does
        # not prove that the predecessor's last order has arrived.
        wait = self.order_timeout + MAX_SKEW
        return wait if self.checks_fence else wait + self.order_timeout

    def is_holder(self) -> bool:
        """Return whether this node holds the duty and may send orders now.

        Returns
        -------
        bool
            Valid only at this moment: callers must check it immediately before a
            write, with no ``await`` in between.
        """
        now = self.clock()
        if now >= self._valid_until:
            return False
        if self.states.state == "waiting" and now >= self._wait_until:
            self.states.observe("waited")
        del self.states.history[:-8]
        return bool(self.states.attributes["may_order"])

    async def step(self) -> None:
        """Renew the lease if this node has it; otherwise try to acquire it."""
        if self.states.state == "follower":
            await self._acquire()
        else:
            await self._renew()
        self.is_holder()  # moves from waiting to holder if the wait is over

    async def _renew(self) -> None:
        sent_at = self.clock()
        answer = await self.store.renew(self._lease)
        match answer:
            case Success(ttl) if ttl > 0:
                hold = HOLD_FRACTION * self.lease_timeout
                self._valid_until = max(self._valid_until, sent_at + hold)
            case Success(_):
                self._mark_lost("the lease expired in the store")
            case _:
                # After a failed call the lease may have been renewed or not: this node
                # keeps acting until `_valid_until`.
                if self.clock() >= sent_at + self.lease_timeout:
                    self._mark_lost(
                        "a renewal failed after at least the duration of the lease"
                    )
        if self.clock() >= self._valid_until and self.states.state != "follower":
            self._mark_lost("not renewed within HOLD_FRACTION of the lease")

    def _mark_lost(self, reason: str) -> None:
        log.warning("duty lost", extra={"duty": self.duty, "reason": reason})
        self._valid_until = float("-inf")
        self.states.observe("lost")

    def observe_restore(self) -> None:
        """Stop acting as the holder, since a restored store may not know the lease.

        A successor that acquires the duty at once waits for longer than this node's
        last order can take.
        """
        if self.states.state != "follower":
            self._mark_lost("the store was restored from a copy")

    @property
    def can_resume(self) -> bool:
        """Whether this node lost its last lease without releasing it.

        The store may then still hold the lease, unless it answered that the lease has
        expired.
        """
        return self.states.state == "follower" and self._lease != 0

    async def _resume(self, entry: Entry) -> None:
        """Renew this node's own lease that the store still holds, without a new wait.

        No other node can have held the duty since, so there is no further holder's
        order to wait for. A wait that was still running continues.
        """
        sent_at = self.clock()
        renewed = await self.store.renew(self._lease)
        if isinstance(renewed, Failure) or renewed.unwrap() <= 0:
            return
        self._valid_until = sent_at + HOLD_FRACTION * self.lease_timeout
        if self.clock() >= self._valid_until:
            return
        self.states.observe("resumed" if self._is_wait_over() else "granted")
        log.info(
            "duty resumed", extra={"duty": self.duty, "revision": entry.mod_revision}
        )

    def _is_wait_over(self) -> bool:
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
        first_write = await self._acquire_first(put)
        if first_write is None:
            answer = await self.store.write([Compare(self.key, 0)], [put])
        else:
            answer = first_write
        fence = await self._find_fence(answer, value)
        if fence is None:
            await self.store.revoke(lease)
            return
        now = self.clock()
        self.fence = fence
        self._lease = lease
        self._valid_until = sent_at + HOLD_FRACTION * self.lease_timeout
        wait = 0.0 if first_write is not None else self.successor_wait()
        self._wait_until = now + wait
        self.states.observe("granted")
        log.info("duty taken", extra={"duty": self.duty, "fence": fence})

    async def _acquire_first(self, put: Put) -> StoreResult | None:
        """Try to acquire the duty as its first holder, for which no wait is needed.

        Returns
        -------
        StoreResult or None
            None if the duty's key or its marker exists, if the write failed, or if
            this node has already tried.
        """
        if self._tried_first_acquisition or not self.may_be_first():
            return None
        marker = self.key + HELD_BEFORE_SUFFIX
        puts = [put, Put(marker, self.owner.encode())]
        answer = await self.store.write(
            [Compare(self.key, 0), Compare(marker, 0)], puts
        )
        self._tried_first_acquisition = True
        if isinstance(answer, Success) and answer.unwrap().succeeded:
            return answer
        return None

    async def _find_fence(self, answer, value: bytes) -> int | None:
        """Return the revision at which this node wrote the key; None if it did not."""
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
        """Release the duty; the caller must have no order in flight."""
        if self.states.state == "follower":
            return
        self._valid_until = float("-inf")
        self.states.observe("released")
        lease, self._lease = self._lease, 0
        await self.store.revoke(lease)
