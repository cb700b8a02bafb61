"""Relay testbed with a TCP link between each node and each backend server."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from medlargate.routing import Registration

from .demo import HOST
from .relay_testbed import RelayTestbed
from .soak._link import Link


class LinkedTestbed(RelayTestbed):
    """Testbed in which single nodes can lose the servers.

    Attributes
    ----------
    links : list of dict of str to Link
        For each node, its links by server id; empty before ``add_links``.
    """

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.links: list[dict[str, Link]] = []

    async def add_links(self) -> None:
        """Start the links and let each node use them as the servers' addresses."""
        for node in self.nodes:
            links = {}
            for server_id, backend in self.backends.items():
                links[server_id] = Link(backend.port)
                await links[server_id].start()
            self.links.append(links)
            state = node.cluster_state
            state.decode_registration = _redirect(state.decode_registration, links)
        for backend in self.backends.values():
            self.register(backend)
        async with asyncio.timeout(5):
            for node, links in zip(self.nodes, self.links, strict=True):
                while any(
                    it.port != links[it.server_id].port
                    for it in node.cluster_state.servers.values()
                ):
                    await asyncio.sleep(0.01)

    def set_link_mode(self, node: int, mode: str) -> None:
        """Set the mode of all links of a node, given by index."""
        for link in self.links[node].values():
            link.set_mode(mode)

    async def close(self) -> None:
        """Stop the testbed and the links."""
        await super().close()
        for links in self.links:
            for link in links.values():
                await link.close()


def _redirect(decode: Any, links: dict[str, Link]) -> Any:
    """Return a decoder of registrations that replaces addresses by those of links."""

    def decode_redirected(key: str, value: bytes, revision: int) -> Any:
        def redirect(server: Registration) -> Registration:
            port = links[server.server_id].port
            return replace(server, address=f"{HOST}:{port}", port=port)

        return decode(key, value, revision).map(redirect)

    return decode_redirected
