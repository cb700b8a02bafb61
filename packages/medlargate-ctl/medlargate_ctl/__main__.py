"""Sends operators' queries and commands to a node."""

from __future__ import annotations

import click


@click.command()
@click.version_option(package_name="medlargate-ctl")
def main() -> None:
    """Query and command a fleet."""


if __name__ == "__main__":
    main()
