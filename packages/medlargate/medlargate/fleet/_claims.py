"""At most one run for each Idempotency-Key, across nodes and resends."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from pydantic import BaseModel
from returns.result import Failure, Result, Success

from ..charts import load_chart
from ..platform import Compare, Delete, Entry, Put, Store, StoreError
from ..policy import Verdict

PREFIX = "medlargate/claims/"
BATCH_INTERVAL = 0.005  # seconds
MAX_BATCH = 64
MAX_KEPT_BYTES = 65_536
CLAIM_LIFETIME = 172_800  # seconds
LEASE_REFRESH = 86_400.0  # seconds


class KeptAnswer(BaseModel):
    """An answer kept for replays."""

    status: int
    headers: dict[str, str] = {}
    body: str = ""


class Claim(BaseModel):
    """A claim as recorded in the store."""

    token: str
    node: str
    body_digest: str
    state: str = load_chart("claim").initial
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class Claimed:
    """The call may be run by the node that claimed it.

    Attributes
    ----------
    key : str
        The claim's key in the store.
    claim : Claim
        What was written.
    mod_revision : int
        Its revision.
    """

    key: str
    claim: Claim
    mod_revision: int


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Somebody else claimed the call before.

    Attributes
    ----------
    claim : Claim
        What the store holds.
    """

    claim: Claim

    @property
    def verdict(self) -> Verdict:
        """What the chart says of the earlier call."""
        return Verdict(load_chart("claim").attributes[self.claim.state]["verdict"])


@dataclass(slots=True)
class _Pending:
    key: str
    claim: Claim
    fut: asyncio.Future


