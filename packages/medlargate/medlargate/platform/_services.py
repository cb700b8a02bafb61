"""Clients of the platform's VM list, orders and usage reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

import aiohttp
import orjson
from aiohttp.payload import BytesPayload
from pydantic import BaseModel, ConfigDict
from returns.result import Failure, Result, Success

from ..policy import Verdict
from ._calls import PlatformCallError


class Vm(BaseModel):
    """VM in the platform's list."""

    model_config = ConfigDict(frozen=True)
    name: str
    address: str
    port: int
    fleet_port: int = 0
    failure_domain: str
    region: str = "default"
    role: Literal["entry", "backend"] = "entry"
    state: Literal["live", "leaving"] = "live"


class Order(BaseModel):
    """Order to the platform, such as to start or stop a backend server.

    Attributes
    ----------
    order_id : str
        Id of the order.
    failure_domain : str
        Failure domain to which the order applies.
    action : str
        ``"start"``, ``"stop"``, ``"load_model"`` or ``"change_role"``.
    subject : str
        Name of the backend server, or kind of server to start.
    fence : int
        Fencing token of the lease under which the order is sent.
    issuer : str
        Name of the sending node with its incarnation.
    """

    model_config = ConfigDict(frozen=True)
    order_id: str
    failure_domain: str
    action: Literal["start", "stop", "load_model", "change_role"]
    subject: str
    fence: int
    issuer: str = ""


class OrderList(BaseModel):
    """Response with the orders that the platform has executed."""

    orders: list[Order] = []


def make_call_error(exc: Exception) -> PlatformCallError:
    """Convert an exception of a platform call to an error with a verdict.

    Parameters
    ----------
    exc : Exception
        Exception that the call raised.

    Returns
    -------
    PlatformCallError
        Error with the verdict ``NOT_RUN`` if connecting failed with an error;
        ``MAY_HAVE_RUN`` for all else, including a timeout while connecting.
    """
    if isinstance(exc, aiohttp.ClientConnectorError):
        return PlatformCallError(Verdict.NOT_RUN, str(exc))
    return PlatformCallError(Verdict.MAY_HAVE_RUN, f"{type(exc).__name__}: {exc}")


class VmList(BaseModel):
    """Response with the platform's list of VMs, which may be some seconds old."""

    vms: list[Vm] = []


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """Response of one of the platform's services.

    Attributes
    ----------
    status : int
        HTTP status.
    body : dict
        Body, decoded from JSON.
    """

    status: int
    body: dict[str, Any]


class GuardError(Exception):
    """Raised instead of writing a body whose sender no longer holds the lease."""


class GuardedPayload(BytesPayload):
    """Request body that is written only while a condition holds.

    Parameters
    ----------
    value : bytes
        Body of the request.
    guard : callable
        Returns False once the sender no longer holds the lease.

    Notes
    -----
    No other task runs between the check and the first byte that ``writer.write``
    writes. If the check fails, the head of the request may already have been written;
    the request is incomplete then, and the receiver does not execute it.
    """

    def __init__(self, value: bytes, guard: Callable[[], bool]) -> None:
        super().__init__(value, content_type="application/json")
        self._guard = guard

    async def write(self, writer: Any) -> None:
        """Check the condition and write the body.

        Parameters
        ----------
        writer : aiohttp.abc.AbstractStreamWriter
            The connection.

        Raises
        ------
        GuardError
            The condition does not hold.
        """
        await self.write_with_length(writer, None)

    async def write_with_length(self, writer: Any, content_length: int | None) -> None:
        """Check the condition and write the body.

        Parameters
        ----------
        writer : aiohttp.abc.AbstractStreamWriter
            The connection.
        content_length : int or None
            Ignored; the whole body is always written.

        Raises
        ------
        GuardError
            The condition does not hold.
        """
        if not self._guard():
            raise GuardError("the lease is no longer held")
        await writer.write(self._value)


class PlatformClient:
    """Client of the platform's VM list, orders and usage reports over HTTP.

    The gateway uses this client. The relay sends its orders and usage reports with
    ``OrdersClient``.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session of the node. Guarded calls (orders and usage reports) ask the
        platform to close the connection after the response.
    url : str
        Base URL of the platform.
    timeout : float, default=2.0
        Timeout of a call in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, *, timeout: float = 2.0
    ) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        guard: Callable[[], bool] | None = None,
    ) -> Result[PlatformResponse, PlatformCallError]:
        payload = GuardedPayload(body, guard) if guard else body or None
        # A guarded call may stop after the request's head was written. Closing keeps a
        # later call from using that connection.
        headers = {"Connection": "close"} if guard else None
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=payload,
                headers=headers,
                timeout=self._timeout,
            ) as resp:
                response = PlatformResponse(
                    resp.status, orjson.loads(await resp.read())
                )
                return Success(response)
        except GuardError as exc:
            return Failure(PlatformCallError(Verdict.NOT_RUN, str(exc)))
        except (aiohttp.ClientError, TimeoutError, orjson.JSONDecodeError) as exc:
            return Failure(make_call_error(exc))

    async def read_vms(self) -> Result[list[Vm], PlatformCallError]:
        """Read the list of VMs.

        Returns
        -------
        Result of list of Vm or PlatformCallError
            Live and leaving VMs. The list may be some seconds old. An error response
            with a JSON object that has no ``vms`` yields an empty list.
        """
        result = await self._call("GET", "/v1/vms")
        return result.map(lambda response: VmList.model_validate(response.body).vms)

    async def read_orders(self, domain: str) -> Result[list[Order], PlatformCallError]:
        """Read the orders that the platform has executed in a failure domain.

        Parameters
        ----------
        domain : str
            Failure domain.

        Returns
        -------
        Result of list of Order or PlatformCallError
            Executed orders, oldest first. An error response with a JSON object that
            has no ``orders`` yields an empty list.
        """
        result = await self._call("GET", f"/v1/orders?failure_domain={domain}")
        return result.map(
            lambda response: OrderList.model_validate(response.body).orders
        )

    async def send_order(
        self, order: Order, guard: Callable[[], bool]
    ) -> Result[PlatformResponse, PlatformCallError]:
        """Send an order if the sender still holds its lease.

        Parameters
        ----------
        order : Order
            Order with the fencing token of the lease.
        guard : callable
            Returns False once the lease is no longer held; called immediately before
            the body is written.

        Returns
        -------
        Result of PlatformResponse or PlatformCallError
            Response of the platform. Status 409 means that the fencing token is
            outdated.
        """
        body = order.model_dump_json().encode()
        return await self._call("POST", "/v1/orders", body, guard)

    async def send_usage(
        self, window: str, body: bytes, guard: Callable[[], bool]
    ) -> Result[PlatformResponse, PlatformCallError]:
        """Report a sealed usage window if the sender still holds its lease.

        Parameters
        ----------
        window : str
            Name of the usage window.
        body : bytes
            Sealed contents of the window.
        guard : callable
            Returns False once the lease is no longer held; called immediately before
            the body is written.

        Returns
        -------
        Result of PlatformResponse or PlatformCallError
            Response of the platform. Status 409 means that the window was already
            reported with different counts.
        """
        return await self._call("POST", f"/v1/usage-reports/{window}", body, guard)
