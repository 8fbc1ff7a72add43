"""Configuration, logging, metrics and assembly of an initiator's components."""
