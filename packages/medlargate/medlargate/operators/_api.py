"""HTTP endpoint that executes operators' statements."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..fleet import ConfigError
from ..policy import Refusal, Verdict
from ._commands import make_change, make_precondition
from ._explain import explain_backend, explain_group, explain_request
from ._parser import MAX_STATEMENT_LENGTH, parse_statement
from ._statements import Command, Explain, Help, Show, StatementError
from ._tables import make_rows, merge_rows, select_rows

if TYPE_CHECKING:
    from ..gateway._node import Node

MAX_BODY_BYTES = 20_000
POLL_INTERVAL = 0.2  # seconds between checks whether a change is in force
MAX_WAIT = 60.0  # seconds to wait for a change to be in force
HELP = """\
show TABLE [where FIELD OP VALUE [and ...]] [order by FIELD [asc|desc]] [limit N]
    [as table|json]
    TABLE: customers keys classes tiers routes backends nodes domains leases windows
           quarantine pools events;  OP: = != < <= > >= ~ (contains)
explain request|customer|class|backend NAME
create customer|key|class|route|backend NAME [FIELD = VALUE, ...] [dry run]
change KIND NAME FIELD = VALUE, ... [dry run]
delete KIND NAME [dry run]        withdraw key NAME
drain backend|domain NAME         undrain backend|domain NAME
lift quarantine FINGERPRINT"""


class StatementBody(BaseModel):
    """Body of a request to ``/operator``."""

    model_config = ConfigDict(extra="forbid")
    statement: str
    change_id: str = Field("", max_length=100)
    wait: float = Field(0.0, ge=0, le=MAX_WAIT, description="seconds")


def _make_json_response(body: dict[str, Any], status: int = 200) -> Response:
    return Response(
        orjson.dumps(body, option=orjson.OPT_NON_STR_KEYS),
        status,
        media_type="application/json",
    )


def make_operator_routes(
    node: Node, authenticate, make_refusal, hash_secret
) -> list[Route]:
    """Make the operators' endpoint and the endpoint that nodes use to query each other.

    Parameters
    ----------
    node : Node
        The node that serves the endpoints.
    authenticate : callable
        Returns the operator key for a configuration and request headers; raises
        ``Refusal``.
    make_refusal : callable
        Converts a ``Refusal`` into a response.
    hash_secret : callable
        Returns the hash of a key's secret.

    Returns
    -------
    list of starlette Route
        Routes of ``/operator`` and ``/fleet/ask``.
    """

    async def operate(req: Request) -> Response:
        try:
            caller = authenticate(node.replica.config, req.headers)
            body = StatementBody.model_validate_json(await _read_body(req))
        except Refusal as exc:
            return make_refusal(exc)
        except ValidationError as exc:
            return make_refusal(
                Refusal(400, "invalid_request", str(exc)[:500], Verdict.NOT_RUN)
            )
        try:
            statement = parse_statement(body.statement)
            answer = await _execute(node, caller, statement, body, hash_secret)
        except StatementError as exc:
            pointed = exc.format_with_caret(body.statement)
            error = {"message": exc.message, "position": exc.position}
            return _make_json_response({"error": {**error, "pointed": pointed}}, 400)
        except ConfigError as exc:
            return _make_json_response(
                {"error": {"message": str(exc), "code": "conflict"}}, 409
            )
        except Refusal as exc:
            return make_refusal(exc)
        return _make_json_response(answer)

    async def ask(req: Request) -> Response:
        if not node.is_fleet_request(req.headers):
            return _make_json_response({"error": "the fleet's secret is required"}, 403)
        table = req.query_params.get("table", "")
        if table:
            return _make_json_response({"rows": make_rows(node, table)})
        subject = req.query_params["subject"]
        name = req.query_params["name"]
        return _make_json_response({"answer": _explain_locally(node, subject, name)})

    return [
        Route("/operator", operate, methods=["POST"]),
        Route("/fleet/ask", ask),
    ]


async def _read_body(req: Request) -> bytes:
    body = bytearray()
    async for chunk in req.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            message = f"a statement has at most {MAX_STATEMENT_LENGTH} characters"
            raise Refusal(413, "body_too_large", message, Verdict.NOT_RUN)
    return bytes(body)


async def _execute(node: Node, caller, statement, body: StatementBody, hash_secret):
    match statement:
        case Help():
            return {"help": HELP}
        case Show():
            return await _show(node, statement)
        case Explain():
            return await _explain(node, statement)
        case Command():
            if caller.role != "write":
                raise Refusal(
                    403,
                    "read_only",
                    "this key is read-only; changes need a key with the role 'write'",
                    Verdict.NOT_RUN,
                )
            return await _execute_command(node, caller, statement, body, hash_secret)


async def _query_peers(node: Node, query: str) -> tuple[dict[str, Any], list[str]]:
    """Query all known peers; return answers by name and the names without one."""
    names = sorted(node.fleet.membership.peers)
    calls = [node.fleet.call_peer(n, "GET", f"/fleet/ask?{query}") for n in names]
    responses = await asyncio.gather(*calls)
    answers, unreachable = {}, []
    for name, response in zip(names, responses, strict=True):
        if response is None:
            unreachable.append(name)
        else:
            answers[name] = orjson.loads(response)
    return answers, unreachable


async def _show(node: Node, show: Show) -> dict[str, Any]:
    answers, unreachable = await _query_peers(node, f"table={show.table}")
    parts = {node.name: make_rows(node, show.table)}
    parts.update({name: answer["rows"] for name, answer in answers.items()})
    rows = select_rows(show, merge_rows(show.table, parts))
    now = node.clock()
    ages = {
        row["name"]: row["heard"]
        for row in node.fleet.membership.snapshot(now)
        if row["name"] in unreachable
    }
    return {
        "table": show.table,
        "output": show.output,
        "rows": rows,
        "nodes_heard": len(parts),
        "nodes_not_heard": ages,
        "revision": node.replica.revision,
    }


def _explain_locally(node: Node, subject: str, name: str) -> dict[str, Any] | None:
    match subject:
        case "request":
            return explain_request(node, name)
        case "customer":
            return explain_group(node, "customer", name)
        case "class":
            return explain_group(node, "request_class", name)
        case _:
            return explain_backend(node, name)


async def _explain(node: Node, explain: Explain) -> dict[str, Any]:
    query = f"subject={explain.subject}&name={explain.name}"
    answers, unreachable = await _query_peers(node, query)
    found = [_explain_locally(node, explain.subject, explain.name)]
    found += [answer["answer"] for answer in answers.values()]
    parts = [part for part in found if part is not None]
    if not parts:
        suffix = f"; no answer from: {', '.join(unreachable)}" if unreachable else ""
        message = f"no record of {explain.subject} {explain.name!r}{suffix}"
        raise StatementError(message)
    return {
        "explain": explain.subject,
        "name": explain.name,
        "output": explain.output,
        "answers": parts,
        "nodes_not_heard": unreachable,
    }


async def _execute_command(
    node: Node, caller, command: Command, body: StatementBody, hash_secret
) -> dict[str, Any]:
    replica = node.replica
    expected = replica.revision
    change = make_change(command, replica.config, hash_secret)
    if command.dry_run:
        replica.check(change.operations)
        return {
            "dry_run": True,
            "revision": expected,
            "change": _dump_operations(change),
        }
    change_id = body.change_id or secrets.token_hex(8)
    done = await node.fleet.agent.commit(
        change.operations,
        change_id=change_id,
        author=caller.key,
        precondition=make_precondition(change, replica.config),
    )
    if isinstance(done, Failure):
        error = done.failure()
        verdict = (
            "was not made" if error.verdict is Verdict.NOT_RUN else "may have been made"
        )
        raise Refusal(
            503,
            "store_unavailable",
            f"the change {change_id} {verdict}: {error.message}",
            error.verdict,
            2.0,
        )
    result = done.unwrap()
    answer: dict[str, Any] = {
        "revision": result.revision,
        "change_id": change_id,
        "accepted": result.accepted,
        "change": _dump_operations(change),
    }
    answer.update(await _wait_until_in_force(node, result.revision, body.wait))
    if change.secret:
        answer["secret"] = change.secret
    return answer


async def _wait_until_in_force(
    node: Node, revision: int, wait: float
) -> dict[str, int]:
    deadline = node.clock() + wait
    while True:
        n_nodes, n_alive = _count_nodes_in_force(node, revision)
        if n_nodes >= n_alive or node.clock() >= deadline:
            return {"in_force_on": n_nodes, "live_nodes": n_alive}
        await asyncio.sleep(POLL_INTERVAL)


def _count_nodes_in_force(node: Node, revision: int) -> tuple[int, int]:
    rows = node.fleet.membership.snapshot(node.clock())
    alive = [row for row in rows if row["state"] == "alive"]
    return sum(row["revision"] >= revision for row in alive), len(alive)


def _dump_operations(change) -> list[dict[str, Any]]:
    rows = []
    for operation in change.operations:
        row = operation.model_dump(mode="json")
        row["value"].pop("digest", None)
        rows.append(row)
    return rows
