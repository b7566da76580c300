"""Configuration revisions: their stored form, and which one is in force.

The head names the newest accepted revision. Bodies are immutable and named by a
digest of their content, so a body may be fetched from the service or any peer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import islice
from typing import Any

import msgspec

from amaranthhollow.configuration.model import Configuration
from amaranthhollow.configuration.overlay import site_configuration
from amaranthhollow.decisions.rendezvous import ranked

__all__ = [
    "CONFIGURATION_FACT",
    "AcceptedRevision",
    "AppliedConfiguration",
    "RevisionBody",
    "HeadEntry",
    "RevisionHead",
    "body_matches",
    "change_id_of",
    "decode_body",
    "decode_revision_head",
    "encode_json",
    "is_watcher",
]

CONFIGURATION_FACT = "configuration"
CHANGE_ID_BYTES = 12
WATCHER_COUNT = 3


class RevisionBody(msgspec.Struct, frozen=True):
    """The full configuration of one revision: base and overlays as submitted.

    ``nonce`` gives each submission its own change id, even for equal content.
    """

    base: dict[str, Any]
    overlays_by_site: dict[str, dict[str, Any]]
    author: str
    note: str
    nonce: str


class HeadEntry(msgspec.Struct, frozen=True):
    """One accepted revision; ``accepted_at`` is in seconds since the Unix epoch."""

    revision: int
    change_id: str
    author: str
    note: str
    accepted_at: float


class RevisionHead(msgspec.Struct, frozen=True):
    """The recent revisions, newest last; written with compare-and-swap."""

    entries: tuple[HeadEntry, ...] = ()

    @property
    def revision(self) -> int:
        """Number of the newest revision; 0 if there is none."""
        return self.entries[-1].revision if self.entries else 0

    @property
    def newest(self) -> HeadEntry | None:
        """The newest entry, or None if there is none."""
        return self.entries[-1] if self.entries else None

    def find_change(self, change_id: str) -> HeadEntry | None:
        """Return the entry of a change, or None if it was not accepted."""
        for entry in self.entries:
            if entry.change_id == change_id:
                return entry
        return None

    def entries_after(self, revision: int) -> tuple[HeadEntry, ...]:
        """Return the entries of the revisions after ``revision``."""
        return tuple(entry for entry in self.entries if entry.revision > revision)


class AcceptedRevision(msgspec.Struct, frozen=True):
    """An accepted revision, as the command-line tool pushes it to daemons."""

    entry: HeadEntry
    body: bytes


@dataclass(frozen=True)
class AppliedConfiguration:
    """The revision in force at one daemon; its number never decreases."""

    revision: int = 0
    change_id: str = ""
    configuration: Configuration = field(default_factory=Configuration)

    def is_at_least(self, entry: HeadEntry) -> bool:
        """Whether the revision in force is the one of ``entry`` or a newer one."""
        return entry.revision <= self.revision

    def advanced_to(
        self, entry: HeadEntry, body: RevisionBody, site: str
    ) -> AppliedConfiguration:
        """Return the state with ``entry`` in force if it is newer, else this state."""
        if self.is_at_least(entry):
            return self
        overlay = body.overlays_by_site.get(site, {})
        configuration = site_configuration(body.base, overlay)
        return AppliedConfiguration(entry.revision, entry.change_id, configuration)


def is_watcher(host: str, members: list[str]) -> bool:
    """Whether ``host`` is one of the members that watch the service for revisions.

    A waiting watch counts as a call, so the other members get revisions by gossip.
    """
    return host in islice(ranked(CONFIGURATION_FACT, members), WATCHER_COUNT)


def encode_json(value: RevisionBody | RevisionHead | HeadEntry) -> bytes:
    """Return ``value`` as JSON."""
    return msgspec.json.encode(value)


def decode_body(content: bytes) -> RevisionBody:
    """Decode a body; raises ``msgspec.MsgspecError`` if ``content`` is not one."""
    return msgspec.json.decode(content, type=RevisionBody)


def decode_revision_head(content: bytes) -> RevisionHead:
    """Decode a head; empty ``content`` is a head without entries.

    Raises ``msgspec.MsgspecError`` if ``content`` is no head.
    """
    return (
        msgspec.json.decode(content, type=RevisionHead) if content else RevisionHead()
    )


def change_id_of(content: bytes) -> str:
    """Return the change id of an encoded body, a digest of it."""
    return blake2b(content, digest_size=CHANGE_ID_BYTES).hexdigest()


def body_matches(content: bytes, change_id: str) -> bool:
    """Whether ``content`` is the encoded body of the change ``change_id``."""
    return change_id_of(content) == change_id
