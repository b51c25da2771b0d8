"""Strict reading of HTTP answers, for every client of the project."""
