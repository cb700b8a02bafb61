"""Client of the platform's key-value service (the JSON gateway of etcd v3).

Only the calls that the fleet needs: range, transaction, lease and watch.
"""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
import orjson
from returns.result import Failure, Result, Success

from ..policy import Verdict


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


@dataclass(frozen=True, slots=True)
class StoreError:
    """A call of the store that gave no answer.

    Attributes
    ----------
    verdict : Verdict
        ``MAY_HAVE_RUN`` when the call may have taken effect.
    message : str
        What was seen.
    """

    verdict: Verdict
    message: str


StoreResult = Result[StoreAnswer, StoreError]


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

    async def grant(self, ttl: int) -> Result[int, StoreError]:
        """Create a lease of ``ttl`` seconds and return its number."""

    async def renew(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease and return its time to live; 0 when it is gone."""

    async def revoke(self, lease: int) -> Result[int, StoreError]:
        """End a lease."""

    def watch(self, prefix: str, after: int) -> AsyncIterator[StoreAnswer]:
        """Yield changes of keys with a prefix after a revision."""


def encode(text: str | bytes) -> str:
    """Encode a key or value for the JSON gateway.

    Parameters
    ----------
    text : str or bytes
        Key or value.

    Returns
    -------
    str
        Base64.
    """
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def make_range_end(prefix: str) -> str:
    """Compute the end of the key range with a prefix.

    Parameters
    ----------
    prefix : str
        ASCII prefix.

    Returns
    -------
    str
        The first key after the range.

    Examples
    --------
    >>> make_range_end("a/")
    'a0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _entry(item: dict[str, Any]) -> Entry:
    return Entry(
        key=base64.b64decode(item["key"]).decode(),
        value=base64.b64decode(item.get("value", "")),
        mod_revision=int(item.get("mod_revision", 0)),
        create_revision=int(item.get("create_revision", 0)),
    )


def _entries(items: list[dict[str, Any]]) -> tuple[Entry, ...]:
    return tuple(_entry(item) for item in items)


def _encode_operation(operation: Put | Delete) -> dict[str, Any]:
    if isinstance(operation, Delete):
        return {"request_delete_range": {"key": encode(operation.key)}}
    put: dict[str, Any] = {
        "key": encode(operation.key),
        "value": encode(operation.value),
    }
    if operation.lease:
        put["lease"] = str(operation.lease)
    return {"request_put": put}


class HttpStore:
    """The key-value service over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections of the node.
    url : str
        Base address.
    timeout : float
        Seconds per call.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, *, timeout: float = 2.0
    ) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._watch_timeout = aiohttp.ClientTimeout(total=None, sock_connect=timeout)
        self.n_calls: dict[str, int] = {}

    async def _call(
        self, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], StoreError]:
        kind = path.rpartition("/")[2]
        self.n_calls[kind] = self.n_calls.get(kind, 0) + 1
        try:
            async with self._session.post(
                self._url + path, data=orjson.dumps(body), timeout=self._timeout
            ) as resp:
                raw = await resp.read()
                if resp.status != 200:
                    message = f"store answered {resp.status}"
                    return Failure(StoreError(Verdict.MAY_HAVE_RUN, message))
                return Success(orjson.loads(raw))
        except aiohttp.ClientConnectorError as exc:
            return Failure(StoreError(Verdict.NOT_RUN, str(exc)))
        except (aiohttp.ClientError, TimeoutError, orjson.JSONDecodeError) as exc:
            message = f"{type(exc).__name__}: {exc}"
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
            Most entries to read; 0 for all.

        Returns
        -------
        Result of StoreAnswer or StoreError
            The entries in the order of their keys.
        """
        body: dict[str, Any] = {"key": encode(start or key)}
        if prefix:
            body["range_end"] = encode(make_range_end(key))
        if limit:
            body["limit"] = limit
        answer = await self._call("/v3/kv/range", body)
        return answer.map(
            lambda got: StoreAnswer(
                True, int(got["header"]["revision"]), _entries(got.get("kvs", []))
            )
        )

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
            Keys to read when one does not hold.

        Returns
        -------
        Result of StoreAnswer or StoreError
            ``succeeded`` tells whether the operations took effect.
        """
        body = {
            "compare": [
                {
                    "key": encode(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(compare.mod_revision),
                }
                for compare in compares
            ],
            "success": [_encode_operation(operation) for operation in operations],
            "failure": [{"request_range": {"key": encode(key)}} for key in reads],
        }
        answer = await self._call("/v3/kv/txn", body)
        return answer.map(_txn_answer)

    async def grant(self, ttl: int) -> Result[int, StoreError]:
        """Create a lease.

        Parameters
        ----------
        ttl : int
            Seconds.

        Returns
        -------
        Result of int or StoreError
            The lease's number.
        """
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl)})
        return answer.map(lambda got: int(got["ID"]))

    async def renew(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease.

        Parameters
        ----------
        lease : int
            Its number.

        Returns
        -------
        Result of int or StoreError
            Time to live in seconds; 0 when the lease is gone.
        """
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return answer.map(lambda got: int(got["result"].get("TTL", 0)))

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
        answer = await self._call("/v3/lease/revoke", {"ID": str(lease)})
        return answer.map(lambda _: lease)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[StoreAnswer]:
        """Yield changes of keys with a prefix.

        Parameters
        ----------
        prefix : str
            What to watch.
        after : int
            The store's revision after which changes are wanted.

        Yields
        ------
        StoreAnswer
            Entries put since the last one; deletions have no entry.

        Raises
        ------
        aiohttp.ClientError
            The connection ended.
        """
        self.n_calls["watch"] = self.n_calls.get("watch", 0) + 1
        body = {
            "create_request": {
                "key": encode(prefix),
                "range_end": encode(make_range_end(prefix)),
                "start_revision": str(after + 1),
            }
        }
        async with self._session.post(
            self._url + "/v3/watch",
            data=orjson.dumps(body),
            timeout=self._watch_timeout,
        ) as resp:
            resp.raise_for_status()
            async for line in resp.content:
                yield _watch_answer(orjson.loads(line))


def _watch_answer(message: dict[str, Any]) -> StoreAnswer:
    result = message["result"]
    items = [
        event["kv"]
        for event in result.get("events", [])
        if event.get("type", "PUT") == "PUT"
    ]
    return StoreAnswer(True, int(result["header"]["revision"]), _entries(items))


def _txn_answer(got: dict[str, Any]) -> StoreAnswer:
    entries: list[Entry] = []
    for response in got.get("responses", []):
        found = response.get("response_range", {}).get("kvs", [])
        entries.extend(_entries(found))
    return StoreAnswer(
        bool(got.get("succeeded", False)),
        int(got["header"]["revision"]),
        tuple(entries),
    )
