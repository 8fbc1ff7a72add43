"""The target list as discovery last reported it, and its changes since this process started.

No I/O; bounded memory.  With the history, this initiator can send a restarted peer only the changes since the
version that the peer knows.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from stalltiller.protocol import discovery
from stalltiller.scheduling import TargetStatus

MAX_CHANGES = 4096  # limit on targets whose last change is kept for peers


@dataclass(slots=True, frozen=True)
class _VersionedChange:
    """The last state of a target, and the version of the list that reported it first."""

    version: int
    target: discovery.TargetRecord


class TargetListHistory:
    """The current target list and its recent changes; versions are those of one discovery service."""

    def __init__(self) -> None:
        self._version = 0
        self._targets: dict[str, discovery.TargetRecord] = {}
        self._complete_since = 0  # all changes after this version are known
        self._changes: dict[str, _VersionedChange] = {}  # by target name, ordered by version

    @property
    def version(self) -> int:
        """The version of the current list, or 0 before the first list."""
        return self._version

    @property
    def target_list(self) -> discovery.TargetList | None:
        """The complete current list, or None before the first list."""
        if not self._version:
            return None
        targets = tuple(self._targets[name] for name in sorted(self._targets))
        return discovery.TargetList(self._version, True, targets)

    def apply(self, update: discovery.TargetList) -> None:
        """Apply a response of discovery, which is either a full list or a list of changes."""
        targets = self._updated_targets(update)
        if not self._version or update.version < self._version:  # the first list, or a new numbering
            self._complete_since = update.version
            self._changes = {}
        else:
            self._record_changes(update.version, targets)
        while len(self._changes) > MAX_CHANGES:
            oldest = self._changes.pop(next(iter(self._changes)))
            self._complete_since = max(self._complete_since, oldest.version)
        self._version = update.version
        self._targets = targets

    def clear(self) -> None:
        """Discard everything, because another discovery service numbers its versions independently."""
        self._version = 0
        self._complete_since = 0
        self._targets = {}
        self._changes = {}

    def changes_since(self, version: int) -> list[discovery.TargetRecord] | None:
        """Return the last state of the targets that changed after a version, or None if unknown."""
        if not 0 < self._complete_since <= version <= self._version:
            return None
        return [change.target for change in self._changes.values() if change.version > version]

    def _updated_targets(self, update: discovery.TargetList) -> dict[str, discovery.TargetRecord]:
        targets = {} if update.is_full else dict(self._targets)
        for target in update.targets:
            if target.status is TargetStatus.REMOVED:
                targets.pop(target.name, None)
            else:
                targets[target.name] = target
        return targets

    def _record_changes(self, version: int, targets: dict[str, discovery.TargetRecord]) -> None:
        for name in self._targets.keys() | targets.keys():
            previous = self._targets.get(name)
            current = targets.get(name) or replace(self._targets[name], status=TargetStatus.REMOVED)
            if current != previous:
                self._changes.pop(name, None)  # keeps the dictionary ordered by version
                self._changes[name] = _VersionedChange(version, current)
