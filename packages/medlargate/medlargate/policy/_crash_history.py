"""Requests that crash the servers that begin to run them.

Answers the load pattern of one such request that comes again and again at any node:
each run costs a server and every other request on it. A crash is told from a lost
answer by whether the server can still be reached.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

# Crashes after which a request is not run any more. Several requests run where a
# server crashes by itself, so that one or two marks say little.
MAX_CRASHES = 3
MAX_MARKS = 1_000  # requests remembered
MAX_TOLD = 20  # latest marks that a node tells its peers


def make_request_digest(route: str, customer: str, target: str, body: bytes) -> str:
    """Name a request by what stays the same when it comes again.

    Parameters
    ----------
    route, customer, target : str
        Its route, its customer and its path with query.
    body : bytes
        The whole body.

    Returns
    -------
    str
        Sixteen hexadecimal digits.
    """
    digest = xxhash.xxh64(f"{route}\0{customer}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


@dataclass
class CrashHistory:
    """Servers that crashed while they ran a request, by the request's mark.

    Examples
    --------
    >>> marks = CrashHistory()
    >>> for server in ("a", "b", "c"):
    ...     marks.observe_crash("m", server)
    >>> marks.is_blocked("m"), marks.is_blocked("other")
    (True, False)
    """

    _servers: OrderedDict[str, set[str]] = field(default_factory=OrderedDict)

    def observe_crash(self, mark: str, server_id: str) -> None:
        """Take in that a server crashed on a request.

        Parameters
        ----------
        mark : str
            The request.
        server_id : str
            The server; a restarted one has another identity.
        """
        self._servers.setdefault(mark, set()).add(server_id)
        self._servers.move_to_end(mark)
        while len(self._servers) > MAX_MARKS:
            self._servers.popitem(last=False)

    def merge(self, marks: Mapping[str, Iterable[str]]) -> None:
        """Take in a peer's marks.

        Parameters
        ----------
        marks : mapping of str to iterable of str
            Servers by request.
        """
        for mark, servers in marks.items():
            for server_id in servers:
                if server_id not in self._servers.get(mark, ()):
                    self.observe_crash(mark, server_id)

    def is_blocked(self, mark: str) -> bool:
        """Tell whether a request must not be run any more.

        Parameters
        ----------
        mark : str
            The request.

        Returns
        -------
        bool
            True once it has crashed ``MAX_CRASHES`` servers.
        """
        return len(self._servers.get(mark, ())) >= MAX_CRASHES

    def snapshot(self) -> dict[str, list[str]]:
        """Report the latest marks for peers.

        Returns
        -------
        dict of str to list of str
            Servers by request.
        """
        latest = list(self._servers.items())[-MAX_TOLD:]
        return {mark: sorted(servers) for mark, servers in latest}
