"""The assumption about clocks on which leases are safe."""

# A second of a machine's clock is longer or shorter than a true second by at most this fraction.  A holder
# counts its lease shorter by it and the leader longer, so the holder has stopped before another one begins.
CLOCK_RATE_ERROR_FRACTION = 0.01
