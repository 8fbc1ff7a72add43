"""Coming back: what an instance keeps of its last life, what it may still believe of it, and how it returns.

`facts` decides what is good, without I/O; `memory` takes facts from the decisions and gives them back;
`Store` keeps them on a disk that lasts.  `herd`, `ramp` and `returns` pace the return of many together,
`word` is what peers tell one that comes back, `phases` how far it is.
"""

from stalltiller.recovery.mass_restart import Herd, Turns, View
from stalltiller.recovery.peer_state import Ask, Caution, Change, Word
from stalltiller.recovery.phases import Phases
from stalltiller.recovery.recovery_ramp import Ramp
from stalltiller.recovery.retry_reservations import Returns
from stalltiller.recovery.scheduler_state import recall, remember
from stalltiller.recovery.shard_load import Load
from stalltiller.recovery.snapshot import (
    Book,
    Calm,
    Facts,
    Level,
    Pace,
    Refused,
    decode,
    encode,
    start_level,
    usable,
)
from stalltiller.recovery.store import Store

__all__ = [
    "Ask",
    "Book",
    "Calm",
    "Caution",
    "Change",
    "Facts",
    "Herd",
    "Level",
    "Load",
    "Pace",
    "Phases",
    "Ramp",
    "Refused",
    "Returns",
    "Store",
    "Turns",
    "View",
    "Word",
    "decode",
    "encode",
    "recall",
    "remember",
    "start_level",
    "usable",
]
