"""Reading and validation of callers' requests: size, read time and schema."""

from __future__ import annotations

import asyncio
from typing import Any, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import ClientDisconnect, Request

from .._settings import LimitsSection
from ..fleet import describe_validation
from ..policy import Refusal, Verdict

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256


class ChatMessage(BaseModel):
    """Chat message; fields other than role and content are validated by the engine."""

    model_config = ConfigDict(extra="allow")
    role: str
    content: str | list[Any] | None = None


class StreamOptions(BaseModel):
    """Options of a streamed chat response."""

    model_config = ConfigDict(extra="allow")
    include_usage: bool = False


class ChatRequest(BaseModel):
    """Chat request fields that the router reads; other fields go to the engine."""

    model_config = ConfigDict(extra="allow")
    model: str = Field(min_length=1, max_length=200)
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = Field(None, ge=1)
    n: Literal[1] | None = None


def check_headers(req: Request, limits: LimitsSection) -> None:
    """Check the total size of a request's headers.

    Parameters
    ----------
    req : Request
        Request of the caller.
    limits : LimitsSection
        Size limits.

    Raises
    ------
    Refusal
        With status 431 if the headers exceed ``max_header_bytes``.
    """
    size = sum(len(name) + len(value) for name, value in req.headers.raw)
    if size > limits.max_header_bytes:
        raise Refusal(
            431,
            "headers_too_large",
            f"headers of {size} bytes exceed {limits.max_header_bytes}",
            Verdict.NOT_RUN,
        )


async def read_body(req: Request, limits: LimitsSection) -> bytes:
    """Read a request's body within the size and time limits.

    Parameters
    ----------
    req : Request
        Request of the caller.
    limits : LimitsSection
        Size and time limits.

    Returns
    -------
    bytes
        Complete request body.

    Raises
    ------
    Refusal
        With status 408 if the body is not complete within ``body_timeout``, 413 if
        the body exceeds ``max_body_bytes``, 499 if the caller disconnects.
    """
    content_length = req.headers.get("content-length", "0")
    if content_length.isdigit() and int(content_length) > limits.max_body_bytes:
        raise _make_too_large_refusal(limits)
    body = bytearray()
    try:
        async with asyncio.timeout(limits.body_timeout):
            async for chunk in req.stream():
                body += chunk
                if len(body) > limits.max_body_bytes:
                    raise _make_too_large_refusal(limits)
    except TimeoutError as exc:
        message = f"the body was not complete within {limits.body_timeout} s"
        raise Refusal(408, "body_timeout", message, Verdict.NOT_RUN) from exc
    except ClientDisconnect as exc:
        raise Refusal(
            499, "caller_gone", "the caller went away", Verdict.NOT_RUN
        ) from exc
    return bytes(body)


def _make_too_large_refusal(limits: LimitsSection) -> Refusal:
    return Refusal(
        413,
        "body_too_large",
        f"the body exceeds {limits.max_body_bytes} bytes",
        Verdict.NOT_RUN,
    )


def parse_chat(body: bytes) -> tuple[ChatRequest, dict[str, Any]]:
    """Parse and validate the body of a chat request.

    Parameters
    ----------
    body : bytes
        JSON document.

    Returns
    -------
    tuple of (ChatRequest, dict)
        Validated fields, and the complete document.

    Raises
    ------
    Refusal
        With status 400 if the body is not JSON or does not match the schema.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        message = f"the body is not JSON in UTF-8: {exc}"
        raise Refusal(400, "invalid_json", message, Verdict.NOT_RUN) from exc
    try:
        return ChatRequest.model_validate(document), document
    except ValidationError as exc:
        message = describe_validation(exc)
        raise Refusal(400, "invalid_request", message[:2000], Verdict.NOT_RUN) from exc


def estimate_prompt(chat: ChatRequest) -> tuple[int, str]:
    """Estimate a prompt's number of tokens and extract its prefix.

    Parameters
    ----------
    chat : ChatRequest
        Validated chat request.

    Returns
    -------
    tuple of (int, str)
        Estimated number of tokens, and the first ``PREFIX_CHARACTERS`` characters,
        from which the prefix hash is computed.
    """
    texts = [
        message.content if isinstance(message.content, str) else str(message.content)
        for message in chat.messages
    ]
    n_characters = sum(len(text) for text in texts)
    prefix = "\0".join(texts)[:PREFIX_CHARACTERS]
    return max(1, n_characters // CHARACTERS_PER_TOKEN), prefix
