"""Fleet of operating system processes on loopback, for tests and benchmarks."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import yaml
from medlargate.fleet import ConfigReplica, SeedFile
from medlargate.gateway import compute_digest
from medlargate.platform import HttpStore

from .demo import HOST, find_free_port

CALLER_SECRET = "mlg-cluster-key"
OPERATOR_SECRET = "mlg-cluster-operator"
FLEET_SECRET = "cluster"
START_TIMEOUT = 30.0  # seconds, for each process


@dataclass
class Process:
    """One process of a cluster.

    Attributes
    ----------
    name : str
        Name of the node, engine, service or platform, unique within the cluster.
    port : int
        TCP port of the process's HTTP server.
    popen : subprocess.Popen
        Handle of the process.
    domain : str
        Failure domain of a node; empty for other processes.
    """

    name: str
    port: int
    popen: subprocess.Popen
    domain: str = ""

    @property
    def url(self) -> str:
        """Base URL of the process's HTTP server."""
        return f"http://{HOST}:{self.port}"

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)


@dataclass
class Cluster:
    """Simulated platform, engines and plain services, and real nodes, as processes.

    Attributes
    ----------
    n_nodes, n_engines, n_services : int
        Number of nodes, engines and plain services to start.
    domains : list of str
        Failure domains, assigned in turn to nodes, engines and services.
    engine_options : list of str
        Command-line options of the engines.
    node_options : dict of str to dict
        Settings of every node that replace the defaults, by section.
    platform : Process or None
        Process of the simulated platform; None before ``start``.
    engines, services, nodes : list of Process
        Started processes.
    """

    n_nodes: int = 7
    n_engines: int = 4
    n_services: int = 2
    domains: list[str] = field(default_factory=lambda: ["fd-a", "fd-b", "fd-c", "fd-d"])
    engine_options: list[str] = field(default_factory=list)
    node_options: dict[str, dict[str, Any]] = field(default_factory=dict)
    platform: Process | None = None
    engines: list[Process] = field(default_factory=list)
    services: list[Process] = field(default_factory=list)
    nodes: list[Process] = field(default_factory=list)
    _directory: tempfile.TemporaryDirectory | None = None

    async def start(self) -> None:
        """Start all processes and wait until the nodes are ready."""
        self._directory = tempfile.TemporaryDirectory()
        self.platform = self._start_standin("platform", "platform")
        self.engines = [
            self._start_standin("engine", f"engine-{i}", *self.engine_options)
            for i in range(self.n_engines)
        ]
        self.services = [
            self._start_standin("service", f"service-{i}")
            for i in range(self.n_services)
        ]
        async with aiohttp.ClientSession() as session:
            for process in (self.platform, *self.engines, *self.services):
                path = "/v1/vms" if process is self.platform else "/standin/stats"
                await wait_until_ok(session, process.url + path)
            await self._write_initial_config()
            for index in range(self.n_nodes):
                await self.start_node(session, index)
            for node in self.nodes:
                await wait_until_ok(session, node.url + "/readyz")

    def _start_standin(self, kind: str, name: str, *options: str) -> Process:
        port = find_free_port()
        command = [sys.executable, "-m", "medlargate_standins", kind]
        popen = self._spawn([*command, "--port", str(port), *options], name)
        return Process(name, port, popen)

    def _spawn(self, command: list[str], name: str) -> subprocess.Popen:
        assert self._directory is not None
        path = Path(self._directory.name) / f"{name}.log"
        with path.open("ab") as logs:
            return subprocess.Popen(command, stdout=logs, stderr=logs)

    def make_seed_file(self) -> SeedFile:
        """Create the fleet's initial configuration."""
        backends: dict[str, Any] = {}
        for index, engine in enumerate(self.engines):
            backends[engine.name] = {
                "address": HOST,
                "port": engine.port,
                "pools": ["model"],
                "failure_domain": self.domains[index % len(self.domains)],
            }
        for index, service in enumerate(self.services):
            backends[service.name] = {
                "address": HOST,
                "port": service.port,
                "pools": ["booking"],
                "kind": "plain",
                "max_concurrency": 200,
                "failure_domain": self.domains[index % len(self.domains)],
            }
        plain = {"kind": "plain", "request_class": "interactive", "pool": "booking"}
        targets = {"first_token": 30.0, "token_interval": 0.5}
        return SeedFile.model_validate(
            {
                "customers": {"caller": {}},
                "keys": {
                    "caller-key": {
                        "customer": "caller",
                        "digest": compute_digest(CALLER_SECRET),
                    },
                    "operator-key": {
                        "digest": compute_digest(OPERATOR_SECRET),
                        "role": "write",
                    },
                },
                "classes": {
                    "interactive": {"tier": 0, **targets},
                    "batch": {"tier": 3, **targets},
                },
                "routes": {
                    "chat": {"request_class": "interactive", "pool": "model"},
                    "summary": {"request_class": "batch", "pool": "model"},
                    "lookup": plain,
                    "bookings": {**plain, "repeatable": False},
                    "public": {**plain, "open": True},
                },
                "backends": backends,
            }
        )

    async def _write_initial_config(self) -> None:
        assert self.platform is not None
        store = HttpStore(self.platform.url)
        replica = ConfigReplica(time.monotonic)
        operations = self.make_seed_file().make_operations()
        (await replica.commit(store, operations, change_id="seed")).unwrap()
        await store.close()

    def _write_settings(self, name: str, port: int, domain: str) -> Path:
        assert self._directory is not None and self.platform is not None
        settings: dict[str, Any] = {
            "node": {
                "name": name,
                "failure_domain": domain,
                "address": HOST,
                "port": port,
                "fleet_secret": FLEET_SECRET,
            },
            "platform": {"address": HOST, "port": self.platform.port},
            "stop": {"balancer_delay": 3.0},
            "fleet": {"usage_window": 5.0, "usage_flush_interval": 1.0},
            "log": {"level": "WARNING"},
        }
        for section, values in self.node_options.items():
            settings.setdefault(section, {}).update(values)
        path = Path(self._directory.name) / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    async def start_node(self, session: aiohttp.ClientSession, index: int) -> Process:
        """Start one node and add it to the platform's list of VMs."""
        assert self.platform is not None
        name = f"node-{index}"
        domain = self.domains[index % len(self.domains)]
        port = find_free_port()
        path = self._write_settings(name, port, domain)
        command = [sys.executable, "-m", "medlargate", "serve", str(path)]
        node = Process(name, port, self._spawn(command, name), domain)
        vm = {"name": name, "address": HOST, "port": port, "failure_domain": domain}
        async with session.post(self.platform.url + "/v1/vms", json=vm):
            self.nodes.append(node)
        return node

    async def read_stats(self, process: Process) -> dict[str, Any]:
        """Fetch the counters of a simulated server."""
        url = process.url + "/standin/stats"
        async with aiohttp.ClientSession() as session, session.get(url) as resp:
            return await resp.json()

    async def set_fault(self, process: Process, **fault: Any) -> None:
        """Configure the fault injection of a simulated server."""
        url = process.url + "/standin/fault"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=fault) as resp,
        ):
            await resp.read()

    def close(self) -> None:
        """Kill all processes of the cluster, also stopped ones, and wait for them."""
        processes = [*self.nodes, *self.engines, *self.services]
        if self.platform is not None:
            processes.append(self.platform)
        for process in processes:
            if process.popen.poll() is None:
                os.kill(process.popen.pid, signal.SIGCONT)
                process.popen.kill()
        for process in processes:
            process.popen.wait(10)
        if self._directory is not None:
            self._directory.cleanup()


async def wait_until_ok(session: aiohttp.ClientSession, url: str) -> None:
    """Poll a URL until it returns 200, for at most ``START_TIMEOUT``."""
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        try:
            async with session.get(url) as resp:
                if resp.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError(url)


async def ask_operator(session: aiohttp.ClientSession, node: Process, text: str) -> Any:
    """Execute an operator's statement on a node and return the decoded response."""
    headers = {"Authorization": f"Bearer {OPERATOR_SECRET}"}
    url = node.url + "/operator"
    body = json.dumps({"statement": text})
    async with session.post(url, data=body, headers=headers) as resp:
        return await resp.json()
