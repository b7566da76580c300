"""Spreads versioned facts among daemons in messages of bounded size.

Each fact has a key and a version; a higher version replaces a lower one, so the
order and number of deliveries do not matter. A new fact is sent on with a number
of exchanges logarithmic in the number of members. A digest of each bucket of
facts goes with every message, and peers whose digests differ send the bucket, so
that a member that missed a fact catches up.

Load reports, of what a daemon has at each endpoint, change too often for that. They are
left out of the digests and get a small part of each message, the newest first; a report
that is missed is made good by the next.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil, log2
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

__all__ = [
    "BUCKET_COUNT",
    "LOAD_FACT",
    "Fact",
    "GossipMessage",
    "GossipTable",
    "PeerRotation",
    "Version",
]

BUCKET_COUNT = 16
LOAD_FACT = "load"
MAX_LOAD_BYTES = 256
MAX_MESSAGE_BYTES = 4096
MESSAGE_OVERHEAD_BYTES = BUCKET_COUNT * 8 + 64
FACT_OVERHEAD_BYTES = 24
TRANSMIT_FACTOR = 2
MAX_FORGOTTEN = 4096
LOST_TRY_PROBABILITY = 0.1


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders the values of one fact: by incarnation, then by sequence."""

    incarnation: int
    sequence: int = 0


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One versioned value; ``kind`` says how ``value`` is encoded."""

    kind: str
    name: str
    version: Version
    value: bytes

    @property
    def key(self) -> tuple[str, str]:
        """Identify the fact among all versions of it."""
        return (self.kind, self.name)

    @property
    def size(self) -> int:
        """Bound the encoded size in bytes."""
        return len(self.name) + len(self.value) + FACT_OVERHEAD_BYTES


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """One direction of an exchange: facts, and a digest per bucket of the table.

    ``differing`` names the buckets in which the sender found the receiver's
    digests to differ, and asks for facts of these.
    """

    sender: str
    facts: tuple[Fact, ...]
    digests: tuple[int, ...]
    differing: tuple[int, ...] = ()


class GossipTable:
    """The facts that one daemon knows, and which of them are still to be sent."""

    def __init__(self, owner: str) -> None:
        """Start empty on behalf of the daemon ``owner``."""
        self._owner = owner
        self._facts_by_key: dict[tuple[str, str], Fact] = {}
        self._digests = [0] * BUCKET_COUNT
        self._keys_by_bucket: list[dict[tuple[str, str], None]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._transmissions_left_by_key: dict[tuple[str, str], int] = {}
        self._cursors = [0] * BUCKET_COUNT
        self._forgotten_by_key: dict[tuple[str, str], Version] = {}

    def __len__(self) -> int:
        """Count the facts."""
        return len(self._facts_by_key)

    def get(self, kind: str, name: str) -> Fact | None:
        """Return the newest known version of a fact."""
        return self._facts_by_key.get((kind, name))

    def facts_of_kind(self, kind: str) -> list[Fact]:
        """Return all facts of a kind."""
        return [f for f in self._facts_by_key.values() if f.kind == kind]

    def merge(self, facts: Iterable[Fact], member_count: int) -> list[Fact]:
        """Take in facts and return those that were new, to be acted on."""
        fresh = []
        for fact in facts:
            known = self._facts_by_key.get(fact.key)
            if known is not None and known.version >= fact.version:
                continue
            forgotten = self._forgotten_by_key.get(fact.key)
            if forgotten is not None and forgotten >= fact.version:
                continue
            self._store(fact, known)
            self._transmissions_left_by_key[fact.key] = transmission_count(member_count)
            fresh.append(fact)
        return fresh

    def remove(self, kind: str, name: str) -> None:
        """Forget a fact that is of no more use anywhere.

        Its version is remembered, since peers that forget it later still send it.
        """
        fact = self._facts_by_key.pop((kind, name), None)
        if fact is not None:
            self._forgotten_by_key[fact.key] = fact.version
            if len(self._forgotten_by_key) > MAX_FORGOTTEN:
                del self._forgotten_by_key[next(iter(self._forgotten_by_key))]
            self._transmissions_left_by_key.pop(fact.key, None)
            if fact.kind != LOAD_FACT:
                bucket = _bucket_of(fact.key)
                self._digests[bucket] ^= _hash(fact)
                self._keys_by_bucket[bucket].pop(fact.key)

    def compose_message(self, received: GossipMessage | None = None) -> GossipMessage:
        """Compose the next message; with ``received``, the reply to it."""
        differing: tuple[int, ...] = ()
        wanted: tuple[int, ...] = ()
        if received is not None:
            differing = tuple(
                bucket
                for bucket, (ours, theirs) in enumerate(
                    zip(self._digests, received.digests, strict=True)
                )
                if ours != theirs
            )
            wanted = received.differing or differing
        facts = self._select(wanted)
        return GossipMessage(self._owner, facts, tuple(self._digests), differing)

    def _store(self, fact: Fact, known: Fact | None) -> None:
        self._facts_by_key[fact.key] = fact
        if fact.kind == LOAD_FACT:
            return
        bucket = _bucket_of(fact.key)
        if known is not None:
            self._digests[bucket] ^= _hash(known)
        self._digests[bucket] ^= _hash(fact)
        self._keys_by_bucket[bucket][fact.key] = None

    def _select(self, wanted: tuple[int, ...]) -> tuple[Fact, ...]:
        """Choose facts within the message's size: fresh ones, then wanted buckets."""
        chosen: dict[tuple[str, str], Fact] = {}
        left = self._transmissions_left_by_key
        load_keys = [key for key in left if key[0] == LOAD_FACT]
        other_keys = [key for key in left if key[0] != LOAD_FACT]
        room = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES - MAX_LOAD_BYTES
        self._choose_fresh(load_keys, chosen, MAX_LOAD_BYTES)
        room = self._choose_fresh(other_keys, chosen, room)
        for key in [key for key, count in left.items() if count <= 0]:
            del left[key]
        for bucket in wanted:
            room = self._fill_from(bucket, chosen, room)
        return tuple(chosen.values())

    def _choose_fresh(
        self,
        keys: list[tuple[str, str]],
        chosen: dict[tuple[str, str], Fact],
        room: int,
    ) -> int:
        """Choose the facts sent least so far, and return the room that is left."""
        left = self._transmissions_left_by_key
        for key in sorted(keys, key=left.__getitem__, reverse=True):
            fact = self._facts_by_key[key]
            if fact.size > room:
                break
            room -= fact.size
            chosen[key] = fact
            left[key] -= 1
        return room

    def _fill_from(
        self, bucket: int, chosen: dict[tuple[str, str], Fact], room: int
    ) -> int:
        """Add facts of a bucket, going on where the previous message stopped."""
        keys = list(self._keys_by_bucket[bucket])
        start = self._cursors[bucket]
        for offset in range(len(keys)):
            key = keys[(start + offset) % len(keys)]
            fact = self._facts_by_key[key]
            if key in chosen:
                continue
            if fact.size > room:
                self._cursors[bucket] = (start + offset) % len(keys)
                return 0
            room -= fact.size
            chosen[key] = fact
        return room