def make_claim_key(customer: str, route: str, idempotency_key: str) -> str:
    """Name the key of a claim.

    Parameters
    ----------
    customer, route, idempotency_key : str
        Whose call of which route.

    Returns
    -------
    str
        Key with a hash of all three.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (customer, route, idempotency_key):
        raw = part.encode()
        digest.update(len(raw).to_bytes(8, "big") + raw)
    return PREFIX + digest.hexdigest()


def make_stored_response(
    status: int, headers: dict[str, str], body: bytes
) -> KeptAnswer:
    """Make the record of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers.
    body : bytes
        Body; left out above ``MAX_KEPT_BYTES``.

    Returns
    -------
    KeptAnswer
        For the store.
    """
    if len(body) > MAX_KEPT_BYTES:
        return KeptAnswer(status=status)
    return KeptAnswer(
        status=status, headers=headers, body=base64.b64encode(body).decode()
    )


@dataclass
class ClaimRegistry:
    """Claims of one node, written in groups.

    Parameters
    ----------
    store : Store
        The key-value service.
    node : str
        The node with its incarnation.
    clock : callable
        Returns seconds.
    batch_interval : float
        Seconds that a claim may wait for others.

    Notes
    -----
    A claim is created only where no key exists, in one transaction for a group.
    When the group's transaction fails, the keys that exist are answered from what
    was read and the rest goes into the next group. A lost answer is read back by
    the claim's token.
    """

    store: Store
    node: str
    clock: Callable[[], float]
    batch_interval: float = BATCH_INTERVAL
    _pending: list[_Pending] = field(default_factory=list)
    _flusher: asyncio.Task | None = None
    _lease: int = 0
    _leased_at: float = float("-inf")

    async def claim(
        self, key: str, body_digest: str
    ) -> Result[Claimed | AlreadyClaimed, StoreError]:
        """Claim a call before it is sent.

        Parameters
        ----------
        key : str
            From ``make_claim_key``.
        body_digest : str
            Hash of the call's content.

        Returns
        -------
        Result of Claimed or Taken, or StoreError
            After an error the call must not be sent.
        """
        token = secrets.token_hex(8)
        claim = Claim(token=token, node=self.node, body_digest=body_digest)
        fut = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(key, claim, fut))
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.create_task(self._flush())
        return await fut

    async def _flush(self) -> None:
        while self._pending:
            await asyncio.sleep(self.batch_interval)
            batch, self._pending = self._take_batch()
            try:
                await self._write_batch(batch)
            except Exception as exc:
                for item in batch:
                    if not item.fut.done():
                        item.fut.set_exception(exc)

    def _take_batch(self) -> tuple[list[_Pending], list[_Pending]]:
        """Take pending claims with different keys."""
        batch: dict[str, _Pending] = {}
        rest = []
        for item in self._pending:
            if item.key in batch or len(batch) >= MAX_BATCH:
                rest.append(item)
            else:
                batch[item.key] = item
        return list(batch.values()), rest

    async def _write_batch(self, batch: list[_Pending]) -> None:
        lease = await self._find_lease()
        if isinstance(lease, Failure):
            _settle(batch, lease)
            return
        compares = [Compare(item.key, 0) for item in batch]
        puts = [
            Put(item.key, item.claim.model_dump_json().encode(), lease.unwrap())
            for item in batch
        ]
        keys = [item.key for item in batch]
        answer = await self.store.write(compares, puts, reads=keys)
        if isinstance(answer, Success) and answer.unwrap().succeeded:
            revision = answer.unwrap().revision
            for item in batch:
                _settle([item], Success(Claimed(item.key, item.claim, revision)))
            return
        if isinstance(answer, Failure):
            if answer.failure().verdict is Verdict.NOT_RUN:
                _settle(batch, answer)
                return
            await self._read_back(batch)
            return
        found = {entry.key: entry for entry in answer.unwrap().entries}
        self._settle_found(batch, found)

    def _settle_found(self, batch: list[_Pending], found: dict[str, Entry]) -> None:
        """Answer the claims whose keys exist; the rest goes into the next group."""
        for item in batch:
            entry = found.get(item.key)
            if entry is None:
                self._pending.append(item)
                continue
            claim = Claim.model_validate_json(entry.value)
            if claim.token == item.claim.token:
                done = Claimed(item.key, claim, entry.mod_revision)
                _settle([item], Success(done))
            else:
                _settle([item], Success(AlreadyClaimed(claim)))

    async def _read_back(self, batch: list[_Pending]) -> None:
        found: dict[str, Entry] = {}
        for item in batch:
            answer = await self.store.read(item.key)
            if isinstance(answer, Failure):
                # The claim may stand; the call was not sent and will not be.
                error = StoreError(Verdict.NOT_RUN, answer.failure().message)
                _settle(batch, Failure(error))
                return
            for entry in answer.unwrap().entries:
                found[item.key] = entry
        self._settle_found(batch, found)

    async def _find_lease(self) -> Result[int, StoreError]:
        if self.clock() - self._leased_at < LEASE_REFRESH:
            return Success(self._lease)
        granted = await self.store.grant(CLAIM_LIFETIME)
        if isinstance(granted, Success):
            self._lease = granted.unwrap()
            self._leased_at = self.clock()
        return granted

    async def store_response(
        self, claimed: Claimed, answer: KeptAnswer
    ) -> Result[bool, StoreError]:
        """Record a call's answer for replays.

        Parameters
        ----------
        claimed : Claimed
            The claim.
        answer : KeptAnswer
            From ``make_kept_answer``.

        Returns
        -------
        Result of bool or StoreError
            Whether it was recorded.
        """
        state = load_chart("claim").decide(claimed.claim.state, "answer")
        update = {"state": state, "answer": answer}
        value = claimed.claim.model_copy(update=update).model_dump_json().encode()
        compare = Compare(claimed.key, claimed.mod_revision)
        put = Put(claimed.key, value, self._lease)
        written = await self.store.write([compare], [put])
        return written.map(lambda got: got.succeeded)

    async def release(self, claimed: Claimed) -> Result[bool, StoreError]:
        """Withdraw a claim whose call was certainly not sent.

        Parameters
        ----------
        claimed : Claimed
            The claim.

        Returns
        -------
        Result of bool or StoreError
            Whether it was withdrawn.
        """
        compare = Compare(claimed.key, claimed.mod_revision)
        written = await self.store.write([compare], [Delete(claimed.key)])
        return written.map(lambda got: got.succeeded)


def _settle(batch: list[_Pending], result: Result) -> None:
    for item in batch:
        if not item.fut.done():
            item.fut.set_result(result)
