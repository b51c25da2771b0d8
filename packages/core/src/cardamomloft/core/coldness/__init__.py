"""Endpoints whose caches are cold: how that is known, and what may be sent to them."""
