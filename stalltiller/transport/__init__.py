"""TCP connections, receive buffers and connection pools; nothing here knows what the bytes mean."""
