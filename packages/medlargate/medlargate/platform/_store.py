"""Client of the platform's key-value store: ranges, transactions, leases, watches."""

from __future__ import annotations

import base64
import functools
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, ParamSpec, Protocol, TypeVar

from returns.result import Failure, Result, Success

from .._tasks import call_logged
from ..policy import Verdict
from ._calls import CallClient, PlatformCallError, Reply
from ._eras import (
    REVISION_MASK,
    get_era,
    get_store_revision,
    make_revision,
    parse_era,
)
from ._names import STORE_ERA

log = logging.getLogger(__name__)

# Statuses with which the store rejects a call without executing it.
NOT_EXECUTED_STATUSES = frozenset({400, 403, 413, 429, 503})
MAX_WATCH_WAIT = 30.0  # seconds; the store does not hold a watch longer


@dataclass(frozen=True, slots=True)
class Entry:
    """Key-value pair read from the store.

    Attributes
    ----------
    key : str
        Key of the entry.
    value : bytes
        Value of the entry, at most one megabyte.
    mod_revision : int
        Revision of the entry's last change.
    create_revision : int
        Revision of the entry's creation.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction on the revision of a key.

    Attributes
    ----------
    key : str
        Key to compare.
    mod_revision : int
        Expected revision of the key's last change; 0 if the key must not exist.
    """

    key: str
    mod_revision: int = 0


@dataclass(frozen=True, slots=True)
class Put:
    """Write operation of a transaction.

    Attributes
    ----------
    key : str
        Key to write.
    value : bytes
        New value of the key.
    lease : int
        ID of the lease whose end deletes the key; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete operation of a transaction.

    Attributes
    ----------
    key : str
        Key to delete.
    """

    key: str


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Response of the store to a read or a transaction.

    Attributes
    ----------
    succeeded : bool
        Whether all conditions held and the operations were applied; True for a read.
    revision : int
        Revision of the store that the response reflects.
    entries : tuple of Entry
        Entries that were read.
    """

    succeeded: bool
    revision: int
    entries: tuple[Entry, ...] = ()


StoreResult = Result[StoreResponse, PlatformCallError]


@dataclass(frozen=True, slots=True)
class Change:
    """Change of one key, reported by a watch.

    Attributes
    ----------
    key : str
        Key that changed.
    revision : int
        Revision of the change.
    entry : Entry or None
        Entry after the change; None if the key was deleted.
    """

    key: str
    revision: int
    entry: Entry | None


@dataclass(frozen=True, slots=True)
class Changes:
    """Result of one poll of a watch.

    Attributes
    ----------
    revision : int
        Revision after which the next poll has to start. If ``compacted``, it is the
        revision that the poll asked for, and the keys have to be read first.
    changes : tuple of Change
        Changes in the order of their revisions.
    compacted : bool
        Whether the store has compacted the history that the poll asked for, so that
        changes may be missing until all keys are read again.
    """

    revision: int
    changes: tuple[Change, ...] = ()
    compacted: bool = False


class Store(Protocol):
    """Interface of the key-value store."""

    async def read(
        self, key: str, *, prefix: bool = False, start: str = "", limit: int = 0
    ) -> StoreResult:
        """Read one key, or all keys with a prefix, starting at ``start``."""

    async def write(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Put | Delete],
        *,
        reads: Sequence[str] = (),
    ) -> StoreResult:
        """Apply operations if all conditions hold, else read the keys ``reads``."""

    async def grant(self, ttl: float) -> Result[int, PlatformCallError]:
        """Create a lease of ``ttl`` seconds and return its ID."""

    async def renew(self, lease: int) -> Result[float, PlatformCallError]:
        """Renew a lease; return its time to live in seconds, or 0 if it has ended."""

    async def revoke(self, lease: int) -> Result[int, PlatformCallError]:
        """Revoke a lease and return its ID."""

    async def poll(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, PlatformCallError]:
        """Wait for changes, after a revision, of the keys with a prefix."""


def _make_start_marker(start: str) -> str:
    """Return a string that sorts before ``start`` and after smaller keys.

    The store's range pages exclude the key at which they begin, so that the page
    after the returned string includes ``start``. The string sorts after every key that
    is smaller than ``start`` and not longer. A longer key can sort between the two, so
    the function is only for keys of a fixed length.
    """
    return f"{start[:-1]}{chr(ord(start[-1]) - 1)}~"


P = ParamSpec("P")
T = TypeVar("T")


def _decodes_reply(
    call: Callable[P, Awaitable[Result[T, PlatformCallError]]],
) -> Callable[P, Awaitable[Result[T, PlatformCallError]]]:
    """Return a call that fails if the fields of the store's reply are not valid."""

    @functools.wraps(call)
    async def checked_call(
        *args: P.args, **kwargs: P.kwargs
    ) -> Result[T, PlatformCallError]:
        try:
            return await call(*args, **kwargs)
        except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError):
            log.exception("reply of the store not decodable")
        message = f"the reply to {call.__name__} is not decodable"
        return Failure(PlatformCallError(Verdict.MAY_HAVE_RUN, message))

    return checked_call


