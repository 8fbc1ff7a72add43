"""TCP connections, receive buffers and connection pools, independent of the protocols that use them."""
