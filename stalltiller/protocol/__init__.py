"""Parsers and encoders.  Nothing here does I/O or keeps time."""
