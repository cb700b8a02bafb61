"""At most one execution per Idempotency-Key, across nodes and retries.

A node claims a call in the key-value store before it sends the call to a backend
server; a call whose key is claimed already is not sent again.
"""

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
from ..platform import Compare, Delete, Entry, PlatformCallError, Put, Store
from ..policy import Verdict

PREFIX = "medlargate/claims/"
BATCH_INTERVAL = 0.005  # seconds that a claim waits for others
MAX_BATCH = 64  # claims per transaction
MAX_STORED_BODY = 65_536  # bytes
CLAIM_LIFETIME = 172_800  # seconds until the store deletes a claim
LEASE_REFRESH = 86_400.0  # seconds for which claims share one store lease


class StoredResponse(BaseModel):
    """Response to a claimed call, stored to be replayed to retries of the call."""

    status: int
    headers: dict[str, str] = {}
    body: str = ""


class Claim(BaseModel):
    """Record of a claim in the key-value store."""

    token: str
    node: str
    body_digest: str
    state: str = load_chart("claim").initial
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class Claimed:
    """Result of a successful claim: this node may execute the call.

    Attributes
    ----------
    key : str
        Key of the claim in the store.
    claim : Claim
        Record of the claim as it was written.
    mod_revision : int
        Revision of the store at which the record was written.
    """

    key: str
    claim: Claim
    mod_revision: int


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Result of a failed claim: the call was claimed before.

    Attributes
    ----------
    claim : Claim
        Record of the earlier claim in the store.
    """

    claim: Claim

    @property
    def verdict(self) -> Verdict:
        """Whether the earlier call ran, according to the state of its claim."""
        return Verdict(load_chart("claim").attributes[self.claim.state]["verdict"])


@dataclass(slots=True)
class _PendingClaim:
    key: str
    claim: Claim
    future: asyncio.Future


def make_claim_key(customer: str, route: str, idempotency_key: str) -> str:
    """Return the store key of a claim.

    Parameters
    ----------
    customer, route, idempotency_key : str
        Name of the customer, name of the route and the call's Idempotency-Key.

    Returns
    -------
    str
        Key with a hash of all three values.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (customer, route, idempotency_key):
        raw = part.encode()
        digest.update(len(raw).to_bytes(8, "big") + raw)
    return PREFIX + digest.hexdigest()


def make_stored_response(
    status: int, headers: dict[str, str], body: bytes
) -> StoredResponse:
    """Make the stored record of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Response headers.
    body : bytes
        Response body. If it is longer than ``MAX_STORED_BODY`` bytes, only the
        status is stored.

    Returns
    -------
    StoredResponse
        Record to pass to ``ClaimRegistry.store_response``.
    """
    if len(body) > MAX_STORED_BODY:
        return StoredResponse(status=status)
    return StoredResponse(
        status=status, headers=headers, body=base64.b64encode(body).decode()
    )


