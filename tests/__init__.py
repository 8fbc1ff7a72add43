"""Tests of stalltiller."""
