"""Fencing: rejects the effects of a lease's earlier holders.

Source: Kleppmann, "How to do distributed locking".
"""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.leases.state_machine import NO_TOKEN


@dataclass(slots=True)
class FencingTokenGuard:
    """Checks the tokens of one lease's effects before execution; each grant has a higher token."""

    newest_token: int = NO_TOKEN

    def accept(self, token: int) -> bool:
        """Whether an effect may be executed: no effect with a higher token has been accepted."""
        if token < self.newest_token or token <= NO_TOKEN:
            return False
        self.newest_token = token
        return True
