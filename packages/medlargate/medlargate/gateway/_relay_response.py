"""A streamed HTTP response that notices when its caller goes away."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ..policy import Refusal
from ._answers import make_refusal_response
from ._chat import Sink

Work = Callable[[Sink], Awaitable[None]]


class RelayResponse(Response):
    """Sends events as they come, and ends the work when the caller is gone.

    Parameters
    ----------
    work : callable
        Gets the sink for the events and runs until the answer is whole.
    request_id : str
        For refusals.
    headers : dict of str to str
        Of the response.
    on_end : callable
        Called once with the exception that ended the work, or None; returns the
        last bytes of a response that has begun.

    Notes
    -----
    The head is sent with the first events, so that a refusal before them still
    has a status of its own. One task waits for the disconnect and cancels the
    work; a task group for each response costs more than the relay itself.
    """

    def __init__(
        self,
        work: Work,
        *,
        request_id: str,
        headers: dict[str, str],
        on_end: Callable[[BaseException | None], bytes],
    ) -> None:
        super().__init__(None, 200, headers, "text/event-stream")
        del self.headers["content-length"]
        self._work = work
        self._request_id = request_id
        self._on_end = on_end

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the work and send the response.

        Parameters
        ----------
        scope : dict
            ASGI scope.
        receive, send : callable
            ASGI channels.
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
        begun = False
        head = {
            "type": "http.response.start",
            "status": self.status_code,
            "headers": self.raw_headers,
        }

        async def sink(events: bytes) -> None:
            nonlocal begun
            if not begun:
                begun = True
                await send(head)
            body = {"type": "http.response.body", "body": events, "more_body": True}
            await send(body)

        cause: Exception | None = None
        try:
            await self._work(sink)
        except asyncio.CancelledError as exc:
            self._on_end(exc)
            raise
        except Exception as exc:
            cause = exc
        last = self._on_end(cause)
        if not begun and isinstance(cause, Refusal):
            refusal = make_refusal_response(cause, self._request_id)
            await refusal(scope, receive, send)
            return
        if not begun:
            await send(head)
        await send({"type": "http.response.body", "body": last})


async def _wait_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
