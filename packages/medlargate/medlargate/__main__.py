"""Entry point of the command line."""

from __future__ import annotations

import sys

from ._startup_signals import hold_reload_signal


def main() -> None:
    """Run the command line."""
    if sys.argv[1:2] == ["serve"]:
        # The imports of the commands take several tenths of a second.
        hold_reload_signal()
    from ._cli import main as run_command

    run_command()


if __name__ == "__main__":
    main()
