"""Decisions of a process that stops."""
