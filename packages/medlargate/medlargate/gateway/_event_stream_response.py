"""Streamed HTTP response that is cancelled when its caller disconnects."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ..policy import Refusal
from ._chat import Sink
from ._error_responses import make_refusal_response

EventProducer = Callable[[Sink], Awaitable[None]]


class EventStreamResponse(Response):
    """Event stream that is sent while it is produced and cancelled on disconnect.

    Parameters
    ----------
    produce : callable
        Gets the sink to which events are written and returns when the stream is
        complete.
    request_id : str
        Identifier of the request, sent with refusals.
    headers : dict of str to str
        Headers of the response.
    on_end : callable
        Called once with the exception that ended the producer, or None; returns the
        last bytes of a response whose head was sent.

    Notes
    -----
    The response head is sent with the first events, so that a refusal before them
    still determines the HTTP status. One task waits for the disconnect and cancels
    the producer; a task group for each response costs more than the relaying.
    """

    def __init__(
        self,
        produce: EventProducer,
        *,
        request_id: str,
        headers: dict[str, str],
        on_end: Callable[[BaseException | None], bytes],
    ) -> None:
        super().__init__(None, 200, headers, "text/event-stream")
        del self.headers["content-length"]
        self._produce = produce
        self._request_id = request_id
        self._on_end = on_end

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the producer and send the response.

        Parameters
        ----------
        scope : dict
            ASGI connection scope.
        receive, send : callable
            ASGI receive and send channels.
        """
        sender = asyncio.create_task(self._run(scope, receive, send))
        watcher = asyncio.create_task(_wait_disconnect(receive))
        watcher.add_done_callback(lambda _: sender.cancel())
        try:
            await sender
        except asyncio.CancelledError:
            if not watcher.done():
                raise
        finally:
            watcher.cancel()
            if not sender.done():
                sender.cancel()
                await asyncio.gather(sender, return_exceptions=True)

    async def _run(self, scope: Scope, receive: Receive, send: Send) -> None:
        head_sent = False
        head = {
            "type": "http.response.start",
            "status": self.status_code,
            "headers": self.raw_headers,
        }

        async def sink(events: bytes) -> None:
            nonlocal head_sent
            if not head_sent:
                head_sent = True
                await send(head)
            body = {"type": "http.response.body", "body": events, "more_body": True}
            await send(body)

        cause: Exception | None = None
        try:
            await self._produce(sink)
        except asyncio.CancelledError as exc:
            self._on_end(exc)
            raise
        except Exception as exc:
            cause = exc
        last = self._on_end(cause)
        if not head_sent and isinstance(cause, Refusal):
            refusal = make_refusal_response(cause, self._request_id)
            await refusal(scope, receive, send)
            return
        if not head_sent:
            await send(head)
        await send({"type": "http.response.body", "body": last})


async def _wait_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
