"""Parsers and encoders of the protocols; they do no I/O and read no clock."""
