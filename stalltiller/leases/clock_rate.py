"""The assumption about clock rates under which leases are safe."""

# One second on a machine's clock differs from a true second by at most this fraction.  A holder shortens its
# lease by it and the leader lengthens it, so a holder has stopped before the lease is granted again.
CLOCK_RATE_ERROR_FRACTION = 0.01
