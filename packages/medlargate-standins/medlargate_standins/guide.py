"""The operators' guide: its commands are run, their output is what it shows.

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

SECRET = re.compile(r"mlg-[A-Za-z0-9_-]{20,}")
CTL = [sys.executable, "-m", "medlargate_ctl"]


@dataclass(frozen=True)
class Step:
    """One step of the guide.

    Attributes
    ----------
    text : str
        What the step is for.
    statement : str
        For ``medlargatectl``; empty for a request.
    request : str
        Variable with the key of a chat request; empty for a statement.
    status : int
        Expected HTTP status of a request.
    """

    text: str
    statement: str = ""
    request: str = ""
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
    Step("Send a request with the new key.", request="ACME_KEY"),
    Step("Ask why it went where it went.", "explain request $REQUEST"),
    Step("See how the class does.", "show classes where name = standard"),
    Step("Drain a backend server; new work goes elsewhere.", "drain backend engine-1"),
    Step("Ask why it gets no work.", "explain backend engine-1"),
    Step("Take it back.", "undrain backend engine-1"),
    Step("Withdraw the key.", "withdraw key acme-key"),
    Step("The next request with it is refused.", request="ACME_KEY", status=401),
)


@dataclass(frozen=True)
class Done:
    """A step that was run.

    Attributes
    ----------
    step : Step
        The step.
    command, output : str
        What was run and what it printed, secrets hidden.
    ok : bool
        It ended as expected.
    """

    step: Step
    command: str
    output: str
    ok: bool


def run_guide() -> list[Done]:
    """Run every step against a fresh demo.

    Returns
    -------
    list of Done
        One for each step.
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
        names = {"ADDRESS": first["address"]}
        return [_run_step(step, env, names) for step in STEPS]
    finally:
        demo.terminate()
        demo.wait(20)
        if demo.stdout is not None:
            demo.stdout.close()


def _run_step(step: Step, env: dict[str, str], names: dict[str, str]) -> Done:
    if step.request:
        return _run_request(step, names)
    statement = step.statement.replace("$REQUEST", names.get("REQUEST", ""))
    done = subprocess.run(
        [*CTL, statement], env=env, capture_output=True, text=True, timeout=30
    )
    found = SECRET.search(done.stdout)
    if found is not None:
        names["ACME_KEY"] = found.group()
    output = SECRET.sub("mlg-…", done.stdout + done.stderr)
    command = f'medlargatectl "{step.statement}"'
    return Done(step, command, output, done.returncode == 0)


def _run_request(step: Step, names: dict[str, str]) -> Done:
    import urllib.error
    import urllib.request

    body = {
        "model": "acme-chat",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 3,
    }
    req = urllib.request.Request(
        names["ADDRESS"] + "/v1/chat/completions",
        json.dumps(body).encode(),
        {"Authorization": f"Bearer {names[step.request]}"},
    )
    time.sleep(0.2)
    try:
        with urllib.request.urlopen(req, timeout=20) as resp:
            status, headers, raw = resp.status, resp.headers, resp.read()
    except urllib.error.HTTPError as exc:
        status, headers, raw = exc.code, exc.headers, exc.read()
    names["REQUEST"] = headers["Medlargate-Request"]
    lines = (
        f"HTTP {status}",
        f"Medlargate-Run: {headers['Medlargate-Run']}",
        f"Medlargate-Request: {headers['Medlargate-Request']}",
        raw.decode(),
    )
    command = (
        "curl -i $ADDRESS/v1/chat/completions "
        f"-H \"Authorization: Bearer ${step.request}\" -d '{json.dumps(body)}'"
    )
    return Done(step, command, "\n".join(lines) + "\n", status == step.status)


def main() -> None:
    """Print the guide."""
    print("# Operators' guide\n")
    print(
        "Every output below is from a run against `make run`. Put the address and the"
    )
    print("operator's key of the demo's first line into MEDLARGATE_ADDRESS and")
    print("MEDLARGATE_OPERATOR_KEY.\n")
    for done in run_guide():
        print(f"{done.step.text}\n\n```\n$ {done.command}\n{done.output}```\n")


if __name__ == "__main__":
    main()
