"""Simulation of callers, gateways and endpoints, for comparing placement policies."""
