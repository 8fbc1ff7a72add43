"""Configuration, logging, metrics and the wiring of the parts."""
