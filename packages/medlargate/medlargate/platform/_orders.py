"""The platform's API for orders of engines and usage reports."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..policy import Verdict
from ._calls import CallClient, StoreError
from ._names import DUTY_HOLDER, FENCING_TOKEN

NOT_EXECUTED_STATUSES = frozenset({400, 403, 409, 429, 503})


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
        self._calls = CallClient(url, timeout=timeout, reset_abandoned=True)

    async def close(self) -> None:
        """Close the connections."""
        await self._calls.close()

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
        headers = {DUTY_HOLDER: call.holder, FENCING_TOKEN: str(call.fence)}
        called = await self._calls.call(
            "POST", path, body=body, headers=headers, guard=call.guard
        )
        if isinstance(called, Failure):
            return called
        status = called.unwrap().status
        if status in (200, 409):
            return Success(status)
        verdict = (
            Verdict.NOT_RUN if status in NOT_EXECUTED_STATUSES else Verdict.MAY_HAVE_RUN
        )
        return Failure(StoreError(verdict, f"{path} answered {status}"))
