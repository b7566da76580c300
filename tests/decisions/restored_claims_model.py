"""Model of daemons that claim keys through a service that returns from older copies."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, field

from amaranthhollow.decisions.claim_messages import (
    HeadLoaded,
    LoadHead,
    LoadSegments,
    ServiceFailed,
    StoreRestored,
    WriteConflicted,
    WriteHead,
    WriteSucceeded,
    WriteUncertain,
)
from amaranthhollow.decisions.claim_records import ClaimHead
from amaranthhollow.decisions.claim_restoration import GRANT_DELAY_SECONDS
from amaranthhollow.decisions.store_position import StorePosition
from tests.decisions.claims_model import ClaimsModel, Daemon, Service

MAX_COPY_AGE_SECONDS = 15.0
SETTLING_STEP_SECONDS = 0.1


@dataclass(frozen=True)
class EraWrite:
    """A head write by a daemon that knows ``era`` as the newest one."""

    action: WriteHead
    era: int


@dataclass
class Copy:
    """What the service returns to when it is restored."""

    taken_at: float
    heads_by_era: dict
    segments_by_id: dict


@dataclass
class EraService(Service):
    """The service, with one head for each era."""

    era: int = 0
    heads_by_era: dict = field(default_factory=dict)
    copies: list[Copy] = field(default_factory=list)

    def write(self, action: EraWrite | WriteHead) -> bool:
        head, expected, era = action.action.head, action.action, action.era
        stored = self.heads_by_era.get(era)
        position = None if stored is None else stored[1]
        if expected.expected_position != position:
            return False
        self.revision += 1
        self.heads_by_era[era] = (head, StorePosition(self.era, self.revision))
        self.writes += 1
        return True

    def load(self, era: int) -> HeadLoaded:
        for head_era in range(era, -1, -1):
            if head_era in self.heads_by_era:
                head, position = self.heads_by_era[head_era]
                return HeadLoaded(head, position if head_era == era else None)
        return HeadLoaded(ClaimHead(), None)

    def take_copy(self, now: float) -> None:
        copy = deepcopy((self.heads_by_era, self.segments_by_id))
        self.copies = [c for c in self.copies if c.taken_at > now - 20.0]
        self.copies.append(Copy(now, *copy))

    def restore(self, copy: Copy) -> None:
        self.era += 1
        self.heads_by_era, self.segments_by_id = deepcopy(
            (copy.heads_by_era, copy.segments_by_id)
        )
        self.revision = max(
            (p.revision for _, p in self.heads_by_era.values()), default=0
        )


class RestoredClaimsModel(ClaimsModel):
    """Claims with restores; daemons hear of an era before the grant delay ends."""

    def __init__(self, daemon_count: int) -> None:
        super().__init__(daemon_count)
        self.service = EraService()
        self.service.take_copy(self.now)
        self.eras_by_daemon = {daemon.name: 0 for daemon in self.daemons}
        self._settled_era = 0

    def era_of(self, daemon: Daemon) -> int:
        return self.eras_by_daemon[daemon.name]

    def take_copy(self) -> None:
        self.service.take_copy(self.now)

    def restore(self, index: int) -> None:
        """Return to a copy that is at most ``MAX_COPY_AGE_SECONDS`` old."""
        copies = [
            copy
            for copy in self.service.copies
            if copy.taken_at >= self.now - MAX_COPY_AGE_SECONDS
        ]
        if copies:
            self.service.restore(copies[index % len(copies)])

    def hear_of_era(self, daemon: Daemon) -> None:
        """Let a daemon learn of the newest era; a response on its way is then late."""
        if self.era_of(daemon) == self.service.era:
            return
        self.eras_by_daemon[daemon.name] = self.service.era
        is_write = isinstance(daemon.reply, (WriteSucceeded, WriteConflicted))
        if daemon.reply is not None:
            daemon.reply = WriteUncertain() if is_write else ServiceFailed()
        self._apply_event(daemon, StoreRestored())

    def crash(self, daemon: Daemon) -> None:
        """Lose a daemon and what it holds, which no older copy may need then.

        After a restore, a daemon that alone holds a record survives until it has
        written the record again: a record is lost with all daemons that hold it.
        """
        if self._holds_alone(daemon):
            self._settle()
        if isinstance(daemon.call, WriteHead):
            late = EraWrite(daemon.call, self.era_of(daemon))
            self.service.late_writes.append(late)
        daemon.call = None
        super().crash(daemon)
        self._settle()
        self.service.copies.clear()
        self.service.take_copy(self.now)

    def _holds_alone(self, daemon: Daemon) -> bool:
        """Return whether a record of ``daemon`` is held by no other daemon."""
        others = [other for other in self.daemons if other is not daemon]
        return any(
            all(_held_claim_id(other, key) != held.record.claim_id for other in others)
            for key, held in daemon.state.held_by_key.items()
        )

    def pass_time(self, seconds: float) -> None:
        self._settle()
        super().pass_time(seconds)

    def lose_answer(self, daemon: Daemon, *, is_applied_now: bool) -> None:
        write = EraWrite(daemon.call, self.era_of(daemon))
        daemon.call = None
        if is_applied_now:
            self.service.write(write)
        else:
            self.service.late_writes.append(write)
        self._apply_event(daemon, WriteUncertain())

    def _settle(self) -> None:
        """After a restore, let every daemon write again within the grant delay."""
        if self._settled_era == self.service.era:
            return
        self._settled_era = self.service.era
        for daemon in self.daemons:
            self.hear_of_era(daemon)
        for _ in range(int(GRANT_DELAY_SECONDS / SETTLING_STEP_SECONDS) - 1):
            while any(map(self._complete_next_call, self.daemons)):
                pass
            super().pass_time(SETTLING_STEP_SECONDS)

    def carry_out(self, daemon: Daemon) -> None:
        call, daemon.call = daemon.call, None
        if self.era_of(daemon) == self.service.era:
            daemon.reply = self._execute_in_era(daemon, call)
            return
        match call:
            case WriteHead():
                self.service.write(EraWrite(call, self.era_of(daemon)))
                daemon.reply = WriteUncertain()
            case LoadSegments():
                daemon.reply = self._execute_call(call)
            case _:
                daemon.reply = ServiceFailed()
        reply, daemon.reply = daemon.reply, None
        self.hear_of_era(daemon)
        daemon.reply = reply

    def _execute_in_era(self, daemon: Daemon, call: object) -> object:
        match call:
            case LoadHead():
                return self.service.load(self.service.era)
            case WriteHead(_, expected):
                if expected is not None and expected.era != self.service.era:
                    return WriteConflicted()
                if not self.service.write(EraWrite(call, self.service.era)):
                    return WriteConflicted()
                _, position = self.service.heads_by_era[self.service.era]
                return WriteSucceeded(position)
        return self._execute_call(call)


def _held_claim_id(daemon: Daemon, key: bytes) -> str | None:
    held = daemon.state.held_by_key.get(key)
    return None if held is None else held.record.claim_id
