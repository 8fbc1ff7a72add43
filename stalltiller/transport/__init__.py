"""Connections, buffers and pools.  Nothing here knows what the bytes mean."""
