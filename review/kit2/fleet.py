"""Runner of nodes: settings from the deploy file's template, real processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from . import http1
from .platform import Platform

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT = 20.0  # seconds until a node must be ready
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "OuterMs": 5000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 54,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "WindowS": 5,
    "UsageLateS": 10,
}


def fill_template(text: str, values: dict[str, Any]) -> str:
    """Fill the placeholders of a settings template."""

    def fill(match: re.Match[str]) -> str:
        found: Any = values
        for step in match[1].split("."):
            if isinstance(found, list):
                found = found[int(step)]
            else:
                found = found.get(step) if isinstance(found, dict) else None
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(map(str, found))
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", fill, text)


class Node:
    """One node as a process."""

    def __init__(self, fleet: Fleet, name: str, zone: str, host: str) -> None:
        self.fleet = fleet
        self.name, self.zone, self.host = name, zone, host
        self.front = (host, fleet.port)
        self.readiness = (host, fleet.port + 1)
        self.process: subprocess.Popen[bytes] | None = None
        self.n_starts = 0

    def start(self) -> None:
        """Start the process with fresh settings."""
        fleet = self.fleet
        values = {
            "NodeName": self.name,
            "Zone": self.zone,
            "Region": "region",
            "Ip": self.host,
            "Listen": {
                "Frontend": f"{self.host}:{fleet.port}",
                "Readiness": f"{self.host}:{fleet.port + 1}",
            },
            "PortRange": [fleet.port + 10, fleet.port + 25],
            "Seeds": [f"{it.host}:{fleet.port + 2}" for it in fleet.nodes[:3]],
            "Bootstrap": self.n_starts == 0,
            "Limits": {"MemoryMb": fleet.memory_mb, "MaxFds": 4100},
            "Bounds": BOUNDS,
            "Platform": {"Address": fleet.platform_address},
            "CloudApi": {
                "Address": fleet.platform_address,
                "Duties": fleet.duties,
                "DutyPerS": 50.0,
            },
        }
        self.n_starts += 1
        folder = Path(fleet.folder)
        path = folder / f"{self.name}.yaml"
        path.write_text(fill_template(fleet.template, values))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["MEDLARGATE_NODE_FILE"] = str(path)
        log = open(folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            fleet.command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    async def wait_ready(self) -> bool:
        """Wait until the node says that it is ready."""
        end = time.monotonic() + START_TIMEOUT
        while time.monotonic() < end:
            answer = await http1.call(
                self.readiness, "GET", "/readyz", {"Host": "x"}, timeout=1.0
            )
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this node started."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    def read_memory(self) -> dict[str, int]:
        """Return the memory of the process in KB by its name in the kernel."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return {}
        rows = re.findall(r"^(VmRSS|VmHWM|RssAnon):\s+(\d+) kB", text, re.MULTILINE)
        return {name: int(value) for name, value in rows}

    def read_log(self) -> list[dict[str, Any]]:
        """Return the decoded lines of the log."""
        rows = []
        path = Path(self.fleet.folder) / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                rows.append({"message": line})
        return rows


class Fleet:
    """Nodes, the platform and free loopback addresses.

    Parameters
    ----------
    n_nodes : int
        Number of nodes, spread over as many failure domains as there are.
    memory_mb : int
        Memory limit of a node that its settings state.
    duties : list of str
        Duties of the nodes.
    era : int
        Era that the store states at first.
    """

    def __init__(
        self,
        n_nodes: int,
        *,
        record: Any,
        memory_mb: int = 150,
        duties: list[str] | None = None,
        era: int = 1,
        n_zones: int = 3,
    ) -> None:
        self.prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.port = random.randint(20_000, 30_000)
        self.memory_mb = memory_mb
        self.duties = duties if duties is not None else ["metering"]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["medlargate"]
        self.command = role["run"].split(" ")
        self.template = (ROOT / role["template"]).read_text()
        self.record = record
        self.platform = Platform(era, record)
        self.platform_address = f"{self.prefix}.1:{self.port}"
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self._folder.name
        self.nodes: list[Node] = []
        for number in range(n_nodes):
            zone = f"zone-{'abcdef'[number % n_zones]}"
            host = f"{self.prefix}.{number + 11}"
            self.nodes.append(Node(self, f"edge-{number + 1}", zone, host))

    async def start(self) -> bool:
        """Start the platform and all nodes; return whether all are ready."""
        await self.platform.start(f"{self.prefix}.1", self.port)
        for node in self.nodes:
            node.start()
        return all([await node.wait_ready() for node in self.nodes])

    def write_config(self, config: dict[str, Any]) -> None:
        """Write the operator's config to the store."""
        self.platform.put("op/config", json.dumps(config).encode())

    def register(self, server_id: str, row: dict[str, Any]) -> None:
        """Write the entry of a server to the store."""
        self.platform.put(f"servers/{server_id}", json.dumps(row).encode())

    def close(self) -> None:
        """End all processes and remove the folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self._folder.cleanup()


class Record:
    """Record of a run: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line with the seconds since the begin."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def run_case(main: Any, folder: Path) -> None:
    """Run a case and exit with its status; 2 if it could not run."""
    record = Record(folder)
    with_trouble = "--without-trouble" not in sys.argv[1:]
    record(f"with the disruption: {with_trouble}")
    status = 2
    try:
        status = asyncio.run(asyncio.wait_for(main(record, with_trouble), 115))
    except Exception as exc:
        record(f"could not run: {exc!r}")
    record(f"exit status {status}")
    sys.exit(status)