def _decode_data(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item.get("Data") or "")
    except (TypeError, ValueError) as exc:
        # An empty value is valid for no reader, and the other entries hold.
        log.warning(
            "data of an entry not decodable",
            extra={"key": item["Key"], "fault": str(exc)},
        )
        return b""


def _decode_entry(item: dict[str, Any], era: int) -> Entry:
    if not isinstance(item["Key"], str):
        raise TypeError("the key of an entry is no text")
    return Entry(
        key=item["Key"],
        value=_decode_data(item),
        mod_revision=make_revision(era, int(item["Revision"])),
        # ``CreatedAt`` is a revision, not a time.
        create_revision=make_revision(era, int(item.get("CreatedAt") or 0)),
    )


def _decode_change(item: dict[str, Any], era: int) -> Change:
    entry = None if item.get("Deleted") else _decode_entry(item, era)
    return Change(item["Key"], make_revision(era, int(item["Revision"])), entry)


def _encode_put(put: Put) -> dict[str, Any]:
    data = base64.b64encode(put.value).decode()
    return {"Key": put.key, "Data": data, "LeaseId": put.lease}


class HttpStore:
    """Client of the platform's key-value store over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the store.
    timeout : float, default=2.0
        Timeout of a call in seconds.

    Attributes
    ----------
    calls : CallClient
        HTTP client of the store.
    n_calls : dict of str to int
        Number of calls by the first segment of the path.
    era : int
        Highest era that the store has stated; 0 before the first answer. It rises when
        the store is restored from a copy and loses what was written since.
    restore_listeners : list of callable
        Called after each answer that shows that the store was restored.
    """

    def __init__(self, url: str, *, timeout: float = 2.0) -> None:
        self.calls = CallClient(url, timeout=timeout)
        self.n_calls: dict[str, int] = {}
        self.era = 0
        self.restore_listeners: list[Callable[[], None]] = []
        self._lease_eras: dict[int, int] = {}
        self._n_restores = 0

    @property
    def was_restored(self) -> bool:
        """Whether an answer has shown a restore of the store."""
        return self._n_restores > 0

    async def close(self) -> None:
        """Close the connections to the store."""
        await self.calls.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        accepted: tuple[int, ...] = (200,),
        extra_time: float = 0.0,
    ) -> Result[Reply, PlatformCallError]:
        endpoint = path.split("/")[1]
        self.n_calls[endpoint] = self.n_calls.get(endpoint, 0) + 1
        result = await self.calls.call(
            method, path, query=query, body=body, extra_time=extra_time
        )
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if not self._observe_era(reply):
            message = f"store answered {endpoint} before it was restored"
            return Failure(PlatformCallError(Verdict.MAY_HAVE_RUN, message))
        if reply.status in accepted:
            return self._check_body(reply, endpoint)
        refused = reply.status in NOT_EXECUTED_STATUSES
        verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
        message = f"store answered {reply.status} to {endpoint}"
        return Failure(PlatformCallError(verdict, message))

    def _observe_era(self, reply: Reply) -> bool:
        """Update the era; return False for an answer from an earlier one."""
        text = reply.get(STORE_ERA)
        era = parse_era(text)
        if era is None:
            if text is not None:
                log.warning("era of the store not valid", extra={"era": text[:40]})
            return True
        if era > self.era:
            before, self.era = self.era, era
            if before:
                self._n_restores += 1
                log.warning("store restored from a copy", extra={"era": era})
                for listener in self.restore_listeners:
                    call_logged(listener)
        return era == self.era

    def _check_body(
        self, reply: Reply, endpoint: str
    ) -> Result[Reply, PlatformCallError]:
        try:
            readable = isinstance(reply.body, dict)
            reason = "not a JSON object"
        except ValueError as exc:
            readable, reason = False, str(exc)
        if readable:
            return Success(reply)
        message = f"store answered {endpoint} with an invalid body: {reason}"
        return Failure(PlatformCallError(Verdict.MAY_HAVE_RUN, message))

    @_decodes_reply
    async def read(
        self, key: str, *, prefix: bool = False, start: str = "", limit: int = 0
    ) -> StoreResult:
        """Read one key, or all keys with a prefix, starting at ``start``.

        Parameters
        ----------
        key : str
            Key or prefix.
        prefix : bool, default=False
            Whether to read all keys that begin with ``key``.
        start : str, default=""
            First key of the range if ``prefix`` is set; empty for the first key with
            the prefix.
        limit : int, default=0
            Maximum number of entries to return; 0 for all.

        Returns
        -------
        Result of StoreResponse or PlatformCallError
            Entries in the order of their keys. The revision is that of the first page,
            so that a watch that starts there misses no change.
        """
        if not prefix:
            return await self._read_key(key)
        entries: list[Entry] = []
        revision = 0
        after = _make_start_marker(start) if start else ""
        while True:
            query = {"Prefix": key, **({"After": after} if after else {})}
            result = await self._call("GET", "/kv-range", query=query)
            if isinstance(result, Failure):
                return result
            body = result.unwrap().body
            page = [_decode_entry(item, self.era) for item in body.get("Entries", [])]
            entries.extend(page)
            revision = revision or make_revision(self.era, int(body["At"]))
            if get_era(revision) != self.era:
                message = "store restored between two pages"
                return Failure(PlatformCallError(Verdict.NOT_RUN, message))
            if not body.get("HasMore") or not page or 0 < limit <= len(entries):
                break
            after = page[-1].key
        found = tuple(entries[:limit] if limit else entries)
        return Success(StoreResponse(True, revision, found))

    async def _read_key(self, key: str) -> StoreResult:
        result = await self._call(
            "GET", "/kv-key", query={"Key": key}, accepted=(200, 404)
        )
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        era = self.era
        entries = (_decode_entry(reply.body, era),) if reply.status == 200 else ()
        revision = make_revision(era, int(reply.body.get("At") or 0))
        return Success(StoreResponse(True, revision, entries))

    @_decodes_reply
    async def write(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Put | Delete],
        *,
        reads: Sequence[str] = (),
    ) -> StoreResult:
        """Apply operations if all conditions hold, else read keys.

        Parameters
        ----------
        compares : sequence of Compare
            Conditions of the transaction.
        operations : sequence of Put or Delete
            Operations to apply if all conditions hold.
        reads : sequence of str
            Keys to read if a condition does not hold. Only keys of ``compares`` can
            be read.

        Returns
        -------
        Result of StoreResponse or PlatformCallError
            ``succeeded`` is True if the operations were applied.
        """
        if any(self._is_lease_lost(it.lease) for it in operations if _is_leased(it)):
            message = "the lease was lost when the store was restored"
            return Failure(PlatformCallError(Verdict.NOT_RUN, message))
        era = self.era
        body = {
            "ExpectedRev": [
                {"Key": it.key, "Revision": self._get_expected_revision(it)}
                for it in compares
            ],
            "PutOp": [_encode_put(it) for it in operations if isinstance(it, Put)],
            "Delete": [it.key for it in operations if isinstance(it, Delete)],
        }
        accepted = (200, 404, 412)
        result = await self._call("POST", "/kv-txn", body=body, accepted=accepted)
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.status == 404:
            return Failure(
                PlatformCallError(Verdict.NOT_RUN, "the lease does not exist")
            )
        if (
            reply.status == 200
            and era != self.era
            and any(it.mod_revision for it in compares)
        ):
            # The condition may have held for a revision that was given out again.
            message = "the store was restored before the transaction"
            return Failure(PlatformCallError(Verdict.MAY_HAVE_RUN, message))
        era = self.era
        if reply.status == 200:
            revision = make_revision(era, int(reply.body["Revision"]))
            return Success(StoreResponse(True, revision))
        items = [it for it in reply.body.get("Entries", []) if it.get("Revision")]
        found = tuple(
            _decode_entry(item, era) for item in items if item["Key"] in reads
        )
        revision = make_revision(era, int(reply.body.get("At") or 0))
        return Success(StoreResponse(False, revision, found))

    def _get_expected_revision(self, compare: Compare) -> int:
        """Return a condition's revision as the store counts it.

        A condition on a revision of an earlier era must not hold, although the store
        may have given out the same number again.
        """
        if compare.mod_revision and get_era(compare.mod_revision) != self.era:
            return REVISION_MASK
        return get_store_revision(compare.mod_revision)

    def _is_lease_lost(self, lease: int) -> bool:
        return self._lease_eras.get(lease, self.era) != self.era

    @_decodes_reply
    async def grant(self, ttl: float) -> Result[int, PlatformCallError]:
        """Create a lease.

        Parameters
        ----------
        ttl : float
            Time to live in seconds.

        Returns
        -------
        Result of int or PlatformCallError
            ID of the lease.
        """
        body = {"TtlMs": int(ttl * 1000)}
        result = await self._call("POST", "/kv-lease", body=body)
        if isinstance(result, Failure):
            return result
        lease = int(result.unwrap().body["LeaseId"])
        self._lease_eras[lease] = self.era
        return Success(lease)

    @_decodes_reply
    async def renew(self, lease: int) -> Result[float, PlatformCallError]:
        """Renew a lease.

        Parameters
        ----------
        lease : int
            ID of the lease.

        Returns
        -------
        Result of float or PlatformCallError
            Time to live in seconds; 0 if the lease has ended or the store has been
            restored since it was granted.
        """
        if self._is_lease_lost(lease):
            return Success(0.0)
        result = await self._call("POST", f"/kv-keep/{lease}", accepted=(200, 404))
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.status != 200 or self._is_lease_lost(lease):
            return Success(0.0)
        return Success(reply.body["TtlMs"] / 1000)

    async def revoke(self, lease: int) -> Result[int, PlatformCallError]:
        """Revoke a lease. A lease that has already ended is not an error.

        Parameters
        ----------
        lease : int
            ID of the lease.

        Returns
        -------
        Result of int or PlatformCallError
            ID of the lease.
        """
        if self._is_lease_lost(lease):
            # The number may belong to another node's lease by now.
            del self._lease_eras[lease]
            return Success(lease)
        self._lease_eras.pop(lease, None)
        path = f"/kv-lease-end/{lease}"
        result = await self._call("DELETE", path, accepted=(200, 404))
        return result.map(lambda _: lease)

    @_decodes_reply
    async def poll(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, PlatformCallError]:
        """Wait for changes, after a revision, of the keys with a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys to watch.
        after : int
            Revision after which changes are reported.
        wait : float
            Maximum time to wait for a change, in seconds. The store is asked to wait
            at most ``MAX_WATCH_WAIT``.

        Returns
        -------
        Result of Changes or PlatformCallError
            Changes of the keys; empty if none occurred in the time waited.
        """
        era = self.era
        if era and get_era(after) != era:
            return Success(Changes(after, compacted=True))
        query = {
            "Prefix": prefix,
            "After": str(get_store_revision(after)),
            "WaitMs": str(int(min(wait, MAX_WATCH_WAIT) * 1000)),
        }
        result = await self._call(
            "GET", "/kv-watch", query=query, accepted=(200, 410), extra_time=wait
        )
        if isinstance(result, Failure):
            return result
        if self.era != era:
            return Success(Changes(after, compacted=True))
        return Success(_decode_changes(result.unwrap(), after, era))


def _is_leased(operation: Put | Delete) -> bool:
    return isinstance(operation, Put) and operation.lease != 0


def _decode_changes(reply: Reply, after: int, era: int) -> Changes:
    if reply.status == 410:
        return Changes(after, compacted=True)
    events = reply.body.get("events") or ()
    return Changes(
        max(after, make_revision(era, int(reply.body.get("At") or 0))),
        tuple(_decode_change(item, era) for item in events),
    )
