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
from ._calls import StoreError


class Vm(BaseModel):
    """One row of the platform's list of VMs."""

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
    """An order to the platform: start or stop a backend server."""

    model_config = ConfigDict(frozen=True)
    order_id: str
    failure_domain: str
    action: Literal["start", "stop", "load_model", "change_role"]
    subject: str
    fence: int
    issuer: str = ""


class OrderList(BaseModel):
    """Orders that the platform has carried out."""

    orders: list[Order] = []


def make_call_error(exc: Exception) -> StoreError:
    """Say what may be said of a call of the platform that failed.

    Parameters
    ----------
    exc : Exception
        What was raised.

    Returns
    -------
    StoreError
        ``NOT_RUN`` when no connection came about, else ``MAY_HAVE_RUN``.
    """
    if isinstance(exc, aiohttp.ClientConnectorError):
        return StoreError(Verdict.NOT_RUN, str(exc))
    return StoreError(Verdict.MAY_HAVE_RUN, f"{type(exc).__name__}: {exc}")


class VmList(BaseModel):
    """The platform's list of VMs, which lags."""

    vms: list[Vm] = []


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """An answer of one of the platform's services.

    Attributes
    ----------
    status : int
        HTTP status.
    body : dict
        Decoded JSON.
    """

    status: int
    body: dict[str, Any]


class GuardError(Exception):
    """A write was held back because its sender lost the right to it."""


class GuardedPayload(BytesPayload):
    """A body that is written only while a condition holds.

    Parameters
    ----------
    value : bytes
        The body.
    guard : callable
        Returns False once the sender has lost its right.

    Notes
    -----
    The check and the write to the transport have no ``await`` between them. A
    request whose head was written but whose body is held back is incomplete, and a
    receiver does not act on it.
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
            Bound on what is written; the whole body is written always.

        Raises
        ------
        GuardError
            The condition does not hold.
        """
        if not self._guard():
            raise GuardError("the lease ran out before the write")
        await writer.write(self._value)


class PlatformClient:
    """VM list, orders and usage reports over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections of the node; orders never reuse a connection.
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

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        guard: Callable[[], bool] | None = None,
    ) -> Result[PlatformAnswer, StoreError]:
        payload = GuardedPayload(body, guard) if guard else body or None
        # Without "Connection: close" a later call could meet a half-open connection.
        headers = {"Connection": "close"} if guard else None
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=payload,
                headers=headers,
                timeout=self._timeout,
            ) as resp:
                answer = PlatformAnswer(resp.status, orjson.loads(await resp.read()))
                return Success(answer)
        except GuardError as exc:
            return Failure(StoreError(Verdict.NOT_RUN, str(exc)))
        except (aiohttp.ClientError, TimeoutError, orjson.JSONDecodeError) as exc:
            return Failure(make_call_error(exc))

    async def read_vms(self) -> Result[list[Vm], StoreError]:
        """Read the list of VMs.

        Returns
        -------
        Result of list of Vm or StoreError
            Live and leaving VMs as of some seconds ago.
        """
        answer = await self._call("GET", "/v1/vms")
        return answer.map(lambda got: VmList.model_validate(got.body).vms)

    async def read_orders(self, domain: str) -> Result[list[Order], StoreError]:
        """Read the orders that the platform has carried out.

        Parameters
        ----------
        domain : str
            Failure domain.

        Returns
        -------
        Result of list of Order or StoreError
            Oldest first.
        """
        answer = await self._call("GET", f"/v1/orders?failure_domain={domain}")
        return answer.map(lambda got: OrderList.model_validate(got.body).orders)

    async def send_order(
        self, order: Order, guard: Callable[[], bool]
    ) -> Result[PlatformAnswer, StoreError]:
        """Send an order while a lease holds.

        Parameters
        ----------
        order : Order
            The order with its fencing number.
        guard : callable
            Checked right before the write.

        Returns
        -------
        Result of PlatformAnswer or StoreError
            Status 409 for an old fencing number.
        """
        body = order.model_dump_json().encode()
        return await self._call("POST", "/v1/orders", body, guard)

    async def send_usage(
        self, window: str, body: bytes, guard: Callable[[], bool]
    ) -> Result[PlatformAnswer, StoreError]:
        """Report a sealed usage window.

        Parameters
        ----------
        window : str
            The window's name.
        body : bytes
            The sealed bytes.
        guard : callable
            Checked right before the write.

        Returns
        -------
        Result of PlatformAnswer or StoreError
            Status 409 when the window was reported with other figures.
        """
        return await self._call("POST", f"/v1/usage-reports/{window}", body, guard)
