"""Decisions of the placement by shared loads: response times, choice of an endpoint, regions."""
