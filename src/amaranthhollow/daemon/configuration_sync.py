"""Applies accepted configuration revisions to this daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from pydantic import ValidationError
from result import Ok

from amaranthhollow.decisions.configuration import (
    RevisionHead,
    body_matches,
    decode_body,
    is_watcher,
)

if TYPE_CHECKING:
    from amaranthhollow.daemon.gossiper import Gossiper
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.configuration import HeadEntry
    from amaranthhollow.state.configuration_store import ConfigurationStore

__all__ = ["ConfigurationSync"]

WATCH_RETRY_SECONDS = 0.5
HEAD_READ_SECONDS = 5.0
MAX_CACHED_BODIES = 4

log = logbook.Logger("configuration")


class ConfigurationSync:
    """Receives revisions from the key-value service and peers; applies newer ones."""

    def __init__(self, node: Node, store: ConfigurationStore) -> None:
        """Read from ``store``; :meth:`set_gossiper` must be called before use."""
        self._node = node
        self._store = store
        self._gossiper: Gossiper | None = None
        self._bodies_by_change_id: dict[str, bytes] = {}
        self._pending: HeadEntry | None = None
        self._pending_sender = ""
        self._revision_pending = asyncio.Event()
        self._newest_head = RevisionHead()
        self._tasks: set[asyncio.Task[bool]] = set()

    def set_gossiper(self, gossiper: Gossiper) -> None:
        """Publish revisions that are read from the service through ``gossiper``."""
        self._gossiper = gossiper

    def body(self, change_id: str) -> bytes | None:
        """Return a cached body."""
        return self._bodies_by_change_id.get(change_id)

    def receive_revision(self, entry: HeadEntry, content: bytes) -> bool:
        """Publish a revision that the operators' tool pushed.

        Returns False if the body does not match the change identifier.
        """
        if not body_matches(content, entry.change_id):
            return False
        self._cache_body(entry.change_id, content)
        self._gossiper.publish_revision(entry)
        return True

    def note_revision(self, entry: HeadEntry, sender: str) -> None:
        """Record a revision reported by ``sender``, to be applied by :meth:`run`."""
        newest = self._pending.revision if self._pending else 0
        if self._node.applied.is_at_least(entry) or entry.revision <= newest:
            return
        self._pending, self._pending_sender = entry, sender
        self._revision_pending.set()

    async def run(self) -> None:
        """Apply pending revisions, until cancelled."""
        while True:
            await self._revision_pending.wait()
            if not await self._apply_pending():
                await asyncio.sleep(WATCH_RETRY_SECONDS)

    async def run_watch(self) -> None:
        """Watch the service while this daemon is one of the watchers."""
        while True:
            if self._is_watcher():
                watch_task = asyncio.create_task(self._watch())
                while self._is_watcher() and not watch_task.done():
                    await asyncio.wait({watch_task}, timeout=WATCH_RETRY_SECONDS)
                watch_task.cancel()
                await asyncio.wait({watch_task})
            await asyncio.sleep(WATCH_RETRY_SECONDS)

    async def _watch(self) -> None:
        """Publish every new head until the connection ends."""
        await self.read_head()
        async for head in self._store.watch_head():
            self._publish_head(head)

    async def run_periodic_read(self) -> None:
        """Read the head periodically, in case a watch stalls without an error."""
        while True:
            await asyncio.sleep(HEAD_READ_SECONDS * self._node.random.uniform(0.8, 1.2))
            if self._is_watcher():
                await self.read_head()

    async def read_head(self) -> bool:
        """Read and publish the newest revision; return False if the read fails."""
        head = await self._store.read_head()
        if not isinstance(head, Ok):
            return False
        if head.ok_value.revision < self._newest_head.revision:
            await self._store.restore_head(self._newest_head, self._bodies_by_change_id)
        self._publish_head(head.ok_value)
        return True

    def store_restored(self, previous_era: int, era: int) -> None:
        """Store the newest head again if the service has lost it."""
        task = asyncio.get_running_loop().create_task(self.read_head())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_watcher(self) -> bool:
        membership = self._node.membership
        return is_watcher(self._node.settings.host, membership.active_hosts)

    def _publish_head(self, head: RevisionHead) -> None:
        if head.revision > self._newest_head.revision:
            self._newest_head = head
        if head.newest is not None and self._gossiper is not None:
            self._gossiper.publish_revision(head.newest)

    async def _apply_pending(self) -> bool:
        entry = self._pending
        content = await self._fetch_body(entry, self._pending_sender)
        if content is None:
            self._node.counters.increment("configuration.fetch_failed")
            return False
        self._apply(entry, content)
        if self._pending is entry:
            self._pending = None
            self._revision_pending.clear()
        return True

    def _apply(self, entry: HeadEntry, content: bytes) -> None:
        node = self._node
        self._cache_body(entry.change_id, content)
        try:
            body = decode_body(content)
            applied = node.applied.advanced_to(entry, body, node.settings.site)
        except (msgspec.MsgspecError, ValidationError):
            node.counters.increment("configuration.rejected")
            log.error("revision {} is invalid; not applying it", entry.revision)
            return
        node.applied = applied
        node.counters.increment("configuration.applied")
        log.info("applied configuration revision {}", entry.revision)
        if node.advance("configured"):
            log.info("daemon state is {}", node.lifecycle)

    def _cache_body(self, change_id: str, content: bytes) -> None:
        """Cache a body for this daemon and its peers, and drop the oldest bodies."""
        self._bodies_by_change_id[change_id] = content
        while len(self._bodies_by_change_id) > MAX_CACHED_BODIES:
            del self._bodies_by_change_id[next(iter(self._bodies_by_change_id))]

    async def _fetch_body(self, entry: HeadEntry, sender: str) -> bytes | None:
        """Fetch a body from ``sender``, the service or any peer, in this order."""
        change_id = entry.change_id
        cached = self._bodies_by_change_id.get(change_id)
        if cached is not None:
            return cached
        content = await self._fetch_from_peer(sender, change_id) if sender else None
        if content is None:
            read = await self._store.read_body(change_id)
            content = read.ok_value if isinstance(read, Ok) else None
        for peer in self._node.membership.peers:
            if content is not None:
                break
            content = await self._fetch_from_peer(peer, change_id)
        if content is not None and body_matches(content, change_id):
            return content
        return None

    async def _fetch_from_peer(self, host: str, change_id: str) -> bytes | None:
        info = self._node.membership.info(host)
        if info is None:
            return None
        reply = await self._node.links.call(
            info.address, lambda peer: peer.fetchConfiguration(change_id)
        )
        if isinstance(reply, Ok) and reply.ok_value.body.found:
            return bytes(reply.ok_value.body.content)
        return None
