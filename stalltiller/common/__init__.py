"""Small data structures and helpers that several packages share; nothing here decides or does I/O."""
