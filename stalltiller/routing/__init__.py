"""Request routing: the engine between the scheduler and the protocol adapters.

The package is independent of wire formats.  Adapters use the interfaces in `ports`.
"""
