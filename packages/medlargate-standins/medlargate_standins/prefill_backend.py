"""Simulated engine whose prefill of prompts delays the tokens of its streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from ._backend_messages import ReceivedRequest, parse_token_usage
from .backend import Work
from .priority_backend import PriorityBackend


@dataclass(eq=False)
class _Sequence:
    """Request in the batch of an engine."""

    reader: asyncio.StreamReader
    n_unread: int
    n_generated: int = 0
    n_awaited: int = 1
    progress: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(eq=False)
class PrefillBackend(PriorityBackend):
    """Engine whose prefill delays the tokens of all its streams.

    Each step processes a chunk of the prompt that was admitted first, and generates
    one token for each request whose prompt has been processed.

    Attributes
    ----------
    prefill_rate : float
        Prompt tokens processed per second.
    chunk_size : int
        Prompt tokens processed in one step at most.
    step_time : float
        Duration of a step without prefill, in seconds.
    n_tokens_per_event : int
        Tokens in one event of a stream.
    """

    prefill_rate: float = 40_000.0
    chunk_size: int = 2_048
    step_time: float = 0.01
    n_tokens_per_event: int = 8
    _sequences: dict[str, _Sequence] = field(default_factory=dict)
    _steps: asyncio.Task[None] | None = None

    async def _respond(self, req, reader, writer) -> bool:
        n_prompt, _ = parse_token_usage(req)
        sequence = _Sequence(reader, n_prompt)
        self._sequences[req.request_id] = sequence
        if self._steps is None or self._steps.done():
            self._steps = asyncio.create_task(self._run_steps())
            self._tasks.add(self._steps)
            self._steps.add_done_callback(self._tasks.discard)
        try:
            await self._wait_for_tokens(sequence, 1)
            return await super()._respond(req, reader, writer)
        finally:
            self._sequences.pop(req.request_id, None)

    def _get_work(self, req: ReceivedRequest) -> Work:
        _, n_output = parse_token_usage(req)
        return Work(n_events=max(1, n_output // self.n_tokens_per_event))

    async def _pause_stream(self, req: ReceivedRequest, event: int, work: Work) -> None:
        n_tokens = event * self.n_tokens_per_event
        await self._wait_for_tokens(self._sequences[req.request_id], n_tokens)

    async def _wait_for_tokens(self, sequence: _Sequence, n_tokens: int) -> None:
        sequence.n_awaited = n_tokens
        while sequence.n_generated < n_tokens:
            if sequence.reader.at_eof():
                raise ConnectionResetError("the client closed the connection")
            sequence.progress.clear()
            await sequence.progress.wait()

    async def _run_steps(self) -> None:
        while self._sequences:
            unread = (it for it in self._sequences.values() if it.n_unread)
            first = next(unread, None)
            n_read = min(self.chunk_size, first.n_unread) if first is not None else 0
            await asyncio.sleep(self.step_time + n_read / self.prefill_rate)
            if first is not None:
                first.n_unread -= n_read
            for sequence in self._sequences.values():
                sequence.n_generated += not sequence.n_unread
                is_due = sequence.n_generated >= sequence.n_awaited
                if is_due or sequence.reader.at_eof():
                    sequence.progress.set()
