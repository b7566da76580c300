"""Replicates versioned facts among daemons by gossip, in messages of bounded size.

Each fact has a key and a version; a higher version replaces a lower one, so the
order and number of deliveries do not matter. A new fact is sent in a number of
messages that is logarithmic in the number of members. Every message carries a
digest of each bucket of facts, and peers whose digests of a bucket differ send its
facts (anti-entropy), so that a member that missed a fact gets it later.

Load reports, which state a daemon's load on each endpoint, change too often for
anti-entropy. They are left out of the digests and get a small part of each message,
the least sent first; the next report makes up for a lost one.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil, log2
from typing import TYPE_CHECKING, Annotated

import msgspec

from amaranthhollow.decoding import Label, Number

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

__all__ = [
    "BUCKET_COUNT",
    "LOAD_FACT",
    "STORE_ERA_FACT",
    "Fact",
    "GossipMessage",
    "GossipTable",
    "PeerRotation",
    "Version",
]

BUCKET_COUNT = 16
LOAD_FACT = "load"
STORE_ERA_FACT = "store-era"
MAX_LOAD_BYTES = 256
MAX_MESSAGE_BYTES = 4096
MESSAGE_OVERHEAD_BYTES = BUCKET_COUNT * 8 + 64
FACT_OVERHEAD_BYTES = 24
RETRANSMIT_MULTIPLIER = 2
MAX_REMOVED_VERSIONS = 4096
# A fact has to fit in a message, since no other is sent before it.
MAX_NAME_LENGTH = 512
MAX_VALUE_BYTES = 2048
LOST_PEER_RETRY_PROBABILITY = 0.1

Bucket = Annotated[int, msgspec.Meta(ge=0, lt=BUCKET_COUNT)]


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Version of a fact, ordered by incarnation and then by sequence number."""

    incarnation: Number
    sequence: Number = 0


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One versioned value; ``kind`` determines the encoding of ``value``."""

    kind: Label
    name: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    version: Version
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]

    @property
    def key(self) -> tuple[str, str]:
        """Key of the fact, the same for all its versions."""
        return (self.kind, self.name)

    @property
    def size(self) -> int:
        """Upper bound of the encoded size in bytes."""
        return len(self.name) + len(self.value) + FACT_OVERHEAD_BYTES


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """A message of a gossip exchange: facts, and a digest of each bucket.

    ``differing`` lists the buckets for which the digests of sender and receiver
    differ; the receiver replies with facts of these buckets.
    """

    sender: Label
    facts: tuple[Fact, ...]
    digests: Annotated[
        tuple[int, ...], msgspec.Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)
    ]
    differing: tuple[Bucket, ...] = ()


class GossipTable:
    """The facts known to one daemon, and how often each is still to be sent."""

    def __init__(self, host: str) -> None:
        """Create an empty table for the daemon on ``host``."""
        self._host = host
        self._facts_by_key: dict[tuple[str, str], Fact] = {}
        self._digests = [0] * BUCKET_COUNT
        self._keys_by_bucket: list[dict[tuple[str, str], None]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._transmissions_left_by_key: dict[tuple[str, str], int] = {}
        self._cursors = [0] * BUCKET_COUNT
        self._removed_versions_by_key: dict[tuple[str, str], Version] = {}

    def __len__(self) -> int:
        """Return the number of facts."""
        return len(self._facts_by_key)

    def get(self, kind: str, name: str) -> Fact | None:
        """Return the newest known version of a fact."""
        return self._facts_by_key.get((kind, name))

    def facts_of_kind(self, kind: str) -> list[Fact]:
        """Return all facts of a kind."""
        return [f for f in self._facts_by_key.values() if f.kind == kind]

    def merge(self, facts: Iterable[Fact], member_count: int) -> list[Fact]:
        """Store facts that are newer than the known ones, and return these."""
        new_facts = []
        for fact in facts:
            known = self._facts_by_key.get(fact.key)
            if known is not None and known.version >= fact.version:
                continue
            removed_version = self._removed_versions_by_key.get(fact.key)
            if removed_version is not None and removed_version >= fact.version:
                continue
            self._store(fact, known)
            self._transmissions_left_by_key[fact.key] = transmission_count(member_count)
            new_facts.append(fact)
        return new_facts

    def remove(self, kind: str, name: str) -> None:
        """Remove a fact that no daemon needs any more.

        Its version is kept, since peers that remove it later may still send it.
        """
        fact = self._facts_by_key.pop((kind, name), None)
        if fact is not None:
            self._removed_versions_by_key[fact.key] = fact.version
            if len(self._removed_versions_by_key) > MAX_REMOVED_VERSIONS:
                del self._removed_versions_by_key[
                    next(iter(self._removed_versions_by_key))
                ]
            self._transmissions_left_by_key.pop(fact.key, None)
            if fact.kind != LOAD_FACT:
                bucket = _bucket_of(fact.key)
                self._digests[bucket] ^= _hash(fact)
                self._keys_by_bucket[bucket].pop(fact.key)

    def compose_message(self, received: GossipMessage | None = None) -> GossipMessage:
        """Return the next message, or the reply to ``received`` if that is set."""
        differing: tuple[int, ...] = ()
        requested_buckets: tuple[int, ...] = ()
        if received is not None:
            differing = tuple(
                bucket
                for bucket, (ours, theirs) in enumerate(
                    zip(self._digests, received.digests, strict=True)
                )
                if ours != theirs
            )
            requested_buckets = received.differing or differing
        facts = self._select_facts(requested_buckets)
        return GossipMessage(self._host, facts, tuple(self._digests), differing)

    def _store(self, fact: Fact, known: Fact | None) -> None:
        self._facts_by_key[fact.key] = fact
        if fact.kind == LOAD_FACT:
            return
        bucket = _bucket_of(fact.key)
        if known is not None:
            self._digests[bucket] ^= _hash(known)
        self._digests[bucket] ^= _hash(fact)
        self._keys_by_bucket[bucket][fact.key] = None

    def _select_facts(self, requested_buckets: tuple[int, ...]) -> tuple[Fact, ...]:
        """Select facts that fit: those still to be sent, then requested buckets."""
        chosen: dict[tuple[str, str], Fact] = {}
        transmissions_left = self._transmissions_left_by_key
        load_keys = [key for key in transmissions_left if key[0] == LOAD_FACT]
        other_keys = [key for key in transmissions_left if key[0] != LOAD_FACT]
        free_bytes = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES - MAX_LOAD_BYTES
        self._choose_least_sent(load_keys, chosen, MAX_LOAD_BYTES)
        free_bytes = self._choose_least_sent(other_keys, chosen, free_bytes)
        for key in [key for key, count in transmissions_left.items() if count <= 0]:
            del transmissions_left[key]
        for bucket in requested_buckets:
            free_bytes = self._add_from_bucket(bucket, chosen, free_bytes)
        return tuple(chosen.values())

    def _choose_least_sent(
        self,
        keys: list[tuple[str, str]],
        chosen: dict[tuple[str, str], Fact],
        free_bytes: int,
    ) -> int:
        """Add the least sent facts of ``keys``, and return the remaining bytes."""
        transmissions_left = self._transmissions_left_by_key
        for key in sorted(keys, key=transmissions_left.__getitem__, reverse=True):
            fact = self._facts_by_key[key]
            if fact.size > free_bytes:
                break
            free_bytes -= fact.size
            chosen[key] = fact
            transmissions_left[key] -= 1
        return free_bytes

    def _add_from_bucket(
        self, bucket: int, chosen: dict[tuple[str, str], Fact], free_bytes: int
    ) -> int:
        """Add facts of a bucket, starting where the previous message stopped.

        Returns the remaining bytes; 0 if a fact did not fit.
        """
        keys = list(self._keys_by_bucket[bucket])
        start = self._cursors[bucket]
        for offset in range(len(keys)):
            key = keys[(start + offset) % len(keys)]
            fact = self._facts_by_key[key]
            if key in chosen:
                continue
            if fact.size > free_bytes:
                self._cursors[bucket] = (start + offset) % len(keys)
                return 0
            free_bytes -= fact.size
            chosen[key] = fact
        return free_bytes


def transmission_count(member_count: int) -> int:
    """Return how often a daemon sends a new fact among ``member_count`` members."""
    return RETRANSMIT_MULTIPLIER * max(1, ceil(log2(member_count + 1)))


def select_peers(
    members: list[str], count: int, random_index: Callable[[int], int]
) -> list[str]:
    """Select up to ``count`` distinct members; ``random_index(n)`` is below ``n``."""
    pool = list(members)
    chosen = []
    while pool and len(chosen) < count:
        chosen.append(pool.pop(random_index(len(pool))))
    return chosen


class PeerRotation:
    """Selects peers in random order, each once before any is selected again.

    Example: with 58 peers and 12 per round, a pass over all peers takes five rounds.
    """

    def __init__(self, random: Random) -> None:
        """Shuffle the peers with ``random``."""
        self._random = random
        self._remaining: list[str] = []

    def select(self, peers: list[str], count: int) -> list[str]:
        """Select up to ``count`` distinct peers; ``peers`` may differ between calls."""
        chosen: list[str] = []
        while len(chosen) < min(count, len(peers)):
            if not self._remaining:
                self._remaining = list(peers)
                self._random.shuffle(self._remaining)
            peer = self._remaining.pop()
            if peer in peers and peer not in chosen:
                chosen.append(peer)
        return chosen


def select_exchange_peers(
    peers: list[str], lost_peers: list[str], fanout: int, random: Random
) -> list[str]:
    """Select peers for the next exchange, and occasionally a lost one.

    After a network partition each side marks the daemons of the other as lost; only
    an exchange with one of them detects that the partition has ended.
    """
    chosen = select_peers(peers, fanout, random.randrange)
    if lost_peers and random.random() < LOST_PEER_RETRY_PROBABILITY:
        chosen.append(random.choice(lost_peers))
    return chosen


def _bucket_of(key: tuple[str, str]) -> int:
    return blake2b("\0".join(key).encode(), digest_size=2).digest()[0] % BUCKET_COUNT


def _hash(fact: Fact) -> int:
    content = msgspec.msgpack.encode(fact)
    return int.from_bytes(blake2b(content, digest_size=7).digest(), "big")
