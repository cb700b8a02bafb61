"""Failure domains to which operators want nothing more to be sent."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..platform import EVACUATIONS_PREFIX, Change, Entry

log = logging.getLogger(__name__)

# A failure domain's name in a status message is bounded like any other label.
MAX_DOMAINS = 256


@dataclass
class Evacuations:
    """Evacuated failure domains, as complete as the store was at one revision.

    State with a larger revision replaces state with a smaller one. A deleted key is
    missing from it, so that peers need no record of deletions.

    Attributes
    ----------
    revision : int
        Store revision up to which the domains are known; 0 before the first read.
    domains : frozenset of str
        Evacuated failure domains.
    """

    revision: int = 0
    domains: frozenset[str] = field(default_factory=frozenset)

    def replace(
        self, domains: Iterable[str], revision: int
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Take over the domains known at a revision unless newer ones are known.

        Parameters
        ----------
        domains : iterable of str
            All evacuated failure domains at that revision.
        revision : int
            Revision of the store.

        Returns
        -------
        tuple of (frozenset of str, frozenset of str)
            Domains whose evacuation began, and those whose evacuation ended.
        """
        if revision <= self.revision:
            return frozenset(), frozenset()
        before = self.domains
        self.domains = frozenset(sorted(filter(None, domains))[:MAX_DOMAINS])
        self.revision = revision
        begun, ended = self.domains - before, before - self.domains
        for domain in sorted(begun):
            log.warning(
                "failure domain evacuated",
                extra={"domain": domain, "revision": revision},
            )
        for domain in sorted(ended):
            log.warning(
                "evacuation of a failure domain ended",
                extra={"domain": domain, "revision": revision},
            )
        return begun, ended

    def apply(self, changes: Iterable[Change]) -> frozenset[str]:
        """Return the domains after changes, without those that are older than this.

        Parameters
        ----------
        changes : iterable of Change
            Changes of any keys, in the order of their revisions.

        Returns
        -------
        frozenset of str
            Evacuated failure domains after the changes.
        """
        domains = set(self.domains)
        for change in changes:
            domain = _get_domain(change.key)
            if domain and change.revision > self.revision:
                (domains.discard if change.entry is None else domains.add)(domain)
        return frozenset(domains)


def list_evacuated(entries: Iterable[Entry]) -> frozenset[str]:
    """Return the failure domains that the store's entries evacuate."""
    return frozenset(filter(None, (_get_domain(it.key) for it in entries)))


def _get_domain(key: str) -> str:
    if not key.startswith(EVACUATIONS_PREFIX):
        return ""
    return key.removeprefix(EVACUATIONS_PREFIX)
