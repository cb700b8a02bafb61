"""Error responses to callers: refusals as JSON with an execution verdict."""

from __future__ import annotations

import math

import orjson
from starlette.responses import Response

from ..policy import Refusal

RUN_HEADER = "Medlargate-Run"
REQUEST_HEADER = "Medlargate-Request"
ERROR_TYPES = {401: "authentication_error", 403: "permission_error", 429: "rate_limit"}


def make_error_body(refusal: Refusal) -> dict[str, object]:
    """Build the JSON body of an error response.

    Parameters
    ----------
    refusal : Refusal
        Refusal to report to the caller.

    Returns
    -------
    dict
        Error object in the format of the OpenAI API, with the verdict as the
        additional field ``run``.
    """
    kind = "server_error" if refusal.status >= 500 else "invalid_request_error"
    return {
        "error": {
            "message": refusal.message,
            "type": ERROR_TYPES.get(refusal.status, kind),
            "code": refusal.code,
            "run": str(refusal.verdict),
        }
    }


def make_refusal_response(refusal: Refusal, request_id: str = "") -> Response:
    """Build the HTTP response for a refusal.

    Parameters
    ----------
    refusal : Refusal
        Refusal to report to the caller.
    request_id : str, default=""
        Identifier under which the operator statement ``explain`` finds the request.

    Returns
    -------
    Response
        JSON response with the verdict in body and header.
    """
    headers = {RUN_HEADER: str(refusal.verdict)}
    if request_id:
        headers[REQUEST_HEADER] = request_id
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
        headers["retry-after-ms"] = str(max(1, math.ceil(refusal.retry_after * 1000)))
    if refusal.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return Response(
        orjson.dumps(make_error_body(refusal)),
        refusal.status,
        headers,
        media_type="application/json",
    )
