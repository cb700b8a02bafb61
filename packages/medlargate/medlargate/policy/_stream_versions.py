"""Software versions between which a stream must not move.

Servers of several versions may serve side by side, and what they write does not fit
together: a stream goes on only at the version that began it.

Load pattern: servers of a service are replaced one after the other while nodes are
stopped or killed, so that callers take many streams up again at other nodes.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from ._shares import rank_by_hash

# A version counts after its last server is gone for as long as a caller may still take
# up a stream that it began.
VERSION_LIFETIME = 30.0  # seconds
# Ages in messages are rounded and older than their arrival. Smaller differences are
# ignored, so that nodes do not rejuvenate a version by telling each other of it.
MIN_AGE_DIFFERENCE = 1.0  # seconds
# Copies of a stream's origin that survive the loss of a node, or of the whole domain.
N_OWN_DOMAIN_KEEPERS = 2
N_OTHER_DOMAIN_KEEPERS = 1


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes
    ----------
    service : str
        Service whose server sent the first event.
    version : str
        Version of that server's software; empty if it states none.
    """

    service: str
    version: str


@dataclass
class VersionHistory:
    """Software versions that served recently, by service.

    Examples
    --------
    >>> history = VersionHistory()
    >>> history.observe_registered({"engine": {"v1", "v2"}}, now=0.0)
    >>> history.observe_registered({"engine": {"v2"}}, now=5.0)
    >>> sorted(history.list_versions("engine", now=10.0))
    ['v1', 'v2']
    >>> sorted(history.list_versions("engine", now=50.0))
    ['v2']
    """

    _registered: dict[str, frozenset[str]] = field(default_factory=dict)
    # Time at which a version was last known to serve, in seconds.
    _served_at: dict[str, dict[str, float]] = field(default_factory=dict)

    def observe_registered(
        self, versions: Mapping[str, Collection[str]], *, now: float
    ) -> None:
        """Replace the versions of the registered servers.

        Parameters
        ----------
        versions : mapping of str to collection of str
            Versions of the registered servers, by service.
        now : float
            Current time, in seconds.
        """
        for service, before in self._registered.items():
            # The versions served until this change.
            self._served_at.setdefault(service, {}).update(dict.fromkeys(before, now))
        self._registered = {name: frozenset(it) for name, it in versions.items()}

    def merge(self, ages: Mapping[str, Mapping[str, float]], *, now: float) -> None:
        """Take over what another node knows.

        Parameters
        ----------
        ages : mapping of str to mapping of str to float
            Seconds since a version served, by service and version.
        now : float
            Current time, in seconds.
        """
        for service, row in ages.items():
            known = self._served_at.setdefault(service, {})
            for version, age in row.items():
                if now - age > known.get(version, float("-inf")) + MIN_AGE_DIFFERENCE:
                    known[version] = now - age

    def list_versions(self, service: str, *, now: float) -> frozenset[str]:
        """Return the versions that serve or served within ``VERSION_LIFETIME``."""
        known = self._served_at.get(service, {})
        for version, at in list(known.items()):
            if now - at > VERSION_LIFETIME:
                del known[version]
        return self._registered.get(service, frozenset()) | known.keys()

    def is_mixed(self, service: str, *, now: float) -> bool:
        """Return whether several versions of a service serve or served recently."""
        return len(self.list_versions(service, now=now)) > 1

    def snapshot(
        self, *, now: float, min_versions: int = 2
    ) -> dict[str, dict[str, float]]:
        """Return the versions of services with several of them.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        min_versions : int, default=2
            Services with fewer versions are left out.

        Returns
        -------
        dict of str to dict of str to float
            Seconds since a version served, by service and version.
        """
        rows = {}
        for service in self._registered.keys() | self._served_at.keys():
            versions = self.list_versions(service, now=now)
            if len(versions) < min_versions:
                continue
            registered = self._registered.get(service, frozenset())
            rows[service] = {
                version: 0.0
                if version in registered
                else round(now - self._served_at[service][version], 1)
                for version in versions
            }
        return rows


def agrees_with_fleet(
    own_domain: Sequence[bool], other_domains: Sequence[bool]
) -> bool:
    """Return whether a node's registrations are those of most of the fleet.

    A node that is cut off, or that stood still, may miss servers of a new version. It
    would let a stream that began there go on at the version that it knows.

    Parameters
    ----------
    own_domain : sequence of bool
        For each other node of the failure domain, whether it has lately stated the
        same registrations.
    other_domains : sequence of bool
        The same for each other failure domain.

    Returns
    -------
    bool
        True if more than half of the nodes of this domain do, this one included, and
        at least half of the other domains.
    """
    n_own = 1 + sum(own_domain)
    return 2 * n_own > 1 + len(own_domain) and 2 * sum(other_domains) >= len(
        other_domains
    )


def choose_origin_keepers(
    request_id: str,
    *,
    own_domain: Sequence[str],
    other_domains: Sequence[str],
    representative: str | None,
) -> list[str]:
    """Choose the nodes that keep a copy of a stream's origin.

    Parameters
    ----------
    request_id : str
        Identity of the caller's attempt that began the stream.
    own_domain, other_domains : sequence of str
        Live nodes of this node's failure domain and of the others, without this node.
    representative : str or None
        Node that writes the origins of this domain to the store; None if it is this
        node.

    Returns
    -------
    list of str
        Nodes of this domain, and one of another domain. If there are too few in one
        group, the other one makes up for it.
    """
    near = rank_by_hash(request_id, sorted(own_domain))
    far = rank_by_hash(request_id, sorted(other_domains))
    n_near = min(len(near), N_OWN_DOMAIN_KEEPERS)
    n_far = N_OTHER_DOMAIN_KEEPERS + N_OWN_DOMAIN_KEEPERS - n_near
    chosen = near[:n_near] + far[:n_far]
    if representative is not None and representative not in chosen:
        chosen.append(representative)
    return chosen
