"""Coming back: what an instance keeps of its last life, what it may still believe of it, and how it returns.

`facts` decides what is good, without I/O; `memory` takes facts from the decisions and gives them back;
`Store` keeps them on a disk that lasts.  `herd`, `ramp` and `returns` pace the return of many together,
`word` is what peers tell one that comes back, `phases` how far it is.
"""

from stalltiller.recovery.facts import (
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
from stalltiller.recovery.herd import Herd, Turns, View
from stalltiller.recovery.load import Load
from stalltiller.recovery.memory import recall, remember
from stalltiller.recovery.phases import Phases
from stalltiller.recovery.ramp import Ramp
from stalltiller.recovery.returns import Returns
from stalltiller.recovery.store import Store
from stalltiller.recovery.word import Ask, Caution, Change, Word

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
