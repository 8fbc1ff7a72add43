"""Request routing: the engine between the scheduler and the protocol adapters.

The package knows no wire format.  Adapters meet it at the interfaces in `ports`.
"""
