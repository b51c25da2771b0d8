"""Callers' HTTP interface: look-ups and requests."""
