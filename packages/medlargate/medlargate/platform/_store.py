"""Client of the platform's key-value service: ranges, transactions, leases, watches."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from ..policy import Verdict
from ._calls import CallClient, Reply, StoreError

NOT_EXECUTED_STATUSES = frozenset({400, 403, 413, 429, 503})
MAX_WATCH_WAIT = 30.0  # seconds, the store's own bound


@dataclass(frozen=True, slots=True)
class Entry:
    """One key with its value.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        Its value, at most one megabyte.
    mod_revision, create_revision : int
        The store's revisions of its last change and its creation.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction: the key's last change.

    Attributes
    ----------
    key : str
        The key.
    mod_revision : int
        Expected revision of its last change; 0 for a key that does not exist.
    """

    key: str
    mod_revision: int = 0


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a transaction.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        Its new value.
    lease : int
        The lease whose end deletes the key; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """A deletion of a transaction.

    Attributes
    ----------
    key : str
        The key.
    """

    key: str


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """What the store answered.

    Attributes
    ----------
    succeeded : bool
        The conditions held and the writes took effect.
    revision : int
        The store's revision.
    entries : tuple of Entry
        What was read.
    """

    succeeded: bool
    revision: int
    entries: tuple[Entry, ...] = ()


StoreResult = Result[StoreAnswer, StoreError]


@dataclass(frozen=True, slots=True)
class Change:
    """One change that a watch reports.

    Attributes
    ----------
    key : str
        The key.
    revision : int
        The store's revision of the change.
    entry : Entry or None
        The new state; None when the key was deleted.
    """

    key: str
    revision: int
    entry: Entry | None


@dataclass(frozen=True, slots=True)
class Changes:
    """What a watch has seen.

    Attributes
    ----------
    revision : int
        Continue from here.
    changes : tuple of Change
        In the order of their revisions.
    compacted : bool
        The store has dropped the history after the asked revision: read anew.
    """

    revision: int
    changes: tuple[Change, ...] = ()
    compacted: bool = False


class Store(Protocol):
    """What the fleet asks of the key-value service."""

    async def read(
        self, key: str, *, prefix: bool = False, start: str = "", limit: int = 0
    ) -> StoreResult:
        """Read a key, or all keys with a prefix, from ``start`` on."""

    async def write(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Put | Delete],
        *,
        reads: Sequence[str] = (),
    ) -> StoreResult:
        """Apply operations when every condition holds, else read ``reads``."""

    async def grant(self, ttl: float) -> Result[int, StoreError]:
        """Create a lease of ``ttl`` seconds and return its number."""

    async def renew(self, lease: int) -> Result[float, StoreError]:
        """Renew a lease and return its time to live; 0 when it is gone."""

    async def revoke(self, lease: int) -> Result[int, StoreError]:
        """End a lease."""

    async def poll(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, StoreError]:
        """Wait for changes of keys with a prefix after a revision."""


def _make_start_marker(start: str) -> str:
    """Return a text just before a key, as the store's pages begin after a key."""
    return f"{start[:-1]}{chr(ord(start[-1]) - 1)}~"


def _decode_entry(item: dict[str, Any]) -> Entry:
    return Entry(
        key=item["Key"],
        value=base64.b64decode(item.get("Data") or ""),
        mod_revision=int(item["Revision"]),
        # ``CreatedAt`` is the revision of the key's creation, not a time.
        create_revision=int(item.get("CreatedAt") or 0),
    )


def _decode_change(item: dict[str, Any]) -> Change:
    entry = None if item.get("Deleted") else _decode_entry(item)
    return Change(item["Key"], int(item["Revision"]), entry)


def _encode_put(put: Put) -> dict[str, Any]:
    data = base64.b64encode(put.value).decode()
    return {"Key": put.key, "Data": data, "LeaseId": put.lease}