def transmission_count(member_count: int) -> int:
    """Return how often a new fact is sent on among ``member_count`` daemons."""
    return TRANSMIT_FACTOR * max(1, ceil(log2(member_count + 1)))


def select_peers(
    members: list[str], count: int, choose: Callable[[int], int]
) -> list[str]:
    """Choose up to ``count`` distinct members with ``choose(n)`` in ``range(n)``."""
    pool = list(members)
    chosen = []
    while pool and len(chosen) < count:
        chosen.append(pool.pop(choose(len(pool))))
    return chosen


class PeerRotation:
    """Chooses peers in turns, so that each comes up once before any comes up again.

    Example: with 58 peers and 12 a round, none waits for more than five rounds.
    """

    def __init__(self, random: Random) -> None:
        """Order each turn at random."""
        self._random = random
        self._turn: list[str] = []

    def select(self, peers: list[str], count: int) -> list[str]:
        """Choose up to ``count`` distinct ones of ``peers``, who may change."""
        chosen: list[str] = []
        while len(chosen) < min(count, len(peers)):
            if not self._turn:
                self._turn = list(peers)
                self._random.shuffle(self._turn)
            peer = self._turn.pop()
            if peer in peers and peer not in chosen:
                chosen.append(peer)
        return chosen


def select_exchange_peers(
    peers: list[str], lost: list[str], fanout: int, random: Random
) -> list[str]:
    """Choose whom to exchange with next: some peers, and now and then a lost one.

    Regions that lose each other take each other's daemons as lost; only such a try
    shows that they are back.
    """
    chosen = select_peers(peers, fanout, random.randrange)
    if lost and random.random() < LOST_TRY_PROBABILITY:
        chosen.append(random.choice(lost))
    return chosen


def _bucket_of(key: tuple[str, str]) -> int:
    return blake2b("\0".join(key).encode(), digest_size=2).digest()[0] % BUCKET_COUNT


def _hash(fact: Fact) -> int:
    content = msgspec.msgpack.encode(fact)
    return int.from_bytes(blake2b(content, digest_size=7).digest(), "big")