@dataclass
class ClaimRegistry:
    """Claims calls for one node and writes the claims to the store in batches.

    Parameters
    ----------
    store : Store
        The key-value service.
    node : str
        Name of the node with its incarnation.
    clock : callable
        Returns the time in seconds.
    batch_interval : float
        Seconds that a claim may wait for others to join its batch.

    Notes
    -----
    One transaction creates all claims of a batch, on condition that none of their
    keys exists. If some exist, their claims are resolved from the records that the
    transaction read, and the other claims move to the next batch. If the response to
    a transaction is lost, the keys are read back; a record with the claim's own
    token means that the write took effect.
    """

    store: Store
    node: str
    clock: Callable[[], float]
    batch_interval: float = BATCH_INTERVAL
    _pending: list[_PendingClaim] = field(default_factory=list)
    _flush_task: asyncio.Task | None = None
    _lease: int = 0
    _leased_at: float = float("-inf")

    async def claim(
        self, key: str, body_digest: str
    ) -> Result[Claimed | AlreadyClaimed, PlatformCallError]:
        """Claim a call before it is sent.

        Parameters
        ----------
        key : str
            Store key of the claim, from ``make_claim_key``.
        body_digest : str
            Hash of the call's content.

        Returns
        -------
        Result of Claimed or AlreadyClaimed, or PlatformCallError
            After an error the call must not be sent.
        """
        token = secrets.token_hex(8)
        claim = Claim(token=token, node=self.node, body_digest=body_digest)
        future = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingClaim(key, claim, future))
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush())
        return await future

    async def _flush(self) -> None:
        while self._pending:
            await asyncio.sleep(self.batch_interval)
            batch, self._pending = self._take_batch()
            try:
                await self._write_batch(batch)
            except Exception as exc:
                for item in batch:
                    if not item.future.done():
                        item.future.set_exception(exc)

    def _take_batch(self) -> tuple[list[_PendingClaim], list[_PendingClaim]]:
        """Split the pending claims into a batch with distinct keys and the rest."""
        batch: dict[str, _PendingClaim] = {}
        rest = []
        for item in self._pending:
            if item.key in batch or len(batch) >= MAX_BATCH:
                rest.append(item)
            else:
                batch[item.key] = item
        return list(batch.values()), rest

    async def _write_batch(self, batch: list[_PendingClaim]) -> None:
        lease = await self._ensure_lease()
        if isinstance(lease, Failure):
            _resolve(batch, lease)
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
                _resolve([item], Success(Claimed(item.key, item.claim, revision)))
            return
        if isinstance(answer, Failure):
            if answer.failure().verdict is Verdict.NOT_RUN:
                _resolve(batch, answer)
                return
            await self._read_back(batch)
            return
        found = {entry.key: entry for entry in answer.unwrap().entries}
        self._resolve_existing(batch, found)

    def _resolve_existing(
        self, batch: list[_PendingClaim], found: dict[str, Entry]
    ) -> None:
        """Resolve claims whose keys exist; move the others to the next batch."""
        for item in batch:
            entry = found.get(item.key)
            if entry is None:
                self._pending.append(item)
                continue
            claim = Claim.model_validate_json(entry.value)
            if claim.token == item.claim.token:
                claimed = Claimed(item.key, claim, entry.mod_revision)
                _resolve([item], Success(claimed))
            else:
                _resolve([item], Success(AlreadyClaimed(claim)))

    async def _read_back(self, batch: list[_PendingClaim]) -> None:
        found: dict[str, Entry] = {}
        for item in batch:
            answer = await self.store.read(item.key)
            if isinstance(answer, Failure):
                # The claim may have been written, but its call was not sent and
                # will not be.
                error = PlatformCallError(Verdict.NOT_RUN, answer.failure().message)
                _resolve(batch, Failure(error))
                return
            for entry in answer.unwrap().entries:
                found[item.key] = entry
        self._resolve_existing(batch, found)

    async def _ensure_lease(self) -> Result[int, PlatformCallError]:
        if self.clock() - self._leased_at < LEASE_REFRESH:
            return Success(self._lease)
        granted = await self.store.grant(CLAIM_LIFETIME)
        if isinstance(granted, Success):
            self._lease = granted.unwrap()
            self._leased_at = self.clock()
        return granted

    async def store_response(
        self, claimed: Claimed, response: StoredResponse
    ) -> Result[bool, PlatformCallError]:
        """Store the response to a claimed call, to be replayed to retries.

        Parameters
        ----------
        claimed : Claimed
            The claim.
        response : StoredResponse
            Record made by ``make_stored_response``.

        Returns
        -------
        Result of bool or PlatformCallError
            Whether the response was stored.
        """
        state = load_chart("claim").get_next_state(claimed.claim.state, "answer")
        update = {"state": state, "answer": response}
        value = claimed.claim.model_copy(update=update).model_dump_json().encode()
        compare = Compare(claimed.key, claimed.mod_revision)
        put = Put(claimed.key, value, self._lease)
        written = await self.store.write([compare], [put])
        return written.map(lambda result: result.succeeded)

    async def release(self, claimed: Claimed) -> Result[bool, PlatformCallError]:
        """Delete a claim whose call was certainly not sent.

        Parameters
        ----------
        claimed : Claimed
            The claim.

        Returns
        -------
        Result of bool or PlatformCallError
            Whether the claim was deleted.
        """
        compare = Compare(claimed.key, claimed.mod_revision)
        written = await self.store.write([compare], [Delete(claimed.key)])
        return written.map(lambda result: result.succeeded)


def _resolve(batch: list[_PendingClaim], result: Result) -> None:
    for item in batch:
        if not item.future.done():
            item.future.set_result(result)