class HttpStore:
    """The users' key-value service over HTTP.

    Parameters
    ----------
    url : str
        Base address.
    timeout : float, default=2.0
        Seconds per call.
    """

    def __init__(self, url: str, *, timeout: float = 2.0) -> None:
        self.calls = CallClient(url, timeout=timeout)
        self.n_calls: dict[str, int] = {}

    async def close(self) -> None:
        """Close the connections."""
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
    ) -> Result[Reply, StoreError]:
        kind = path.split("/")[1]
        self.n_calls[kind] = self.n_calls.get(kind, 0) + 1
        called = await self.calls.call(
            method, path, query=query, body=body, extra_time=extra_time
        )
        if isinstance(called, Failure):
            return called
        reply = called.unwrap()
        if reply.status in accepted:
            return self._check_body(reply, kind)
        refused = reply.status in NOT_EXECUTED_STATUSES
        verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
        message = f"store answered {reply.status} to {kind}"
        return Failure(StoreError(verdict, message))

    def _check_body(self, reply: Reply, kind: str) -> Result[Reply, StoreError]:
        try:
            readable = isinstance(reply.body, dict)
            fault = "not an object"
        except ValueError as exc:
            readable, fault = False, str(exc)
        if readable:
            return Success(reply)
        message = f"store answered {kind} unreadably: {fault}"
        return Failure(StoreError(Verdict.MAY_HAVE_RUN, message))

    async def read(
        self, key: str, *, prefix: bool = False, start: str = "", limit: int = 0
    ) -> StoreResult:
        """Read a key, or all keys with a prefix, from ``start`` on.

        Parameters
        ----------
        key : str
            Key or prefix.
        prefix : bool, default=False
            Read all keys that begin with ``key``.
        start : str, default=""
            First key of the range, when ``prefix`` is set.
        limit : int, default=0
            Most entries to return; 0 for all.

        Returns
        -------
        Result of StoreAnswer or StoreError
            The entries in the order of their keys; the revision is that of the
            first page, so that a watch from there misses nothing.
        """
        if not prefix:
            return await self._read_key(key)
        entries: list[Entry] = []
        revision = 0
        after = _make_start_marker(start) if start else ""
        while True:
            query = {"Prefix": key, **({"After": after} if after else {})}
            answer = await self._call("GET", "/kv-range", query=query)
            if isinstance(answer, Failure):
                return answer
            body = answer.unwrap().body
            page = [_decode_entry(item) for item in body.get("Entries", [])]
            entries.extend(page)
            revision = revision or int(body["At"])
            if not body.get("HasMore") or not page or 0 < limit <= len(entries):
                break
            after = page[-1].key
        found = tuple(entries[:limit] if limit else entries)
        return Success(StoreAnswer(True, revision, found))

    async def _read_key(self, key: str) -> StoreResult:
        answer = await self._call(
            "GET", "/kv-key", query={"Key": key}, accepted=(200, 404)
        )
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        entries = (_decode_entry(reply.body),) if reply.status == 200 else ()
        return Success(StoreAnswer(True, int(reply.body.get("At") or 0), entries))

    async def write(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Put | Delete],
        *,
        reads: Sequence[str] = (),
    ) -> StoreResult:
        """Apply operations when every condition holds, else read keys.

        Parameters
        ----------
        compares : sequence of Compare
            Conditions.
        operations : sequence of Put or Delete
            What to do when all of them hold.
        reads : sequence of str
            Keys wanted when one does not hold; each has to be among ``compares``.

        Returns
        -------
        Result of StoreAnswer or StoreError
            ``succeeded`` tells whether the operations took effect.
        """
        body = {
            "ExpectedRev": [
                {"Key": compare.key, "Revision": compare.mod_revision}
                for compare in compares
            ],
            "PutOp": [_encode_put(it) for it in operations if isinstance(it, Put)],
            "Delete": [it.key for it in operations if isinstance(it, Delete)],
        }
        accepted = (200, 404, 412)
        answer = await self._call("POST", "/kv-txn", body=body, accepted=accepted)
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        if reply.status == 404:
            return Failure(StoreError(Verdict.NOT_RUN, "the lease does not exist"))
        if reply.status == 200:
            return Success(StoreAnswer(True, int(reply.body["Revision"])))
        items = [it for it in reply.body.get("Entries", []) if it.get("Revision")]
        found = tuple(_decode_entry(item) for item in items if item["Key"] in reads)
        return Success(StoreAnswer(False, int(reply.body.get("At") or 0), found))

    async def grant(self, ttl: float) -> Result[int, StoreError]:
        """Create a lease.

        Parameters
        ----------
        ttl : float
            Seconds.

        Returns
        -------
        Result of int or StoreError
            The lease's number.
        """
        body = {"TtlMs": int(ttl * 1000)}
        answer = await self._call("POST", "/kv-lease", body=body)
        return answer.map(lambda got: int(got.body["LeaseId"]))

    async def renew(self, lease: int) -> Result[float, StoreError]:
        """Renew a lease.

        Parameters
        ----------
        lease : int
            Its number.

        Returns
        -------
        Result of float or StoreError
            Time to live in seconds; 0 when the lease is gone.
        """
        answer = await self._call("POST", f"/kv-keep/{lease}", accepted=(200, 404))
        return answer.map(
            lambda got: got.body["TtlMs"] / 1000 if got.status == 200 else 0.0
        )

    async def revoke(self, lease: int) -> Result[int, StoreError]:
        """End a lease.

        Parameters
        ----------
        lease : int
            Its number.

        Returns
        -------
        Result of int or StoreError
            The lease's number.
        """
        path = f"/kv-lease-end/{lease}"
        answer = await self._call("DELETE", path, accepted=(200, 404))
        return answer.map(lambda _: lease)

    async def poll(
        self, prefix: str, after: int, wait: float
    ) -> Result[Changes, StoreError]:
        """Wait for changes of keys with a prefix.

        Parameters
        ----------
        prefix : str
            What to watch.
        after : int
            The store's revision after which changes are wanted.
        wait : float
            Longest wait, seconds.

        Returns
        -------
        Result of Changes or StoreError
            Empty when nothing changed while it waited.
        """
        query = {
            "Prefix": prefix,
            "After": str(after),
            "WaitMs": str(int(min(wait, MAX_WATCH_WAIT) * 1000)),
        }
        answer = await self._call(
            "GET", "/kv-watch", query=query, accepted=(200, 410), extra_time=wait
        )
        return answer.map(lambda got: _decode_changes(got, after))


def _decode_changes(reply: Reply, after: int) -> Changes:
    if reply.status == 410:
        return Changes(after, compacted=True)
    events = reply.body.get("events") or ()
    return Changes(
        max(after, int(reply.body.get("At") or 0)),
        tuple(_decode_change(item) for item in events),
    )
