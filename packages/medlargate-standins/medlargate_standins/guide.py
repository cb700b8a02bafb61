"""Generates the operators' guide by running its commands against a demo.

Usage: ``python -m medlargate_standins.guide > docs/guide.md``.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import time
from dataclasses import dataclass

SECRET_PATTERN = re.compile(r"mlg-[A-Za-z0-9_-]{20,}")
CTL_COMMAND = [sys.executable, "-m", "medlargate_ctl"]


@dataclass(frozen=True)
class Step:
    """One step of the guide: an operator's statement or a chat request.

    Attributes
    ----------
    text : str
        Description of the step, as printed in the guide.
    statement : str
        Statement for ``medlargatectl``; empty for a chat request.
    key_variable : str
        Name of the variable that holds the API key of a chat request; empty for a
        statement.
    status : int
        Expected HTTP status of a chat request.
    """

    text: str
    statement: str = ""
    key_variable: str = ""
    status: int = 200


STEPS = (
    Step("Create a customer.", "create customer acme weight = 2"),
    Step(
        "Create a key; its secret is shown this once.",
        "create key acme-key customer = acme",
    ),
    Step(
        "Create a class with targets: first token within 2 s, 50 ms between tokens.",
        "create class standard tier = 1, first_token = 2.0, token_interval = 0.05",
    ),
    Step(
        "Create a route of that class to the model.",
        "create route acme-chat request_class = standard, pool = demo-model",
    ),
    Step("Send a request with the new key.", key_variable="ACME_KEY"),
    Step("Ask why it went where it went.", "explain request $REQUEST"),
    Step("See how the class does.", "show classes where name = standard"),
    Step("Drain a backend server; new work goes elsewhere.", "drain backend engine-1"),
    Step("Ask why it gets no work.", "explain backend engine-1"),
    Step("Take it back.", "undrain backend engine-1"),
    Step("Withdraw the key.", "withdraw key acme-key"),
    Step("The next request with it is refused.", key_variable="ACME_KEY", status=401),
)


@dataclass(frozen=True)
class StepResult:
    """Result of one step of the guide.

    Attributes
    ----------
    step : Step
        Step that was run.
    command, output : str
        Command line as printed in the guide, and its output with secrets masked.
    ok : bool
        Whether the exit status or HTTP status was as expected.
    """

    step: Step
    command: str
    output: str
    ok: bool


def run_guide() -> list[StepResult]:
    """Run all steps against a new demo process.

    Returns
    -------
    list of StepResult
        Results in the order of the steps.
    """
    command = [sys.executable, "-m", "medlargate", "demo", "--port", "0"]
    demo = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert demo.stdout is not None
        first = json.loads(demo.stdout.readline())
        env = {
            **os.environ,
            "MEDLARGATE_ADDRESS": first["address"],
            "MEDLARGATE_OPERATOR_KEY": first["operator_key"],
        }
        variables = {"ADDRESS": first["address"]}
        return [_run_step(step, env, variables) for step in STEPS]
    finally:
        demo.terminate()
        demo.wait(20)
        if demo.stdout is not None:
            demo.stdout.close()


def _run_step(step: Step, env: dict[str, str], variables: dict[str, str]) -> StepResult:
    if step.key_variable:
        return _run_request(step, variables)
    statement = step.statement.replace("$REQUEST", variables.get("REQUEST", ""))
    process = subprocess.run(
        [*CTL_COMMAND, statement], env=env, capture_output=True, text=True, timeout=30
    )
    found = SECRET_PATTERN.search(process.stdout)
    if found is not None:
        variables["ACME_KEY"] = found.group()
    output = SECRET_PATTERN.sub("mlg-…", process.stdout + process.stderr)
    command = f'medlargatectl "{step.statement}"'
    return StepResult(step, command, output, process.returncode == 0)


def _run_request(step: Step, variables: dict[str, str]) -> StepResult:
    import urllib.error
    import urllib.request

    body = {
        "model": "acme-chat",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 3,
    }
    req = urllib.request.Request(
        variables["ADDRESS"] + "/v1/chat/completions",
        json.dumps(body).encode(),
        {"Authorization": f"Bearer {variables[step.key_variable]}"},
    )
    time.sleep(0.2)
    try:
        with urllib.request.urlopen(req, timeout=20) as resp:
            status, headers, raw = resp.status, resp.headers, resp.read()
    except urllib.error.HTTPError as exc:
        status, headers, raw = exc.code, exc.headers, exc.read()
    variables["REQUEST"] = headers["Medlargate-Request"]
    lines = (
        f"HTTP {status}",
        f"Medlargate-Run: {headers['Medlargate-Run']}",
        f"Medlargate-Request: {headers['Medlargate-Request']}",
        raw.decode(),
    )
    command = (
        "curl -i $ADDRESS/v1/chat/completions "
        f"-H \"Authorization: Bearer ${step.key_variable}\" -d '{json.dumps(body)}'"
    )
    return StepResult(step, command, "\n".join(lines) + "\n", status == step.status)


def main() -> None:
    """Run all steps and print the guide as Markdown."""
    print("# Operators' guide\n")
    print(
        "Every output below is from a run against `make run`. Put the address and the"
    )
    print("operator's key of the demo's first line into MEDLARGATE_ADDRESS and")
    print("MEDLARGATE_OPERATOR_KEY.\n")
    for result in run_guide():
        print(f"{result.step.text}\n\n```\n$ {result.command}\n{result.output}```\n")


if __name__ == "__main__":
    main()
