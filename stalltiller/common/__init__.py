"""Small data structures and helpers shared by several packages, without scheduling decisions or I/O."""

from stalltiller.common.decaying_mean import DecayingMean
from stalltiller.common.keyed_queues import KeyedQueues
from stalltiller.common.sliding_window import SlidingWindowSum
from stalltiller.common.token_bucket import TokenBucket

__all__ = ["DecayingMean", "KeyedQueues", "SlidingWindowSum", "TokenBucket"]
