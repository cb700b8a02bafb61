"""A streamed HTTP response that notices when its caller goes away."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ._chat import close_quietly


class RelayResponse(Response):
    """Sends chunks as they come and ends them when the caller is gone.

    Parameters
    ----------
    lines : async iterator of bytes
        What to send.
    headers : dict of str to str
        Of the response.
    on_end : callable
        Called once with the exception that ended it, or None.

    Notes
    -----
    One task waits for the disconnect and cancels the sender; a task group for
    each response costs more than the relay itself.
    """

    def __init__(
        self,
        lines: AsyncIterator[bytes],
        *,
        headers: dict[str, str],
        on_end: Callable[[BaseException | None], bytes],
        media_type: str = "text/event-stream",
    ) -> None:
        super().__init__(None, 200, headers, media_type)
        if "content-length" in self.headers:
            del self.headers["content-length"]
        self._lines = lines
        self._on_end = on_end

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response.

        Parameters
        ----------
        scope : dict
            ASGI scope.
        receive, send : callable
            ASGI channels.
        """
        sender = asyncio.create_task(self._send_all(send))
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

    async def _send_all(self, send: Send) -> None:
        start = {"type": "http.response.start", "status": self.status_code}
        cause: BaseException | None = None
        ended = False
        try:
            await send({**start, "headers": self.raw_headers})
            async for chunk in self._lines:
                body = {"type": "http.response.body", "body": chunk, "more_body": True}
                await send(body)
        except BaseException as exc:
            cause = exc
            if not isinstance(exc, Exception):
                self._on_end(cause)
                ended = True
                raise
        finally:
            await close_quietly(self._lines)
        if not ended:
            last = self._on_end(cause)
            await send({"type": "http.response.body", "body": last})


async def _wait_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
