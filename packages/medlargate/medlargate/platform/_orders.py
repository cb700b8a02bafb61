"""Client of the platform's API for engine orders and usage reports, for the relay."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..policy import Verdict
from ._calls import CallClient, PlatformCallError
from ._names import DUTY_HOLDER, FENCING_TOKEN

# Statuses with which the platform rejects a call without executing it.
NOT_EXECUTED_STATUSES = frozenset({400, 403, 409, 429, 503})


@dataclass(frozen=True, slots=True)
class FencingCredentials:
    """Proof that a node holds the lease for a duty.

    Attributes
    ----------
    holder : str
        Name of the node that holds the duty.
    fence : int
        Fencing token of the holder's lease.
    guard : callable
        Returns False once the lease is no longer held; called immediately before a
        write.
    """

    holder: str
    fence: int
    guard: Callable[[], bool]


class OrdersClient:
    """Client for engine orders and usage reports.

    The relay uses this client. The gateway uses ``PlatformClient``.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    timeout : float, default=2.0
        Timeout of a call in seconds.

    Notes
    -----
    An abandoned call must not arrive later, when another node may hold the duty.
    The connection of such a call is reset, which discards undelivered bytes.
    """

    def __init__(self, url: str, *, timeout: float = 2.0) -> None:
        self._calls = CallClient(url, timeout=timeout, reset_abandoned=True)

    async def close(self) -> None:
        """Close the connections to the platform."""
        await self._calls.close()

    async def send_usage(
        self, window: int, counts: Mapping[str, int], call: FencingCredentials
    ) -> Result[int, PlatformCallError]:
        """Report the number of requests by customer in a usage window.

        Parameters
        ----------
        window : int
            Number of the window, counted from the Unix epoch (the start of 1970).
        counts : mapping of str to int
            Number of requests that started to run, by customer.
        call : FencingCredentials
            Proof that the sender holds the duty.

        Returns
        -------
        Result of int or PlatformCallError
            HTTP status, 200 or 409, or the error of the call.
        """
        body = {"WindowId": window, "Counts": dict(counts)}
        return await self._call("/usage", body, call)

    async def send_scale(
        self,
        service: str,
        zone: str,
        desired: int,
        spot: bool,
        call: FencingCredentials,
    ) -> Result[int, PlatformCallError]:
        """Set the desired number of engines of a service in a failure domain.

        Parameters
        ----------
        service : str
            Name of the service.
        zone : str
            Failure domain.
        desired : int
            Desired number of engines of the kind given by ``spot``.
        spot : bool
            Whether the number is that of spot engines or of on-demand engines.
        call : FencingCredentials
            Proof that the sender holds the duty.

        Returns
        -------
        Result of int or PlatformCallError
            HTTP status 200, or 409 if the platform has no capacity there at present.
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
        self, path: str, body: Mapping[str, object], call: FencingCredentials
    ) -> Result[int, PlatformCallError]:
        headers = {DUTY_HOLDER: call.holder, FENCING_TOKEN: str(call.fence)}
        result = await self._calls.call(
            "POST", path, body=body, headers=headers, guard=call.guard
        )
        if isinstance(result, Failure):
            return result
        status = result.unwrap().status
        if status in (200, 409):
            return Success(status)
        verdict = (
            Verdict.NOT_RUN if status in NOT_EXECUTED_STATUSES else Verdict.MAY_HAVE_RUN
        )
        return Failure(PlatformCallError(verdict, f"{path} answered {status}"))
