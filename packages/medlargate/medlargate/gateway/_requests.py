"""Reading callers' requests: size, time and shape checked at the border."""

from __future__ import annotations

import asyncio
from typing import Any, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import ClientDisconnect, Request

from .._settings import LimitsSection
from ..fleet import describe_validation
from ..policy import Refusal

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256


class ChatMessage(BaseModel):
    """One message; engines check the rest."""

    model_config = ConfigDict(extra="allow")
    role: str
    content: str | list[Any] | None = None


class StreamOptions(BaseModel):
    """Options of a streamed answer."""

    model_config = ConfigDict(extra="allow")
    include_usage: bool = False


class ChatRequest(BaseModel):
    """What the router reads of a chat request; the rest goes to the engine."""

    model_config = ConfigDict(extra="allow")
    model: str = Field(min_length=1, max_length=200)
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = Field(None, ge=1)
    n: Literal[1] | None = None


def check_headers(req: Request, limits: LimitsSection) -> None:
    """Check the size of a request's headers.

    Parameters
    ----------
    req : Request
        The request.
    limits : LimitsSection
        Bounds.

    Raises
    ------
    Refusal
        431 for headers over the bound.
    """
    size = sum(len(name) + len(value) for name, value in req.headers.raw)
    if size > limits.max_header_bytes:
        raise Refusal(
            431,
            "headers_too_large",
            f"headers of {size} bytes exceed {limits.max_header_bytes}",
        )


async def read_body(req: Request, limits: LimitsSection) -> bytes:
    """Read a request's body.

    Parameters
    ----------
    req : Request
        The request.
    limits : LimitsSection
        Bounds.

    Returns
    -------
    bytes
        The whole body.

    Raises
    ------
    Refusal
        408 for a body that stalls, 413 for one that is too large.
    """
    declared = req.headers.get("content-length", "0")
    if declared.isdigit() and int(declared) > limits.max_body_bytes:
        raise _too_large(limits)
    body = bytearray()
    try:
        async with asyncio.timeout(limits.body_timeout):
            async for chunk in req.stream():
                body += chunk
                if len(body) > limits.max_body_bytes:
                    raise _too_large(limits)
    except TimeoutError as exc:
        message = f"the body was not complete within {limits.body_timeout} s"
        raise Refusal(408, "body_timeout", message) from exc
    except ClientDisconnect as exc:
        raise Refusal(499, "caller_gone", "the caller went away") from exc
    return bytes(body)


def _too_large(limits: LimitsSection) -> Refusal:
    return Refusal(
        413, "body_too_large", f"the body exceeds {limits.max_body_bytes} bytes"
    )


def parse_chat(body: bytes) -> tuple[ChatRequest, dict[str, Any]]:
    """Check a chat request.

    Parameters
    ----------
    body : bytes
        JSON.

    Returns
    -------
    tuple of (ChatRequest, dict)
        The checked part and the whole document.

    Raises
    ------
    Refusal
        400 for what is not JSON or has wrong types.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        message = f"the body is not JSON in UTF-8: {exc}"
        raise Refusal(400, "invalid_json", message) from exc
    try:
        return ChatRequest.model_validate(document), document
    except ValidationError as exc:
        message = describe_validation(exc)
        raise Refusal(400, "invalid_request", message[:2000]) from exc


def count_prompt(chat: ChatRequest) -> tuple[int, str]:
    """Estimate a prompt's length and take its beginning.

    Parameters
    ----------
    chat : ChatRequest
        The request.

    Returns
    -------
    tuple of (int, str)
        Tokens, and the first characters for the prefix hash.
    """
    texts = [
        message.content if isinstance(message.content, str) else str(message.content)
        for message in chat.messages
    ]
    n_characters = sum(len(text) for text in texts)
    prefix = "\0".join(texts)[:PREFIX_CHARACTERS]
    return max(1, n_characters // CHARACTERS_PER_TOKEN), prefix
