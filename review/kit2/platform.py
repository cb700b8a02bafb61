"""Stand-in of the platform: its key-value store and the calls of a duty."""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http1 import Message, make_response, read_body, serve

PAGE = 500  # items of a range
WATCH_STEP = 0.01  # seconds between looks at the changes


@dataclass
class Item:
    """Item of the store."""

    data: str
    revision: int
    created: int
    lease: int


@dataclass
class State:
    """What a copy of the store holds."""

    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    next_lease: int = 100


class Platform:
    """Key-value store and duty calls.

    Parameters
    ----------
    era : int
        Number of restores that the store states at first.
    record : callable
        Writes a line of the record.
    """

    def __init__(self, era: int, record: Any) -> None:
        self.state = State()
        self.era = era
        self.record = record
        self.is_away = False
        self.usage: dict[int, list[dict[str, int]]] = {}
        self.duty_calls: list[tuple[float, str, int, str]] = []
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for calls."""
        self._server = await serve(self._handle, host, port)
        self._expiry = asyncio.create_task(self._run_expiry())

    # Drill

    def copy_state(self) -> State:
        """Return a copy of the store as it is now."""
        return copy.deepcopy(self.state)

    def restore(self, state: State) -> None:
        """Come back from a copy; leases of the copy run their whole time again."""
        now = time.monotonic()
        self.state = copy.deepcopy(state)
        self.state.changes = []
        for lease, (ttl, _) in self.state.leases.items():
            self.state.leases[lease] = (ttl, now + ttl)
        self.era += 1

    # Data

    def put(self, key: str, data: bytes, lease: int = 0) -> int:
        """Write an item as the operator or a server does."""
        self.state.revision += 1
        self._put(key, base64.b64encode(data).decode(), lease)
        return self.state.revision

    def delete(self, key: str) -> None:
        """Delete an item."""
        if key in self.state.items:
            self.state.revision += 1
            self._delete(key)

    def _put(self, key: str, data: str, lease: int) -> None:
        state = self.state
        known = state.items.get(key)
        created = known.created if known else state.revision
        state.items[key] = Item(data, state.revision, created, lease)
        state.changes.append((state.revision, self._encode(key)))

    def _delete(self, key: str) -> None:
        if self.state.items.pop(key, None) is not None:
            row = {"Key": key, "Revision": self.state.revision, "Deleted": True}
            self.state.changes.append((self.state.revision, row))

    def _encode(self, key: str) -> dict[str, Any]:
        item = self.state.items[key]
        return {
            "Key": key,
            "Data": item.data,
            "Revision": item.revision,
            "CreatedAt": item.created,
            "LeaseId": item.lease,
        }

    async def _run_expiry(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, until) in list(self.state.leases.items()):
                if now > until and not self.is_away:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self.state.leases.pop(lease, None) is None:
            return
        keys = [key for key, it in self.state.items.items() if it.lease == lease]
        if keys:
            self.state.revision += 1
        for key in keys:
            self._delete(key)

    # Calls

    async def _handle(
        self,
        req: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        req.body = await read_body(reader, req)
        if self.is_away:
            return False
        status, row = await self._answer(req)
        if self.is_away:
            return False
        body = json.dumps(row).encode()
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        writer.write(make_response(status, headers, body))
        await writer.drain()
        return True

    async def _answer(self, req: Message) -> tuple[int, dict[str, Any]]:
        url = urlsplit(req.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = json.loads(req.body) if req.body else {}
        path, state = url.path, self.state
        if path in ("/usage", "/scale"):
            return self._answer_duty(path, req, body)
        if path == "/kv-key":
            if query["Key"] not in state.items:
                return 404, {"At": state.revision}
            return 200, {**self._encode(query["Key"]), "At": state.revision}
        if path == "/kv-range":
            after = query.get("After", "")
            keys = sorted(
                key
                for key in state.items
                if key.startswith(query["Prefix"]) and key > after
            )
            rows = [self._encode(key) for key in keys[:PAGE]]
            more = len(keys) > PAGE
            return 200, {"Entries": rows, "HasMore": more, "At": state.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            state.next_lease += 1
            ttl = body["TtlMs"] / 1000
            state.leases[state.next_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"LeaseId": state.next_lease, "TtlMs": body["TtlMs"]}
        verb, _, number = path.removeprefix("/").partition("/")
        lease = int(number)
        if verb == "kv-keep":
            if lease not in state.leases:
                return 404, {}
            ttl = state.leases[lease][0]
            state.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"TtlMs": int(ttl * 1000)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["After"]), query["Prefix"]
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        state, era = self.state, self.era
        if after > state.revision:
            return 410, {}
        while self.era == era and not self.is_away:
            rows = [
                row
                for revision, row in state.changes
                if revision > after and row["Key"].startswith(prefix)
            ]
            if rows or time.monotonic() > until:
                return 200, {"events": rows, "At": state.revision}
            await asyncio.sleep(WATCH_STEP)
        return 410, {}

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        state = self.state
        expected = body.get("ExpectedRev", [])
        for row in expected:
            item = state.items.get(row["Key"])
            if (item.revision if item else 0) != row["Revision"]:
                keys = [it["Key"] for it in expected if it["Key"] in state.items]
                rows = [self._encode(key) for key in keys]
                return 412, {"Entries": rows, "At": state.revision}
        puts = body.get("PutOp", [])
        if any(it.get("LeaseId") and it["LeaseId"] not in state.leases for it in puts):
            return 404, {}
        state.revision += 1
        for row in puts:
            self._put(row["Key"], row["Data"], row.get("LeaseId", 0))
        for key in body.get("Delete", []):
            self._delete(key)
        return 200, {"Revision": state.revision}

    def _answer_duty(
        self, path: str, req: Message, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        holder, fence = req.headers["duty-holder"], int(req.headers["fencing-token"])
        self.duty_calls.append((time.monotonic(), holder, fence, path))
        self.record(f"duty call {path} of {holder} fence {fence}: {json.dumps(body)}")
        if path == "/usage":
            self.usage.setdefault(body["WindowId"], []).append(body["Counts"])
        return 200, {}
