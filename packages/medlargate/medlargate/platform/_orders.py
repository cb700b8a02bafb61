"""The platform's API for orders of engines and usage reports."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import aiohttp
import orjson
from returns.result import Failure, Result, Success

from ..policy import Verdict
from ._names import DUTY_HOLDER, FENCE
from ._services import GuardedPayload, GuardError
from ._store import StoreError, make_store_error

NOT_DONE = frozenset({400, 403, 409, 429, 503})


def _make_resetting_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Make a socket whose close discards what is still to be delivered."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return sock


@dataclass(frozen=True, slots=True)
class DutyCall:
    """Who calls, and under which right.

    Attributes
    ----------
    holder : str
        The node that holds the duty.
    fence : int
        Its fencing number.
    guard : callable
        Returns False once the right is lost; asked right before the write.
    """

    holder: str
    fence: int
    guard: Callable[[], bool]


class OrdersClient:
    """Sends orders and usage reports.

    Parameters
    ----------
    url : str
        Base address.
    timeout : float, default=2.0
        Seconds per call.

    Notes
    -----
    A call that was given up must not arrive later, when another node may hold the
    duty: its connection is reset, which discards what was not delivered.
    """

    def __init__(self, url: str, *, timeout: float = 2.0) -> None:
        connector = aiohttp.TCPConnector(socket_factory=_make_resetting_socket)
        self._session = aiohttp.ClientSession(connector=connector)
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout, sock_connect=timeout)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def send_usage(
        self, window: int, counts: Mapping[str, int], call: DutyCall
    ) -> Result[int, StoreError]:
        """Report a window's requests by customer.

        Parameters
        ----------
        window : int
            Its number since 1970.
        counts : mapping of str to int
            Requests that began to run, by customer.
        call : DutyCall
            The caller's right.

        Returns
        -------
        Result of int or StoreError
            200, or why it was not taken.
        """
        body = {"WindowId": window, "Counts": dict(counts)}
        return await self._call("/usage", body, call)

    async def send_scale(
        self, service: str, zone: str, desired: int, spot: bool, call: DutyCall
    ) -> Result[int, StoreError]:
        """Order a number of engines.

        Parameters
        ----------
        service, zone : str
            What for and where.
        desired : int
            How many engines of this kind there shall be.
        spot : bool
            Reclaimable ones.
        call : DutyCall
            The caller's right.

        Returns
        -------
        Result of int or StoreError
            200, or 409 when none are to be had there at the moment.
        """
        body: dict[str, object] = {
            "Service": service,
            "Zone": zone,
            "Desired": desired,
        }
        if spot:
            body["Spot"] = True
        return await self._call("/scale", body, call)

    async def _call(
        self, path: str, body: Mapping[str, object], call: DutyCall
    ) -> Result[int, StoreError]:
        headers = {DUTY_HOLDER: call.holder, FENCE: str(call.fence)}
        payload = GuardedPayload(orjson.dumps(body), call.guard)
        try:
            async with self._session.post(
                self._url + path, data=payload, headers=headers, timeout=self._timeout
            ) as resp:
                await resp.read()
                if resp.status == 200 or resp.status == 409:
                    return Success(resp.status)
                refused = resp.status in NOT_DONE
                verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
                return Failure(StoreError(verdict, f"{path} answered {resp.status}"))
        except GuardError as exc:
            return Failure(StoreError(Verdict.NOT_RUN, str(exc)))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return Failure(make_store_error(exc))
