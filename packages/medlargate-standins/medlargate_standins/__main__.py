"""Command line that runs one simulated server per process."""

from __future__ import annotations

import asyncio
import signal

import click
from medlargate.gateway import make_server
from medlargate.telemetry import configure_logging
from starlette.types import ASGIApp

from .engine import Engine, ServiceTimes, make_engine_app
from .platform import Platform, make_platform_app
from .service import Service, make_service_app

HOST = "127.0.0.1"


@click.group()
def main() -> None:
    """Stand-ins for the platform, engines and plain services."""
    configure_logging(level="CRITICAL", node="standin")


def _run(app: ASGIApp, port: int) -> None:
    asyncio.run(_serve(app, port))


async def _serve(app: ASGIApp, port: int) -> None:
    server = make_server(app, HOST, port, drain_timeout=1.0)
    loop = asyncio.get_running_loop()

    def stop() -> None:
        server.should_exit = True
        server.force_exit = True

    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    await server.serve()


@main.command()
@click.option("--port", required=True, type=int)
def platform(port: int) -> None:
    """Key-value service, VM list, orders and usage reports."""
    _run(make_platform_app(Platform()), port)


@main.command()
@click.option("--port", required=True, type=int)
@click.option("--first-token", default=0.02, show_default=True)
@click.option("--token-interval", default=0.005, show_default=True)
@click.option("--max-concurrency", default=16, show_default=True)
def engine(
    port: int, first_token: float, token_interval: float, max_concurrency: int
) -> None:
    """Serve a model with a service-time model."""
    times = ServiceTimes(
        first_token=first_token,
        token_interval=token_interval,
        max_concurrency=max_concurrency,
    )
    _run(make_engine_app(Engine(times)), port)


@main.command()
@click.option("--port", required=True, type=int)
def service(port: int) -> None:
    """Serve a plain service that counts executions."""
    _run(make_service_app(Service()), port)


if __name__ == "__main__":
    main()
